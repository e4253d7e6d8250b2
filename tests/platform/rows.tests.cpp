#include "platform/rows.hpp"
#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

// GCC 12 reports the inactive alternative of the variant that capture() returns
// as read by its destructor (false positive).
#ifndef __clang__
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif

using namespace masticgap;
using namespace masticgap::platform;
using namespace std::chrono_literals;

namespace {

const DomainRegions Domains{{FailureDomainName("luz-a"), RegionName("luzon")}};

std::string replaced(std::string Text, const std::string &From,
                     const std::string &To) {
  const std::size_t Position = Text.find(From);
  REQUIRE(Position != std::string::npos);
  return Text.replace(Position, From.size(), To);
}

const std::string Worker =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"luz-a","version":"v1",)"
    R"("slots":3,"state":"ready","cold_remaining":"1500ms","sequence_number":4,)"
    R"("born":1700000000000})";

const std::string Config =
    R"({"version":7,"routes":{"columns":["name","hostname","prefix","kind","timeout","target_latency","priority","service","max_attempts","session_affinity","home_regions","traffic_split"],)"
    R"("rows":[["r1","a.example","/x/","unsafe","1200ms","0.8s",1,"s1",2,true,["luzon"],null],)"
    R"(["r2","b.example","/y/","safe","1200ms","600ms",2,null,2,false,[],[{"service":"s1","weight":90},{"service":"s2","weight":10}]]]},)"
    R"("services":{"columns":["name","health_check_path","connection_limit","protocol","transport_security","cold_start","cold_per_s"],)"
    R"("rows":[["s1","/health",660,"h1",false,"3s",2.7]]},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}})";

//! Returns Config with accounts and a public download.
std::string accountConfig() {
  const std::pair<const char *, const char *> Changes[] = {
      {R"("traffic_split"])", R"("traffic_split","public"])"},
      {R"("weight":10}]]])",
       R"("weight":10}]],["p","b.example","/p/","download",null,null,2,"s1",2,false,[],null,true]])"},
      {R"("limits")",
       R"("tenants":{"columns":["name","api_keys","rate_per_s","burst_size","priority","home_regions"],)"
       R"("rows":[["acme",["key-a","key-b"],12.5,40,1,["luzon"]],["borealis",["key-c"],null,null,null,null]]},)"
       R"("limits")"}};
  std::string Text = Config;
  for (const auto &[From, To] : Changes)
    Text = replaced(Text, From, To);
  return Text;
}

} // namespace

TEST_CASE("a registration is read into a worker") {
  const auto Read = capture<coordination::WorkerRegistration>(
      [] { return decodeWorker("i-1", Worker, Domains); });
  REQUIRE(std::holds_alternative<coordination::WorkerRegistration>(Read));
  const auto &Registration = std::get<coordination::WorkerRegistration>(Read);
  CHECK(Registration.Worker.Id == WorkerId("i-1"));
  CHECK(Registration.Worker.Region == RegionName("luzon"));
  CHECK(Registration.Worker.Address == Endpoint{"10.0.0.9", 8080});
  CHECK(Registration.Worker.Slots == 3);
  CHECK_FALSE(Registration.Worker.Leaving);
  CHECK(Registration.Worker.Run == Incarnation{1700000000000});
  CHECK(Registration.ColdDuration == 1500ms);
  CHECK(Registration.StartTime == 1700000000000ms);
}

// Guards against rows of other writers that crash a host or register workers.
TEST_CASE("a registration that cannot be read names the field") {
  struct Case {
    const char *From;
    const char *To;
    const char *Named;
  };
  const Case Cases[] = {
      {"\"service\":\"s\",", "", "service"},
      {"\"service\":\"s\"", "\"service\":7", "service"},
      {"10.0.0.9:8080", "10.0.0.9", "address"},
      {"10.0.0.9:8080", "10.0.0.9:99999", "address"},
      {"10.0.0.9:8080", "10.0.0.9:0", "address"},
      {"10.0.0.9:8080", "10.0.0.9:-1", "address"},
      {"10.0.0.9:8080", "10.0.0.900:8080", "address"},
      {"10.0.0.9:8080", "worker.example:8080", "address"},
      {"\"luz-a\"", "\"mars\"", "zone"},
      {"\"slots\":3", "\"slots\":0", "slots"},
      {"\"slots\":3", "\"slots\":\"3\"", "slots"},
      {"\"slots\":3", "\"slots\":null", "slots"},
      {"\"slots\":3", "\"slots\":2.5", "slots"},
      {"\"slots\":3", "\"slots\":18446744073709551616", "slots"},
      {"\"slots\":3", "\"slots\":1e300", "slots"},
      {"\"ready\"", "\"busy\"", "state"},
      {"\"1500ms\"", "1500", "cold_remaining"},
      {"\"1500ms\"", "\"-1s\"", "cold_remaining"},
      {"\"1500ms\"", "\"1e300s\"", "cold_remaining"},
      {"\"1500ms\"", "\"infs\"", "cold_remaining"},
      {"\"1500ms\"", "\"nans\"", "cold_remaining"},
      {"1700000000000", "\"now\"", "born"},
      {"1700000000000", "1.5", "born"},
      {"1700000000000", "-1", "born"},
      {"1700000000000", "1e300", "born"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.To);
    const auto Read = capture<coordination::WorkerRegistration>([&] {
      return decodeWorker("i-1", replaced(Worker, C.From, C.To), Domains);
    });
    REQUIRE(std::holds_alternative<Error>(Read));
    CHECK(std::get<Error>(Read).Message.find(C.Named) != std::string::npos);
  }
  const std::string Nested = replaced(
      Worker, "\"v1\"", std::string(100000, '[') + std::string(100000, ']'));
  const std::string TooLarge =
      replaced(Worker, "\"slots\":3", "\"slots\":1e999999999999");
  for (const std::string &Malformed : std::vector<std::string>{
           "", "{", "[]", "7", "\xff\xfe", "null", Nested, TooLarge}) {
    CAPTURE(Malformed.substr(0, 100));
    CHECK(
        std::holds_alternative<Error>(capture<coordination::WorkerRegistration>(
            [&] { return decodeWorker("i-1", Malformed, Domains); })));
  }
}

// Guards against a worker's id that adds header fields to requests.
TEST_CASE("a registration with an id that is no header value is rejected") {
  for (const char *Id : {"", "i-1\r\nX: y", "i 1", "i-\x7f", "i-\xc3\xa4"}) {
    CAPTURE(Id);
    CHECK(
        std::holds_alternative<Error>(capture<coordination::WorkerRegistration>(
            [&] { return decodeWorker(Id, Worker, Domains); })));
  }
}

TEST_CASE("the operator's configuration is read completely") {
  const auto Read = capture<TrafficConfig>([] { return decodeConfig(Config); });
  REQUIRE(std::holds_alternative<TrafficConfig>(Read));
  const auto &Traffic = std::get<TrafficConfig>(Read);
  CHECK(Traffic.Version == 7);
  REQUIRE(Traffic.Routes.size() == 2);
  const Route &One = Traffic.Routes[0];
  CHECK_FALSE(One.Idempotent);
  CHECK(One.Timeout == 1200ms);
  CHECK(One.LatencyObjective == 800ms);
  CHECK(One.MaxAttempts == 2);
  CHECK(One.SessionAffinity);
  CHECK(One.HomeRegions == std::vector<RegionName>{RegionName("luzon")});
  CHECK(One.Parts == std::vector<SplitPart>{{ServiceName("s1"), 1}});
  CHECK(Traffic.Routes[1].Idempotent);
  CHECK(Traffic.Routes[1].Parts.size() == 2);
  const ServiceTraits &Service = Traffic.Services.at(ServiceName("s1"));
  CHECK(Service.ColdStart == 3s);
  CHECK(Service.ColdRequestsPerSecond == doctest::Approx(2.7));
  CHECK(Traffic.Limits.IdleTimeout == 15s);
}

TEST_CASE("a configuration that cannot be read as a whole names the field") {
  struct Case {
    const char *From;
    const char *To;
    const char *Named;
  };
  const Case Cases[] = {
      {"\"version\":7", "\"version\":-1", "version"},
      {"\"version\"", "\"versions\"", "version"},
      {"\"services\"", "\"service\"", "services"},
      {"\"routes\"", "\"route\"", "routes"},
      {"\"routes\":{", "\"routes\":7,\"x\":{", "routes"},
      {"\"columns\":[\"name\",\"hostname\"", "\"columns\":[7,\"hostname\"",
       "routes"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.To);
    const auto Read = capture<TrafficConfig>(
        [&] { return decodeConfig(replaced(Config, C.From, C.To)); });
    REQUIRE(std::holds_alternative<Error>(Read));
    CHECK((std::get<Error>(Read).Kind == ErrorKind::InvalidConfiguration));
    CHECK(std::get<Error>(Read).Message.find(C.Named) != std::string::npos);
  }
}

// Guards against one field that makes all routes, services and accounts keep
// their former state, or that changes any other entry.
TEST_CASE("a field that cannot be read affects only its entry") {
  struct Case {
    const char *From;
    const char *To;
    ConfigPart Part;
    const char *Name;  //!< Of the unreadable entry.
    const char *Named; //!< Field in the message.
  };
  using enum ConfigPart;
  const Case Cases[] = {
      {"\"rows\":[[\"r1\"", "\"rows\":[7,[\"r1\"", Route, "", "routes[0].row"},
      {"\"weight\":90}", "\"weight\":90},9", Route, "r2", "traffic_split"},
      {"\"weight\":10}]]", "\"weight\":10}],null,true,1]", Route, "r2", "row"},
      {"\"r1\"", "7", Route, "", "name"},
      {"\"a.example\"", "7", Route, "r1", "hostname"},
      {"\"/x/\"", "\"\"", Route, "r1", "prefix"},
      {"\"unsafe\"", "\"odd\"", Route, "r1", "kind"},
      {"\"1200ms\"", "\"soon\"", Route, "r1", "timeout"},
      {"\"s1\",2,true", "null,2,true", Route, "r1", "service"},
      {"2,true", "2,\"yes\"", Route, "r1", "session_affinity"},
      {"[\"luzon\"]", "[\"luzon\",7]", Route, "r1", "home_regions"},
      {"\"weight\":90},{\"service\":\"s2\",\"weight\":10",
       "\"weight\":0},{\"service\":\"s2\",\"weight\":0", Route, "r2",
       "traffic_split"},
      {"\"weight\":90", "\"weight\":-1", Route, "r2", "traffic_split"},
      {"null,true", "null,1", Route, "p", "public"},
      {"660", "0", Service, "s1", "connection_limit"},
      {"\"15000ms\"", "15000", Limits, "", "idle_timeout"},
      {"\"acme\"", "\"ac\\r\\nme\"", Account, "ac\r\nme", "name"},
      {"\"acme\"", "7", Account, "", "name"},
      {"\"borealis\"", "\"acme\"", Account, "acme", "name"},
      {"[\"key-a\",\"key-b\"]", "\"key-a\"", Account, "acme", "api_keys"},
      {"\"key-b\"", "\"\"", Account, "acme", "api_keys"},
      {"12.5", "\"fast\"", Account, "acme", "rate_per_s"},
      {"12.5", "-1", Account, "acme", "rate_per_s"},
      {"40", "[]", Account, "acme", "burst_size"},
      {"40,1", "40,\"high\"", Account, "acme", "priority"},
      {"\"tenants\":{", "\"tenants\":[],\"x\":{", Accounts, "", "tenants"},
  };
  const auto Decode = [](const std::string &Text) {
    const auto Read =
        capture<TrafficConfig>([&] { return decodeConfig(Text, 1); });
    REQUIRE(std::holds_alternative<TrafficConfig>(Read));
    return std::get<TrafficConfig>(Read);
  };
  const TrafficConfig Whole = Decode(accountConfig());
  REQUIRE(Whole.Unreadable.empty());
  for (const auto &C : Cases) {
    CAPTURE(C.From);
    CAPTURE(C.To);
    TrafficConfig Partly = Decode(replaced(accountConfig(), C.From, C.To));
    REQUIRE(Partly.Unreadable.size() == 1);
    const UnreadableEntry &Entry = Partly.Unreadable.front();
    CHECK((Entry.Part == C.Part));
    CHECK(Entry.Name == C.Name);
    CHECK(Entry.Problem.find(C.Named) != std::string::npos);
    CHECK(Entry.Problem.find("key-") == std::string::npos);

    // A route that could not be read matches, but is not served.
    const auto ServedRoutes =
        std::ranges::count(Partly.Routes, true, &masticgap::Route::Readable);
    const std::string Row = C.To;
    const bool IsExtraRow = Row.find("[7,[") != std::string::npos;
    CHECK(ServedRoutes == (C.Part == Route && !IsExtraRow ? 2 : 3));
    CHECK(findRoute(Partly, "a.example", "/x/") != nullptr);
    CHECK(findRoute(Partly, "b.example", "/y/") != nullptr);

    // With the former configuration, everything that has a name is complete.
    keepFormerEntries(Partly, Whole);
    if (Entry.Name.empty() || Entry.Name.find('\r') != std::string::npos)
      continue;
    CHECK(Partly.Services == Whole.Services);
    CHECK((Partly.Limits == Whole.Limits));
    for (const masticgap::Route &Former : Whole.Routes)
      CHECK(std::ranges::count(Partly.Routes, Former) == 1);
    const auto *Account = Partly.Accounts->findByKey("key-a");
    REQUIRE(Account);
    CHECK((*Account == *Whole.Accounts->findByKey("key-a")));
  }
}

TEST_CASE("accounts, public routes and downloads are read completely") {
  const auto Read =
      capture<TrafficConfig>([] { return decodeConfig(accountConfig(), 5); });
  REQUIRE(std::holds_alternative<TrafficConfig>(Read));
  const auto &Traffic = std::get<TrafficConfig>(Read);
  REQUIRE(Traffic.Routes.size() == 3);
  const Route &Download = Traffic.Routes[2];
  CHECK(Download.Idempotent);
  CHECK(Download.Public);
  CHECK_FALSE(Download.Timeout);
  CHECK(Download.LatencyObjective > 0s);
  CHECK_FALSE(Traffic.Routes[0].Public);
  REQUIRE(Traffic.Accounts);
  REQUIRE(Traffic.Accounts->accounts().size() == 2);
  const Account *Acme = Traffic.Accounts->findByKey("key-b");
  REQUIRE(Acme);
  CHECK(Acme == Traffic.Accounts->findByKey("key-a"));
  CHECK(Acme->Name == AccountName("acme"));
  CHECK(Acme->RatePerSecond == 12.5);
  CHECK(Acme->BurstSize == 40);
  CHECK(Acme->Priority == 1U);
  CHECK(Acme->HomeRegions == std::vector<RegionName>{RegionName("luzon")});
  const Account *Borealis = Traffic.Accounts->find(AccountName("borealis"));
  REQUIRE(Borealis);
  CHECK(Borealis->RatePerSecond == 0);
  CHECK_FALSE(Borealis->Priority);
  for (const char *Unknown : {"", "key", "key-", "key-aa", "KEY-A"})
    CHECK(Traffic.Accounts->findByKey(Unknown) == nullptr);
  const auto Without = capture<TrafficConfig>([] {
    return decodeConfig(
        replaced(accountConfig(), "\"tenants\":{", "\"tenants\":null,\"x\":{"),
        5);
  });
  CHECK_FALSE(std::get<TrafficConfig>(Without).Accounts);
}

TEST_CASE("rows of the operator are distinguished by their key") {
  const gateway::RowReader Reader = makeRowReader(Domains);
  const auto Read = [&](const std::string &Key, const std::string &Value) {
    return Reader.Operator({Key, Value, {0, 1}});
  };
  const auto Evacuation = Read("evacuate/luz-a", "{}");
  REQUIRE(std::holds_alternative<gateway::OperatorRow>(Evacuation));
  CHECK(
      std::get<gateway::Evacuation>(std::get<gateway::OperatorRow>(Evacuation))
          .Domain == FailureDomainName("luz-a"));
  CHECK(std::holds_alternative<gateway::IrrelevantRow>(
      std::get<gateway::OperatorRow>(Read("something", "{}"))));
  CHECK(std::holds_alternative<Error>(Read("config", "{}")));
}
