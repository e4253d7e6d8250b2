#include "platform/rows.hpp"
#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

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

TEST_CASE("a configuration that cannot be read names the field") {
  struct Case {
    const char *From;
    const char *To;
    const char *Named;
  };
  const Case Cases[] = {
      {"\"version\":7", "\"version\":-1", "version"},
      {"\"rows\":[[\"r1\"", "\"rows\":[7,[\"r1\"", "routes"},
      {"\"unsafe\"", "\"odd\"", "kind"},
      {"\"1200ms\"", "\"soon\"", "timeout"},
      {"\"s1\",2,true", "null,2,true", "service"},
      {"\"weight\":90},{\"service\":\"s2\",\"weight\":10",
       "\"weight\":0},{\"service\":\"s2\",\"weight\":0", "traffic_split"},
      {"\"weight\":90", "\"weight\":-1", "traffic_split"},
      {"660", "0", "connection_limit"},
      {"\"services\"", "\"service\"", "services"},
      {"\"15000ms\"", "15000", "idle_timeout"},
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
