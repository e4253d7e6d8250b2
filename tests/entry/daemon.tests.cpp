#include "entry/daemon.hpp"

#include "common/fake_worker.hpp"
#include "entry/traffic_fixture.hpp"
#include "masticgap/coordination/config_rows.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/transport/http_fetch.hpp"
#include "standins/platform/platform_server.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <thread>

using namespace masticgap;
using namespace masticgap::entry;
using namespace masticgap::tests;
using transport::HttpResponse;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds Timeout{60};

HttpResponse get(const Endpoint &From, const std::string &Target) {
  return transport::fetchNow(
      From, transport::makeRequest(http::verb::get, From, Target), Timeout);
}

HttpResponse post(const Endpoint &To, const std::string &Target,
                  const std::string &Body) {
  return transport::fetchNow(
      To, transport::makeRequest(http::verb::post, To, Target, Body), Timeout);
}

std::string configText(std::uint64_t Version) {
  ConfigDocument Config;
  Config.Version = Version;
  Config.BaseVersion = Version - 1;
  Config.ChangeId = "c" + std::to_string(Version);
  Config.Operator = "test";
  Config.Reason = "test";
  Config.Defaults.RequestTimeout = std::chrono::seconds(60);
  Config.Services[ServiceName(TrafficFixture::Service)];
  return toJson(Config);
}

//! Platform with one worker. Runs on its own thread.
struct TestPlatform {
  IoThread Thread;
  standins::PlatformServer Server{Thread.io(), {"127.0.0.1", 0}};
  FakeWorker Worker;

  TestPlatform() {
    WorkerDescriptor Descriptor;
    Descriptor.Id = WorkerId("w1");
    Descriptor.Service = ServiceName(TrafficFixture::Service);
    Descriptor.Region = RegionName("luzon");
    Descriptor.Domain = FailureDomainName("luz-a");
    Descriptor.Address = Worker.endpoint();
    Descriptor.Run = Incarnation{1};
    Descriptor.Slots = 4;
    Descriptor.MaxConnections = 64;
    Server.setHosts({{Descriptor}, {}});
    Thread.start();
    putConfig(1);
  }
  ~TestPlatform() { Thread.io().stop(); }

  void putConfig(std::uint64_t Version) {
    const json::object Op{{"op", "put"},
                          {"table", std::string(coordination::ConfigTable)},
                          {"key", std::string(coordination::ConfigCurrentKey)},
                          {"value", configText(Version)}};
    const json::object Body{{"ops", json::array{Op}}};
    CHECK(post(Server.local(), "/table/transact", json::serialize(Body))
              .result_int() == 200);
  }
};

//! Daemon whose control thread runs concurrently with the test.
struct RunningDaemon {
  std::unique_ptr<Daemon> Host;
  EntryPorts Ports;
  std::thread Runner;

  RunningDaemon(const std::string &Id, const Endpoint &Platform,
                std::vector<Endpoint> Seeds = {},
                std::uint32_t LookupThreads = 1) {
    EntrySettings Settings;
    Settings.Host = HostId(Id);
    Settings.Region = RegionName("luzon");
    Settings.Domain = FailureDomainName("luz-" + Id);
    Settings.Address = "127.0.0.1";
    Settings.Platform = Platform;
    Settings.Seeds = std::move(Seeds);
    Settings.Seed = 1;
    Settings.LookupThreads = LookupThreads;
    Settings.DrainGrace = std::chrono::milliseconds(50);
    Host = std::make_unique<Daemon>(Settings);
    const auto Started = capture<EntryPorts>([&] { return Host->start(); });
    REQUIRE(std::holds_alternative<EntryPorts>(Started));
    Ports = std::get<EntryPorts>(Started);
    Runner = std::thread([this] { Host->run(); });
  }
  ~RunningDaemon() { stop(); }

  void stop() {
    Host->requestStop();
    if (Runner.joinable())
      Runner.join();
  }
  Endpoint lookup() const { return {"127.0.0.1", Ports.Lookup}; }
  Endpoint traffic() const { return {"127.0.0.1", Ports.Traffic}; }
  Endpoint admin() const { return {"127.0.0.1", Ports.Admin}; }
  Endpoint gossip() const { return {"127.0.0.1", Ports.Gossip}; }
};

//! Repeats the query until the answer contains the text, or with Present ==
//! false no longer contains it. Fails after Timeout.
std::string awaitText(const Endpoint &From, const std::string &Target,
                      const std::string &Text, bool Present = true) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  std::string Body;
  bool Found = !Present;
  while (Found != Present && std::chrono::steady_clock::now() < End) {
    Body = get(From, Target).body();
    Found = Body.find(Text) != std::string::npos;
    if (Found != Present)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CAPTURE(Body);
  CHECK(Found == Present);
  return Body;
}

const std::string Lookup = "/lookup?service=agenda&client=192.0.2.1";

} // namespace

TEST_CASE("a look-up leads to a request that its host may dispatch") {
  for (const std::uint32_t LookupThreads : {0U, 1U}) {
    TestPlatform Platform;
    RunningDaemon Daemon("a", Platform.Server.local(), {}, LookupThreads);
    const std::string Body = awaitText(Daemon.lookup(), Lookup, "key_prefix");
    awaitText(Daemon.admin(), "/state", "w1");
    const json::object Answer = json::parse(Body).as_object();
    const json::object &Target = Answer.at("targets").as_array()[0].as_object();
    CHECK(Target.at("traffic_port").as_int64() == Daemon.Ports.Traffic);
    CHECK(Answer.at("config_version").as_int64() == 1);
    const std::string Key(Target.at("key_prefix").as_string());
    TestCaller Caller(Daemon.traffic());
    CHECK(Caller.run(makePost(Key + "k")).result_int() == 200);
    CHECK(Caller.run(makePost(Key + "k")).result_int() == 200);
    CHECK(Platform.Worker.seen().size() == 1);
  }
}

TEST_CASE("the admin port serves each of its documents") {
  TestPlatform Platform;
  RunningDaemon Daemon("a", Platform.Server.local());
  awaitText(Daemon.lookup(), Lookup, "key_prefix");
  struct Case {
    std::string Target;
    std::string Part;
  };
  const Case Cases[] = {
      {"/health", R"("status":"ok")"},
      {"/status", R"("config_version":1,"draining":false)"},
      {"/metrics", "masticgap_requests_total{outcome=\"answered\"} 0"},
      {"/metrics", "masticgap_control_bytes_total"},
      {"/events?since=0", R"("process_started")"},
      {"/peer/config", R"("version":1)"},
      {"/peer/members", R"("status":"alive")"},
      {"/state", R"("links":[])"},
      {"/events?since=x", "invalid_request"},
      {"/nothing", "not_found"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Target);
    const std::string Body = get(Daemon.admin(), C.Target).body();
    CAPTURE(Body);
    CHECK(Body.find(C.Part) != std::string::npos);
  }
  CHECK(post(Daemon.admin(), "/config/notify", "{}").result_int() == 400);
  CHECK(post(Daemon.admin(), "/drain", "").body().find("\"draining\":true") !=
        std::string::npos);
  // The only host was withdrawn from the look-up answers.
  awaitText(Daemon.lookup(), Lookup, "unavailable");
}

TEST_CASE("hosts discover each other and apply a new configuration") {
  TestPlatform Platform;
  RunningDaemon First("a", Platform.Server.local());
  RunningDaemon Second("b", Platform.Server.local(), {First.gossip()});
  awaitText(First.lookup(), Lookup, "\"host\":\"b\"");
  awaitText(Second.lookup(), Lookup, "\"host\":\"a\"");
  Platform.putConfig(2);
  awaitText(First.admin(), "/status", "\"config_version\":2");
  awaitText(Second.admin(), "/status", "\"config_version\":2");
  // A planned stop removes the host from the look-up answers of the others.
  First.stop();
  awaitText(Second.lookup(), Lookup, "\"host\":\"a\"", false);
}

// Requirement 7: a planned stop interrupts no request in flight.
TEST_CASE("a planned stop finishes a request in flight") {
  TestPlatform Platform;
  RunningDaemon Daemon("a", Platform.Server.local());
  awaitText(Daemon.lookup(), Lookup, "key_prefix");
  awaitText(Daemon.admin(), "/state", "w1");
  TestCaller EarlierCaller(Daemon.traffic());
  CHECK(EarlierCaller.run(makeGet()).result_int() == 200);
  Platform.Worker.reactions().set({Reaction::Hold});
  TestCaller Caller(Daemon.traffic());
  Caller.send(makeGet());
  Platform.Worker.awaitSeen(2);
  Daemon.Host->requestStop();
  awaitText(Daemon.admin(), "/status", "\"draining\":true");
  Platform.Worker.release();
  const HttpResponse Answer = Caller.read();
  CHECK_FALSE(Caller.Failure);
  CHECK(Answer.result_int() == 200);
  Daemon.stop();
}

TEST_CASE("a port in use gives an error that names the remedy") {
  TestPlatform Platform;
  RunningDaemon First("a", Platform.Server.local());
  EntrySettings Settings;
  Settings.Host = HostId("b");
  Settings.Address = "127.0.0.1";
  Settings.Platform = Platform.Server.local();
  Settings.TrafficPort = First.Ports.Traffic;
  Daemon Second(Settings);
  const auto Started = capture<EntryPorts>([&] { return Second.start(); });
  REQUIRE(std::holds_alternative<Error>(Started));
  CHECK(describe(std::get<Error>(Started)).find("choose a free port") !=
        std::string::npos);
}
