#include "gateway/store_sync.hpp"

#include <doctest/doctest.h>

#include <deque>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::gateway;
using namespace std::chrono_literals;

namespace {

TableRow configRow(std::uint64_t Version) {
  return {"config", std::to_string(Version), {0, Version}};
}

//! Another gateway, with a copy of the operator's table.
struct Peer {
  Peer(boost::asio::io_context &Io, const std::string &Name)
      : Exchange(Io, Endpoint{"127.0.0.1", 0},
                 [this](const PeerUpdateQuery &Query) {
                   PeerUpdate Update;
                   Update.Version = {0, Version};
                   if (Query.AfterVersion < Update.Version)
                     Update.Changes = {{configRow(Version), false}};
                   return Update;
                 }) {
    Record.Host.Id = HostId(Name);
    Record.Host.Domain = FailureDomainName("other");
    Record.Host.Address = Exchange.local().Address;
    Record.Host.AdminPort = Exchange.local().Port;
  }

  std::uint64_t Version = 1;
  MemberRecord Record;
  PeerExchange Exchange;
};

//! A gateway whose feeds wait at the store until an outage ends them. Each
//! configuration's value is its version.
struct SyncedHost {
  SyncedHost() {
    Api.Store.Read = [](StoreTable, const StoreApi::ReadHandler &Done) {
      Done(TableSnapshot{{configRow(1)}, {0, 1}});
    };
    Api.Store.Await = [this](StoreTable, AwaitChanges,
                             StoreApi::ChangesHandler Done) {
      Calls.push_back(std::move(Done));
    };
    Api.Rows.Operator = [](const TableRow &Row) -> Captured<OperatorRow> {
      auto Config = std::make_shared<TrafficConfig>();
      Config->Version = std::stoull(Row.Value);
      return OperatorRow(std::shared_ptr<const TrafficConfig>(Config));
    };
    Api.Rows.Worker = [](const TableRow &) -> Captured<WorkerRegistration> {
      return Error{ErrorKind::Protocol, "not a worker", ""};
    };
    Settings.Host = HostId("self");
    Settings.Domain = FailureDomainName("d");
    Sync.start(Exchange, [] { return std::span<const MemberRecord>(); });
    runUntil([&] { return Calls.size() == 2; });
  }

  template <class Condition> bool runUntil(Condition Done) {
    const auto End = std::chrono::steady_clock::now() + 10s;
    while (!Done() && std::chrono::steady_clock::now() < End)
      Io.run_one_for(100ms);
    return Done();
  }

  boost::asio::io_context Io{1};
  GatewaySettings Settings;
  PlatformApi Api;
  GatewayState State{Io, Settings, Api.Wire, 1};
  std::deque<StoreApi::ChangesHandler> Calls;
  StoreSync Sync{State, Api, [] {}};
  PeerExchange Exchange{
      Io, Endpoint{"127.0.0.1", 0},
      [this](const PeerUpdateQuery &Query) { return Sync.update(Query); }};
};

} // namespace

// Guards against an older configuration that stays in force on a host whose
// feed is silent, because a peer that had announced the newer one lost it in a
// restart.
TEST_CASE("a version that a peer announced but did not send is fetched from "
          "another peer") {
  struct Case {
    const char *Name;
    std::uint64_t FirstHas; //!< Version of the first peer when it is queried.
  };
  for (const Case &C : {Case{"the first peer has it", 2},
                        Case{"the first peer has restarted", 1}}) {
    CAPTURE(C.Name);
    SyncedHost Host;
    Peer First(Host.Io, "first");
    Peer Second(Host.Io, "second");
    First.Version = C.FirstHas;
    First.Record.ConfigVersion = 2;
    Second.Version = 2;
    Second.Record.ConfigVersion = 2;
    REQUIRE(Host.State.configVersion() == 1);
    Host.Sync.peerProgressed(First.Record);
    Host.Io.run_for(1s);
    CHECK(Host.State.configVersion() == C.FirstHas);
    Host.Sync.peerProgressed(Second.Record);
    CHECK(Host.runUntil([&] { return Host.State.configVersion() == 2; }));
  }
}
