#include "entry/settings.hpp"

#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::entry;

namespace {

constexpr const char *Required =
    R"("host":"h1","region":"luzon","failure_domain":"luz-a","address":"10.0.0.1","platform":"10.0.0.2:80")";

std::string with(const std::string &More) {
  return "{" + std::string(Required) + More + "}";
}

} // namespace

TEST_CASE("complete settings are accepted with defaults for the rest") {
  const auto Result = capture<EntrySettings>([] {
    return parseSettings(
        with(R"(,"seeds":["10.0.0.3:7"],"drain_grace_ms":5,"lookup_port":99)"));
  });
  REQUIRE(std::holds_alternative<EntrySettings>(Result));
  const auto &S = std::get<EntrySettings>(Result);
  CHECK(S.Platform == Endpoint{"10.0.0.2", 80});
  CHECK(S.Seeds == std::vector<Endpoint>{{"10.0.0.3", 7}});
  CHECK(S.DrainGrace == std::chrono::milliseconds(5));
  CHECK(S.LookupPort == 99);
  CHECK(S.LookupThreads == 1);
}

// Guards against wrong settings that are accepted: the host would announce a
// wrong region, failure domain or address.
TEST_CASE("wrong settings give one error that names key, value and remedy") {
  struct Case {
    const char *Name;
    std::string Json;
    std::vector<std::string> Parts;
  };
  const Case Cases[] = {
      {"no JSON", "{", {"not JSON"}},
      {"no object", "[]", {"not a JSON object"}},
      {"missing", "{}", {"\"host\" is missing", "add it"}},
      {"unknown", with(R"(,"hots":1)"), {"\"hots\"", "1", "unknown"}},
      {"type", with(R"(,"lookup_port":"x")"), {"lookup_port", "\"x\"", "0 to"}},
      {"range", with(R"(,"lookup_port":70000)"), {"70000", "65535"}},
      {"fraction", with(R"(,"lookup_threads":1.5)"), {"lookup_threads", "1.5"}},
      {"negative", with(R"(,"drain_grace_ms":-1)"), {"drain_grace_ms", "-1"}},
      {"seed", with(R"(,"seeds":["h:1"])"), {"seeds", "h:1", "ip:port"}},
      {"seed list", with(R"(,"seeds":"10.0.0.3:7")"), {"seeds", "list"}},
      {"port 0", with(R"(,"seeds":["10.0.0.3:0"])"), {"seeds", "10.0.0.3:0"}},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const auto Result =
        capture<EntrySettings>([&] { return parseSettings(C.Json); });
    REQUIRE(std::holds_alternative<Error>(Result));
    const auto &E = std::get<Error>(Result);
    CHECK((E.Kind == ErrorKind::InvalidSettings));
    for (const auto &Part : C.Parts)
      CHECK_MESSAGE(describe(E).find(Part) != std::string::npos, describe(E));
  }
}

TEST_CASE("the error for a missing settings file names the file") {
  const auto Result =
      capture<EntrySettings>([] { return loadSettings("/nonexistent.json"); });
  REQUIRE(std::holds_alternative<Error>(Result));
  CHECK(describe(std::get<Error>(Result)).find("/nonexistent.json") !=
        std::string::npos);
}
