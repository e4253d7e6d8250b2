#include "gateway/settings.hpp"
#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::gateway;

namespace {

std::string settings(const std::string &Replaced,
                     const std::string &Replacement) {
  std::string Text = R"({"host":"h1","region":"r","failure_domain":"d",
"failure_domains":{"d":"r"},"traffic":"10.0.0.1:80","readiness":"10.0.0.1:81",
"lookup":"10.0.0.1:82","gossip_port":7000,"peer_port":7001,"metrics_port":9464,
"seeds":["10.0.0.2:9"],"platform":"10.0.0.9:90","grace_period":"6s",
"retry_ratio":0.2,"retry_slack":112,"retry_window":"10s",
"quota_window":"4s","quota_overage":0.2,"quota_slack":30,
"load_exchange":"off","load_period":"500ms"})";
  const std::size_t Position = Text.find(Replaced);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, Replaced.size(), Replacement);
}

} // namespace

TEST_CASE("settings are read with their units") {
  const auto Parsed = capture<GatewaySettings>(
      [] { return parseSettings(settings("6s", "2500ms")); });
  REQUIRE(std::holds_alternative<GatewaySettings>(Parsed));
  const auto &Settings = std::get<GatewaySettings>(Parsed);
  CHECK(Settings.GracePeriod == std::chrono::milliseconds(2500));
  CHECK(Settings.Retries.Window == std::chrono::seconds(10));
  CHECK(Settings.accountPort() == 7001);
  CHECK(Settings.loadPort() == 7002);
  CHECK(Settings.LoadExchange == LoadExchangeMode::Off);
  CHECK(Settings.LoadPeriod == std::chrono::milliseconds(500));
  CHECK(Settings.QuotaWindow == std::chrono::seconds(4));
  CHECK(Settings.QuotaOverage == doctest::Approx(0.2));
  CHECK(Settings.QuotaSlack == doctest::Approx(30));
  CHECK(Settings.Seeds == std::vector<Endpoint>{{"10.0.0.2", 9}});
  CHECK(Settings.DomainRegions.at(FailureDomainName("d")) == RegionName("r"));
}

// Guards against a host that starts with invalid settings.
TEST_CASE("the error for a wrong setting names it and the remedy") {
  struct Case {
    const char *Replaced;
    const char *Replacement;
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
      {"\"4s\"", "\"4 s\"", "quota_window"},
      {"\"quota_overage\":0.2", "\"quota_overage\":-1", "quota_overage"},
      {":30", ":\"many\"", "quota_slack"},
      {"\"peer_port\"", "\"account_port\":70000,\"peer_port\"", "account_port"},
      {"\"off\"", "\"maybe\"", "load_exchange"},
      {"\"off\"", "true", "load_exchange"},
      {"\"500ms\"", "1", "load_period"},
      {"\"peer_port\"", "\"load_port\":70000,\"peer_port\"", "load_port"},
      {"{\"d\":\"r\"}", "{\"d\":7}", "failure_domains"},
      {"{\"d\":\"r\"}", "{\"e\":\"r\"}", "failure_domain"},
      {"[\"10.0.0.2:9\"]", "7", "seeds"},
      {"\"retry_slack\"", "\"retry_slak\"", "retry_slak"},
      {"\"grace_period\":\"6s\"", "\"memory_mb\":0", "memory_mb"},
      {"\"grace_period\":\"6s\"", "\"file_descriptors\":8", "file_descriptors"},
      {"\"grace_period\":\"6s\"", "\"min_body_rate\":-1", "min_body_rate"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Replacement);
    const auto Parsed = capture<GatewaySettings>(
        [&] { return parseSettings(settings(C.Replaced, C.Replacement)); });
    REQUIRE(std::holds_alternative<Error>(Parsed));
    const auto &Problem = std::get<Error>(Parsed);
    CHECK((Problem.Kind == ErrorKind::InvalidSettings));
    CHECK(Problem.Message.find(C.Named) != std::string::npos);
    CHECK_FALSE(Problem.Remedy.empty());
  }
  CHECK(std::holds_alternative<Error>(
      capture<GatewaySettings>([] { return parseSettings("{"); })));
  CHECK(std::holds_alternative<Error>(
      capture<GatewaySettings>([] { return loadSettings("/nonexistent"); })));
}
