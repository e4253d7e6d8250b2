#include "masticgap/state/traffic_config.hpp"

#include <doctest/doctest.h>

using namespace masticgap;

namespace {

Route route(std::string Name, std::string Host, std::string Prefix) {
  Route Made;
  Made.Name = std::move(Name);
  Made.HostName = std::move(Host);
  Made.Prefix = std::move(Prefix);
  return Made;
}

} // namespace

// Guards against requests that reach the service of another route.
TEST_CASE("the longest prefix of the host selects the route") {
  TrafficConfig Config;
  Config.Routes = {route("root", "a.example", "/"),
                   route("api", "a.example", "/api/"),
                   route("deep", "a.example", "/api/v2/"),
                   route("other", "b.example", "/api/")};
  struct Case {
    const char *Host;
    const char *Path;
    const char *Expected; //!< Empty: none.
  };
  const Case Cases[] = {
      {"a.example", "/", "root"},          {"a.example", "/api", "root"},
      {"a.example", "/api/", "api"},       {"a.example", "/api/v1/x", "api"},
      {"a.example", "/api/v2/x", "deep"},  {"A.EXAMPLE:8080", "/api/x", "api"},
      {"b.example", "/api/v2/x", "other"}, {"b.example", "/x", ""},
      {"c.example", "/api/", ""},          {"", "/api/", ""},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Host);
    CAPTURE(C.Path);
    const Route *Match = findRoute(Config, C.Host, C.Path);
    CHECK((Match ? Match->Name : std::string()) == C.Expected);
  }
}
