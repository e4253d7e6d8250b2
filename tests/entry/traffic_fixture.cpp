#include "entry/traffic_fixture.hpp"

#include "masticgap/coordination/idempotency_key.hpp"
#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <future>
#include <utility>

namespace masticgap::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace entry;
using namespace coordination;
using Tcp = asio::ip::tcp;

TestCaller::TestCaller(const Endpoint &To, int ReceiveBuffer) : Socket(Io) {
  const Tcp::endpoint Address(asio::ip::make_address(To.Address), To.Port);
  Socket.open(Address.protocol());
  if (ReceiveBuffer > 0)
    Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
  Socket.connect(Address);
}

void TestCaller::send(const transport::HttpRequest &Request) {
  http::write(Socket, Request, Failure);
}

void TestCaller::sendText(const std::string &Bytes) {
  asio::write(Socket, asio::buffer(Bytes), Failure);
}

transport::HttpResponse TestCaller::read() {
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  http::read(Socket, Buffer, Parser, Failure);
  return Parser.release();
}

void TestCaller::close() { Socket.close(); }

namespace {

WorkerDescriptor worker(const char *Id, const char *Domain,
                        const Endpoint &Address) {
  WorkerDescriptor Worker;
  Worker.Id = WorkerId(Id);
  Worker.Service = ServiceName(TrafficFixture::Service);
  Worker.Region = RegionName("luzon");
  Worker.Domain = FailureDomainName(Domain);
  Worker.Address = Address;
  Worker.Run = Incarnation{1};
  Worker.Slots = 4;
  Worker.MaxConnections = 64;
  return Worker;
}

EntrySettings settings(EntryLimits Limits) {
  // All ids have the same length, so that lengths in the golden file are
  // constant.
  static std::uint64_t Count = 1000;
  EntrySettings Settings;
  Settings.Host = HostId("h" + std::to_string(++Count));
  Settings.Region = RegionName("luzon");
  Settings.Domain = FailureDomainName("luz-a");
  Settings.Address = "127.0.0.1";
  Settings.Limits = Limits;
  return Settings;
}

std::shared_ptr<const ConfigDocument> config() {
  ConfigDocument Config;
  Config.Version = 7;
  Config.Defaults.RequestTimeout = std::chrono::seconds(60);
  Config.Defaults.MaxEntryHosts = 1;
  Config.Services[ServiceName(TrafficFixture::Service)];
  return std::make_shared<const ConfigDocument>(std::move(Config));
}

} // namespace

TrafficFixture::TrafficFixture(EntryLimits Limits)
    : Settings(settings(Limits)), Self{Settings.Host, Incarnation{5}},
      First(Reactions), Second(Reactions) {
  State = std::make_unique<TrafficState>(context());
  Server = std::make_unique<TrafficServer>(*State, Endpoint{"127.0.0.1", 0});
  Snapshot = std::make_shared<SteeringSnapshot>();
  Snapshot->Config = config();
  Snapshot->Workers = {worker("w1", "luz-a", First.endpoint()),
                       worker("w2", "luz-b", Second.endpoint())};
  Thread.start();
  publish();
}

TrafficFixture::~TrafficFixture() {
  runOnForwardingThread([this] {
    Server->drain({});
    Server->abort();
    State->stop();
  });
  Thread.join();
}

TrafficContext TrafficFixture::context() {
  ControlMessages Control;
  Control.Spread = [this](Rumor NewRumor, std::function<void()> Done) {
    const std::lock_guard<std::mutex> Guard(Lock);
    Rumors.push_back(std::move(NewRumor));
    Thread.post(std::move(Done));
  };
  Control.Events = [](const std::vector<TrafficEvent> &) {};
  Control.Demand = [](const std::vector<LinkDemand> &) {};
  // Every claim of a bare key succeeds.
  const auto RunStore = [this](const StoreCall &Call,
                               std::function<void(StoreAnswer)> Done) {
    const auto *Write = std::get_if<StoreTransact>(&Call);
    const StoreAnswer Answer =
        Write ? StoreAnswer(StoreCommitted{Write->CallId, ++StoreVersion})
              : StoreAnswer(StoreLost{std::get<StoreRead>(Call).CallId});
    Thread.post([Done = std::move(Done), Answer] { Done(Answer); });
  };
  return {Thread.io(),    Settings, Self,    transport::now(),
          transport::now, RunStore, Control, 1};
}

void TrafficFixture::publish() {
  runOnForwardingThread([this] {
    State->publish(std::make_shared<const SteeringSnapshot>(*Snapshot));
  });
}

std::string TrafficFixture::boundKey(const std::string &Suffix) const {
  return formatKeyPrefix({Self.Host, Self.Run, 0}) + Suffix;
}

void TrafficFixture::runOnForwardingThread(const std::function<void()> &Run) {
  std::promise<void> Done;
  Thread.post([&] {
    Run();
    Done.set_value();
  });
  Done.get_future().wait();
}

void TrafficFixture::addPeer(const TrafficFixture &Peer) {
  MemberRecord Member;
  Member.Host.Id = Peer.Self.Host;
  Member.Host.Run = Peer.Self.Run;
  Member.Host.Region = Peer.Settings.Region;
  Member.Host.Address = "127.0.0.1";
  Member.Host.TrafficPort = Peer.local().Port;
  Snapshot->Members.push_back(Member);
  publish();
}

std::size_t TrafficFixture::seen() const {
  return First.seen().size() + Second.seen().size();
}

std::vector<Rumor> TrafficFixture::spread() const {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Rumors;
}

transport::HttpRequest makeGet(const std::string &Path) {
  transport::HttpRequest Request(http::verb::get, Path, 11);
  Request.set(http::field::host, "entry");
  return Request;
}

transport::HttpRequest makePost(const std::string &Key,
                                const std::string &Body) {
  transport::HttpRequest Request(http::verb::post, "/agenda/x", 11);
  Request.set(http::field::host, "entry");
  if (!Key.empty())
    Request.set("Idempotency-Key", Key);
  Request.body() = Body;
  Request.prepare_payload();
  return Request;
}

} // namespace masticgap::tests
