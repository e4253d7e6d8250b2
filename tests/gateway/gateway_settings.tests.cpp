#include "gateway/settings.hpp"
#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::gateway;

namespace {

std::string settings(const std::string &Replaced, const std::string &By) {
  std::string Text = R"({"host":"h1","region":"r","failure_domain":"d",
"failure_domains":{"d":"r"},"traffic":"10.0.0.1:80","readiness":"10.0.0.1:81",
"lookup":"10.0.0.1:82","gossip_port":7000,"peer_port":7001,"metrics_port":9464,
"seeds":["10.0.0.2:9"],"platform":"10.0.0.9:90","grace_period":"6s",
"retry_ratio":0.2,"retry_slack":112,"retry_window":"10s"})";
  const std::size_t At = Text.find(Replaced);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, Replaced.size(), By);
}

} // namespace

TEST_CASE("settings are read with their units") {
  const auto Read = capture<GatewaySettings>(
      [] { return parseSettings(settings("6s", "2500ms")); });
  REQUIRE(std::holds_alternative<GatewaySettings>(Read));
  const auto &S = std::get<GatewaySettings>(Read);
  CHECK(S.GracePeriod == std::chrono::milliseconds(2500));
  CHECK(S.Retries.Window == std::chrono::seconds(10));
  CHECK(S.Seeds == std::vector<Endpoint>{{"10.0.0.2", 9}});
  CHECK(S.DomainRegions.at(FailureDomainName("d")) == RegionName("r"));
}

// Guards against a host that starts with settings that it did not understand.
TEST_CASE("a wrong setting is named with its remedy") {
  struct Case {
    const char *Replaced;
    const char *By;
    const char *Named;
  };
  const Case Cases[] = {
      {"\"host\":\"h1\"", "\"host\":\"\"", "host"},
      {"\"host\":\"h1\",", "", "host"},
      {"10.0.0.1:80\"", "ten:80\"", "traffic"},
      {"10.0.0.9:90", "10.0.0.9", "platform"},
      {"7000", "70000", "gossip_port"},
      {"\"6s\"", "\"6 hours\"", "grace_period"},
      {"\"retry_ratio\":0.2", "\"retry_ratio\":-1", "retry_ratio"},
      {"112", "\"many\"", "retry_slack"},
      {"{\"d\":\"r\"}", "{\"d\":7}", "failure_domains"},
      {"{\"d\":\"r\"}", "{\"e\":\"r\"}", "failure_domain"},
      {"[\"10.0.0.2:9\"]", "7", "seeds"},
      {"\"retry_slack\"", "\"retry_slak\"", "retry_slak"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.By);
    const auto Read = capture<GatewaySettings>(
        [&] { return parseSettings(settings(C.Replaced, C.By)); });
    REQUIRE(std::holds_alternative<Error>(Read));
    const auto &Problem = std::get<Error>(Read);
    CHECK((Problem.Kind == ErrorKind::InvalidSettings));
    CHECK(Problem.Message.find(C.Named) != std::string::npos);
    CHECK_FALSE(Problem.Remedy.empty());
  }
  CHECK(std::holds_alternative<Error>(
      capture<GatewaySettings>([] { return parseSettings("{"); })));
  CHECK(std::holds_alternative<Error>(
      capture<GatewaySettings>([] { return loadSettings("/nonexistent"); })));
}
