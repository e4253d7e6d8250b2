#include "masticgap/state/traffic_config.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

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

// Guards against requests that a region outside the home regions serves.
TEST_CASE("the home regions of route and account both apply") {
  using Regions = std::vector<RegionName>;
  const RegionName A("a");
  const RegionName B("b");
  const RegionName C("c");
  struct Case {
    Regions Route;
    Regions Account;
    Regions Expected; //!< Empty: any, unless Nowhere.
    bool Nowhere = false;
  };
  const Case Cases[] = {
      {{}, {}, {}},          {{A}, {}, {A}},       {{}, {A}, {A}},
      {{A, B}, {B}, {B}},    {{B}, {A, B}, {B}},   {{A, B}, {B, A}, {A, B}},
      {{A, B}, {B, C}, {B}}, {{A}, {B}, {}, true}, {{A, B}, {C}, {}, true},
  };
  for (const Case &Row : Cases) {
    CAPTURE(Row.Route.size());
    CAPTURE(Row.Account.size());
    const RegionLimit Limit(Row.Route, Row.Account);
    CHECK(std::ranges::equal(Limit.regions(), Row.Expected));
    CHECK(Limit.servesNowhere() == Row.Nowhere);
  }
}

// Guards against 404 for a request whose route may be the one that could not
// be read, and against an unreadable route that hides a readable one.
TEST_CASE("an unreadable route matches what no readable route matches") {
  struct Case {
    const char *Host; //!< Of the unreadable route; empty: not read.
    const char *Prefix;
    const char *RequestHost;
    const char *Path;
    const char *Expected;
  };
  const Case Cases[] = {
      {"a.example", "/x/", "a.example", "/x/1", "unreadable"},
      {"a.example", "/x/", "a.example", "/y/1", ""},
      {"a.example", "", "a.example", "/y/1", "unreadable"},
      {"a.example", "", "b.example", "/y/1", ""},
      {"", "/x/", "b.example", "/x/1", "unreadable"},
      {"", "/x/", "b.example", "/y/1", ""},
      {"", "", "b.example", "/y/1", "unreadable"},
      {"", "", "a.example", "/api/1", "api"},
      {"", "/api/1/", "a.example", "/api/1/", "api"},
      {"a.example", "", "a.example", "/api/1", "api"},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Host);
    CAPTURE(C.Prefix);
    CAPTURE(C.Path);
    TrafficConfig Config;
    Config.Routes = {route("api", "a.example", "/api/"),
                     route("unreadable", C.Host, C.Prefix)};
    Config.Routes.back().Readable = false;
    const Route *Match = findRoute(Config, C.RequestHost, C.Path);
    CHECK((Match ? Match->Name : std::string()) == C.Expected);
  }
}

// Guards against a removed key that stays valid because its account is kept,
// and against a key that moves to the wrong account.
TEST_CASE("accounts of the former configuration do not take keys of new ones") {
  const std::uint64_t Seed = 9;
  const auto Key = [&](const char *Text) { return digestKey(Text, Seed); };
  const auto Make = [](const char *Name, std::vector<KeyDigest> Keys) {
    Account Made;
    Made.Name = AccountName(Name);
    Made.Keys = std::move(Keys);
    return Made;
  };
  TrafficConfig Former;
  Former.Accounts.emplace(Seed);
  Former.Accounts->add(Make("kept", {Key("k1"), Key("k2")}));
  Former.Accounts->add(Make("gone", {Key("k3")}));
  TrafficConfig New;
  New.Accounts.emplace(Seed);
  New.Accounts->add(Make("new", {Key("k2")}));
  New.Unreadable = {{ConfigPart::Account, "kept", ""},
                    {ConfigPart::Account, "unknown", ""}};
  keepFormerEntries(New, Former);
  struct Case {
    const char *Key;
    const char *Account; //!< Empty: unknown.
  };
  for (const Case &C :
       {Case{"k1", "kept"}, Case{"k2", "new"}, Case{"k3", ""}}) {
    CAPTURE(C.Key);
    const Account *Found = New.Accounts->findByKey(C.Key);
    CHECK((Found ? Found->Name.value() : std::string()) == C.Account);
  }
  CHECK(New.Accounts->find(AccountName("unknown")) == nullptr);
}

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
