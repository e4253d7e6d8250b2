#include "entry/daemon.hpp"

#include "entry/traffic_documents.hpp"
#include "masticgap/coordination/at_most_once.hpp"
#include "masticgap/coordination/idempotency_key.hpp"
#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/error.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <random>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using namespace coordination;

namespace {

std::uint64_t drawSeed(std::uint64_t ConfiguredSeed) {
  if (ConfiguredSeed != 0)
    return ConfiguredSeed;
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) | Device();
}

EntryHostDescriptor describeSelf(const EntrySettings &Settings) {
  EntryHostDescriptor Self;
  Self.Id = Settings.Host;
  Self.Region = Settings.Region;
  Self.Domain = Settings.Domain;
  Self.Address = Settings.Address;
  std::random_device Device;
  Self.Run = makeIncarnation(transport::unixMilliseconds(),
                             static_cast<std::uint16_t>(Device()));
  return Self;
}

} // namespace

struct Daemon::Forwarding {
  Forwarding(TrafficContext Context, const Endpoint &Platform,
             const Endpoint &Bind)
      : Store(Context.Io, Platform), State(withStore(std::move(Context))),
        Server(State, Bind) {}

  TrafficContext withStore(TrafficContext Context) {
    Context.RunStore = [this](StoreCall Call,
                              std::function<void(StoreAnswer)> Done) {
      Store.run(std::move(Call), std::move(Done));
    };
    return Context;
  }

  transport::PlatformClient Store;
  TrafficState State;
  TrafficServer Server;
};

Daemon::Daemon(EntrySettings LoadedSettings)
    : Settings(std::move(LoadedSettings)), Self(describeSelf(Settings)),
      Start(transport::now()), Seed(drawSeed(Settings.Seed)),
      StopTimer(ControlIo) {}

Daemon::~Daemon() {
  ForwardingIo.join();
  LookupIo.join();
}

ControlMessages Daemon::controlMessages() {
  return {[this](Rumor NewRumor, std::function<void()> Done) {
            auto PostDone = [this, Done = std::move(Done)] {
              ForwardingIo.post(Done);
            };
            asio::post(ControlIo, [this, NewRumor = std::move(NewRumor),
                                   PostDone = std::move(PostDone)] {
              Controller->spread(NewRumor, PostDone);
            });
          },
          [this](std::vector<TrafficEvent> Events) {
            asio::post(ControlIo, [this, Events = std::move(Events)]() mutable {
              Controller->addEvents(std::move(Events));
            });
          },
          [this](std::vector<LinkDemand> Demand) {
            asio::post(ControlIo, [this, Demand = std::move(Demand)] {
              Controller->addDemand(Demand);
            });
          }};
}

ControlOutputs Daemon::controlOutputs() {
  ControlOutputs Out;
  Out.Publish = [this](const SnapshotPtr &Snapshot) { publish(Snapshot); };
  Out.LoadReported = [this](const ServiceName &Service, const WorkerId &Worker,
                            LoadReport Load) {
    ForwardingIo.post([this, Service, Worker, Load] {
      Traffic->State.recordLoad(Service, Worker, Load);
    });
  };
  Out.RumorReceived = [this](const Rumor &NewRumor) {
    ForwardingIo.post([this, NewRumor] { Traffic->State.onRumor(NewRumor); });
  };
  Out.Granted = [this](const LinkGrant &Grant) {
    ForwardingIo.post([this, Grant] { Traffic->State.applyGrant(Grant); });
  };
  Out.CapSeen = [this](const LinkCapSeen &Seen) {
    ForwardingIo.post([this, Seen] { Traffic->State.applyCap(Seen); });
  };
  Out.Superseded = [this] { requestStop(); };
  return Out;
}

void Daemon::publish(const SnapshotPtr &Snapshot) {
  ForwardingIo.post([this, Snapshot] { Traffic->State.publish(Snapshot); });
  IoThread &LookupThread =
      Settings.LookupThreads == 0 ? ForwardingIo : LookupIo;
  LookupThread.post([this, Snapshot] { Lookup->publish(Snapshot); });
}

TrafficDocuments Daemon::trafficDocuments() {
  const auto RequestDocument =
      [this](std::string (*Describe)(const TrafficState &),
             TrafficDocuments::Handler Done) {
        ForwardingIo.post([this, Describe, Done = std::move(Done)]() mutable {
          asio::post(ControlIo, [Text = Describe(Traffic->State),
                                 Done = std::move(Done)] { Done(Text); });
        });
      };
  return {[RequestDocument](TrafficDocuments::Handler Done) {
            RequestDocument(describeState, std::move(Done));
          },
          [RequestDocument](TrafficDocuments::Handler Done) {
            RequestDocument(describeMetrics, std::move(Done));
          }};
}

void Daemon::bind() {
  const std::string &Address = Settings.Address;
  Traffic = std::make_unique<Forwarding>(
      TrafficContext{ForwardingIo.io(),
                     Settings,
                     {Self.Id, Self.Run},
                     Start,
                     transport::now,
                     {},
                     controlMessages(),
                     Seed},
      Settings.Platform, Endpoint{Address, Settings.TrafficPort});
  auto KeyPrefix = [this](Instant Now) {
    const auto Epoch = static_cast<std::uint64_t>(
        std::max(Now - Start, Duration(0)) / EpochLength);
    return formatKeyPrefix({Self.Id, Self.Run, Epoch});
  };
  IoThread &LookupThread =
      Settings.LookupThreads == 0 ? ForwardingIo : LookupIo;
  Lookup = std::make_unique<LookupPort>(
      LookupThread.io(), Endpoint{Address, Settings.LookupPort},
      std::move(KeyPrefix), Seed + 5, transport::now);
  AdminServer = std::make_unique<transport::HttpServer>(
      ControlIo, Endpoint{Address, Settings.AdminPort},
      transport::HttpServerLimits{},
      [this](const transport::HttpRequest &Request,
             const transport::HttpServer::Reply &Reply) {
        Admin->handle(Request, Reply);
      });
  Self.LookupPort = Lookup->local().Port;
  Self.TrafficPort = Traffic->Server.local().Port;
  Self.AdminPort = AdminServer->local().Port;
}

leaf::result<EntryPorts> Daemon::start() {
  try {
    bind();
  } catch (const boost::system::system_error &Failure) {
    return leaf::new_error(
        Error{ErrorKind::Unavailable,
              "a port of " + Settings.Address +
                  " cannot be bound: " + Failure.code().message(),
              "choose a free port, or 0 for any, and an address of this host"});
  }
  Controller = std::make_unique<Control>(
      ControlContext{ControlIo, Settings, Self, Start, transport::now, Seed,
                     controlOutputs()});
  Admin = std::make_unique<AdminService>(*Controller, trafficDocuments());
  BOOST_LEAF_CHECK(Controller->start());
  ForwardingIo.start();
  LookupIo.start();
  return EntryPorts{Self.LookupPort, Self.TrafficPort, Self.AdminPort,
                    Controller->gossip()->port()};
}

void Daemon::run() {
  ControlIo.run();
  ForwardingIo.join();
  LookupIo.join();
}

void Daemon::requestStop() {
  asio::post(ControlIo, [this] { beginStop(); });
}

void Daemon::beginStop() {
  if (std::exchange(Stopping, true))
    return;
  LOG(INFO) << "planned stop: leaving the look-up answers";
  Controller->setDraining();
  const auto &Config = Controller->snapshot().Config;
  const auto Ttl =
      Config ? Config->Defaults.LookupTtl : std::chrono::milliseconds(0);
  // Callers may use a cached look-up answer until its time to live has passed.
  ForwardingIo.post([this] { Traffic->Server.closeAfterAnswers(); });
  StopTimer.expires_after(std::min(Ttl, Settings.DrainGrace));
  StopTimer.async_wait([this](boost::system::error_code) { finishRequests(); });
}

void Daemon::finishRequests() {
  LOG(INFO) << "planned stop: finishing requests in flight";
  StopTimer.expires_after(Settings.DrainLimit);
  StopTimer.async_wait([this](boost::system::error_code Failure) {
    LOG_IF(WARNING, !Failure)
        << "planned stop: requests are still in flight after drain_limit_ms";
    end();
  });
  ForwardingIo.post([this] {
    Traffic->Server.drain(
        [this] { asio::post(ControlIo, [this] { StopTimer.cancel(); }); });
  });
}

void Daemon::end() {
  if (std::exchange(HasEnded, true))
    return;
  Controller->stop();
  AdminServer->drain();
  ForwardingIo.post([this] {
    Traffic->Server.abort();
    Traffic->State.stop();
    ForwardingIo.finish();
  });
  IoThread &LookupThread =
      Settings.LookupThreads == 0 ? ForwardingIo : LookupIo;
  LookupThread.post([this] { Lookup->drain(); });
  LookupIo.finish();
}

} // namespace masticgap::entry
