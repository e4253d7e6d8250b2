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
    Sync.start(Exchange,
               [this] { return std::span<const MemberRecord>(Members); });
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
  std::vector<MemberRecord> Members; //!< Known to gossip.
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

// Guards against an older configuration that stays in force for as long as the
// reader and the peers of a host are alive for gossip and answer no query.
TEST_CASE(
    "a host behind silent peers reads the change from the store in time") {
  SyncedHost Host;
  // Connections to it are accepted by the system and never answered.
  boost::asio::ip::tcp::acceptor Silent(
      Host.Io, {boost::asio::ip::address_v4::loopback(), 0});
  MemberRecord Self;
  Self.Host.Id = Host.Settings.Host;
  Self.Host.Domain = Host.Settings.Domain;
  Host.Members.push_back(Self);
  constexpr int SilentHosts = 12;
  for (int I = 0; I < SilentHosts; ++I) {
    MemberRecord Peer;
    Peer.Host.Id = HostId("peer-" + std::to_string(I));
    Peer.Host.Domain = Host.Settings.Domain;
    Peer.Host.Address = "127.0.0.1";
    Peer.Host.AdminPort = Silent.local_endpoint().port();
    Host.Members.push_back(Peer);
  }
  FeedSourceChoice Choice(Host.Settings.Host);
  REQUIRE(std::holds_alternative<UseReader>(
      Choice.choose(Host.Members, Host.Settings.Domain, Host.State.now())));
  // The feeds end their calls to the store and wait at the silent reader.
  for (auto &Done : std::exchange(Host.Calls, {}))
    Done(TableChanges{{}, {0, 1}});
  Host.Io.run_for(500ms);
  REQUIRE(Host.Calls.empty());
  Host.Members.back().ConfigVersion = 2;
  const auto Announced = std::chrono::steady_clock::now();
  constexpr auto Bound = 2s; // The strictest "config_apply" of a deployment.
  while (Host.State.configVersion() < 2 &&
         std::chrono::steady_clock::now() < Announced + Bound) {
    Host.Sync.peerProgressed(Host.Members.back());
    Host.Sync.tick();
    for (auto &Done : std::exchange(Host.Calls, {}))
      Done(TableChanges{{{configRow(2), false}}, {0, 2}});
    Host.Io.run_for(100ms);
  }
  CHECK(Host.State.configVersion() == 2);
}
