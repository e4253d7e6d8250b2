#pragma once

#include "config_test_document.hpp"
#include "fake_table.hpp"
#include "masticgap/coordination/config_change.hpp"
#include "masticgap/coordination/config_follower.hpp"
#include "masticgap/coordination/config_rows.hpp"
#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace masticgap::coordination::tests {

//! Simulation of entry hosts, operators and a table service that fail at
//! random. All events are scheduled on one simulated clock, in an order
//! determined by the seed.
class ConfigWorld {
public:
  static constexpr std::size_t HostCount = 6;
  static constexpr std::size_t OperatorCount = 2;
  using Milliseconds = std::chrono::milliseconds;

  explicit ConfigWorld(std::uint64_t Seed) : Random(Seed) {
    for (std::size_t I = 0; I < HostCount; ++I)
      restart(I);
    reportMembers();
  }

  //! Advances the time by 20 ms and may inject faults.
  void step() {
    if (FaultsOn)
      injectFault();
    advance();
  }

  //! Ends all faults, except optionally the store outage, and runs for 30 s.
  void settle(bool StoreStaysDown) {
    FaultsOn = false;
    OperatorsOn = false;
    StoreDown = StoreStaysDown;
    Lossy = Slow = Stale = false;
    Partition.fill(0);
    reportMembers();
    for (int I = 0; I < 1500; ++I) // 30 s.
      advance();
  }

  void resume() { FaultsOn = OperatorsOn = true; }

  //! Restores the last snapshot of the rows. An operator then makes a change
  //! based on the document of the hosts.
  void restoreAndRepublish() {
    const std::uint64_t Before = Committed.rbegin()->first;
    Store = Snapshot;
    // The version counter of the table service never decreases.
    while (LastRowVersion > RestoredCounter)
      ++RestoredCounter, Store(StoreTransact{0, {}});
    startChange(0);
    OperatorsOn = false;
    for (int I = 0; I < 1000; ++I)
      advance();
    CHECK(Committed.rbegin()->first == Before + 1);
    keepSnapshot();
  }

  //! Checks that all hosts hold the newest committed version, or the newest
  //! that any host holds if the store is down, and that no change was lost.
  void checkSettled(bool StoreStaysDown) {
    std::uint64_t Newest = 0;
    for (const Host &H : Hosts)
      Newest = std::max(Newest, H.HeldVersion);
    for (const Host &H : Hosts)
      CHECK(H.HeldVersion == Newest);
    if (StoreStaysDown || Committed.empty())
      return;
    CHECK(Newest == Committed.rbegin()->first);
    const ConfigDocument &Last = Committed.rbegin()->second;
    for (const auto &CommittedChange : Committed) {
      CAPTURE(CommittedChange.first);
      CHECK(
          Last.Services.contains(ServiceName(CommittedChange.second.ChangeId)));
    }
    for (const std::string &Id : AcceptedIds)
      CHECK(Last.Services.contains(ServiceName(Id)));
    for (const std::string &Id : RacedIds)
      CHECK_FALSE(Last.Services.contains(ServiceName(Id)));
  }

  bool anyDocument() const { return !Committed.empty(); }

  std::size_t Races = 0;
  std::size_t Accepted = 0;
  std::size_t FromPeers = 0;

private:
  struct Host {
    std::optional<ConfigFollower> Follower;
    unsigned Run = 0;
    std::uint64_t HeldVersion = 0;
    Instant NextGossip{};
  };
  struct Operator {
    std::optional<ConfigChange> Change;
    std::string Id;
    std::uint64_t Version = 0;
    bool Preparing = false;
  };
  struct Event {
    Instant At;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  std::uint64_t below(std::uint64_t Limit) { return Random() % Limit; }
  bool chance(unsigned PerMille) { return below(1000) < PerMille; }
  void after(Milliseconds Delay, std::function<void()> Run) {
    Events.push({Now + Delay, ++EventCount, std::move(Run)});
  }
  Milliseconds randomMs(std::uint64_t Min, std::uint64_t Max) {
    return Milliseconds(Min + below(Max - Min + 1));
  }
  static HostId idOf(std::size_t I) { return HostId("h" + std::to_string(I)); }
  static FailureDomainName domainOf(std::size_t I) {
    return FailureDomainName("d" + std::to_string(I % 3));
  }
  bool connected(std::size_t A, std::size_t B) const {
    return Partition[A] == Partition[B];
  }

  void injectFault() {
    if (chance(4))
      StoreDown = !StoreDown && chance(500);
    if (chance(6))
      Lossy = !Lossy;
    if (chance(6))
      Slow = !Slow;
    if (chance(4))
      Stale = !Stale && chance(500);
    if (chance(2))
      keepSnapshot();
    if (chance(4))
      restart(below(HostCount));
    if (chance(4)) {
      for (int &HostPartition : Partition)
        HostPartition = chance(300) ? 1 : 0;
      reportMembers();
    }
  }

  void keepSnapshot() {
    Snapshot = Store;
    RestoredCounter = LastRowVersion;
  }

  void restart(std::size_t I) {
    Host &H = Hosts[I];
    ++H.Run;
    H.HeldVersion = 0;
    H.Follower.emplace(
        ConfigFollower::Builder(idOf(I), domainOf(I)).seed(Random()).build());
    reportMembers();
  }

  //! Reports the members to each host after a random delay.
  void reportMembers() {
    for (std::size_t I = 0; I < HostCount; ++I)
      after(randomMs(100, 1500), [this, I] {
        ConfigMembersChanged E;
        for (std::size_t J = 0; J < HostCount; ++J)
          if (connected(I, J))
            E.Live.push_back({idOf(J), domainOf(J)});
        send(I, E);
      });
  }

  void advance() {
    Now += Milliseconds(20);
    while (!Events.empty() && Events.top().At <= Now) {
      const auto Run = Events.top().Run;
      Events.pop();
      Run();
    }
    for (std::size_t I = 0; I < HostCount; ++I)
      runHost(I);
    for (std::size_t I = 0; I < OperatorCount; ++I)
      runOperator(I);
  }

  void runHost(std::size_t I) {
    Host &H = Hosts[I];
    if (H.Follower->nextTick() <= Now)
      send(I, ConfigTick{});
    if (Now < H.NextGossip)
      return;
    H.NextGossip = Now + Milliseconds(250);
    const std::size_t To = below(HostCount);
    const std::uint64_t Version = H.HeldVersion;
    after(randomMs(1, 20), [this, I, To, Version] {
      if (connected(I, To))
        send(To, PeerConfigVersion{idOf(I), Version});
    });
  }

  void send(std::size_t I, const ConfigEvent &E) {
    for (const ConfigAction &A : Hosts[I].Follower->handle(E, Now))
      std::visit([&](const auto &Action) { act(I, Action); }, A);
  }

  void act(std::size_t I, const ReadConfigRow &Action) {
    const unsigned Run = Hosts[I].Run;
    callStore(Action.Call, Partition[I] != 0,
              [this, I, Run](StoreAnswer Answer) {
                if (Hosts[I].Run == Run)
                  send(I, ConfigStoreAnswered{std::move(Answer)});
              });
  }

  void act(std::size_t I, const FetchConfig &Action) {
    const std::size_t Peer = Action.Peer.value().at(1) - '0';
    const unsigned Run = Hosts[I].Run;
    const bool Fails = !connected(I, Peer) || Hosts[Peer].HeldVersion == 0;
    after(Fails ? Milliseconds(1000) : randomMs(1, 50),
          [this, I, Run, Peer, Fails, Id = Action.CallId] {
            const ConfigDocument *D = Hosts[Peer].Follower->current();
            if (Hosts[I].Run != Run)
              return;
            if (Fails || !D)
              return send(I, ConfigFetchFailed{Id});
            ++FromPeers;
            std::string Json = toJson(*D);
            if (FaultsOn && chance(50))
              Json.resize(below(Json.size()));
            else if (FaultsOn && chance(50))
              Json = toJson(Committed.begin()->second);
            send(I, ConfigDocumentReceived{Id, Json});
          });
  }

  void act(std::size_t I, const AcceptConfig &Action) {
    Host &H = Hosts[I];
    const ConfigDocument &D = *Action.Document;
    CHECK(D.Version > H.HeldVersion);
    CHECK(H.Follower->current() == &D);
    REQUIRE(Committed.contains(D.Version));
    CHECK(D == Committed.at(D.Version));
    H.HeldVersion = D.Version;
  }

  void act(std::size_t, const ReportConfigProblem &Action) {
    CHECK_FALSE(Action.Problem.Message.empty());
  }

  //! Runs a store call with the current faults.
  void callStore(const StoreCall &Call, bool CutOff,
                 const std::function<void(StoreAnswer)> &OnDone) {
    const std::uint64_t Id =
        std::visit([](const auto &C) { return C.CallId; }, Call);
    const StoreLost Lost{Id};
    if (CutOff || StoreDown)
      return after(randomMs(1, 2000), [OnDone, Lost] { OnDone(Lost); });
    const Milliseconds Delay = Slow ? randomMs(1, 4000) : randomMs(1, 30);
    const bool Loses = Lossy && chance(400);
    const bool TooLate = Delay > Milliseconds(2000);
    if (TooLate || Loses)
      after(Milliseconds(2000), [OnDone, Lost] { OnDone(Lost); });
    // A call may still take effect after its caller has timed out.
    after(Delay, [this, Call, OnDone, Answered = !TooLate && !Loses] {
      StoreAnswer Answer = runCall(Call);
      if (Answered)
        after(randomMs(0, 20), [OnDone, Answer] { OnDone(Answer); });
    });
  }

  StoreAnswer runCall(const StoreCall &Call) {
    if (const auto *Read = std::get_if<StoreRead>(&Call))
      return Stale ? Snapshot(*Read) : Store(*Read);
    const auto &Transact = std::get<StoreTransact>(Call);
    StoreAnswer Answer = Store(Transact);
    if (const auto *Done = std::get_if<StoreCommitted>(&Answer))
      onCommit(Transact, Done->Version);
    return Answer;
  }

  void onCommit(const StoreTransact &Call, std::uint64_t RowVersion) {
    LastRowVersion = RowVersion;
    for (const StoreOp &Op : Call.Ops) {
      if (Op.Key != ConfigCurrentKey)
        continue;
      const auto D = capture<ConfigDocument>(
          [&] { return parseConfigDocument(Op.Value); });
      const auto &Document = std::get<ConfigDocument>(D);
      // Only one of several changes to the same base takes effect.
      CHECK_FALSE(Committed.contains(Document.Version));
      CHECK_FALSE(CommittedIds.contains(Document.ChangeId));
      CHECK_FALSE(RacedIds.contains(Document.ChangeId));
      CommittedIds.insert(Document.ChangeId);
      Committed.emplace(Document.Version, Document);
    }
  }

  void runOperator(std::size_t I) {
    Operator &O = Operators[I];
    if (O.Change && O.Change->nextTick() <= Now)
      sendChange(I, ConfigChangeTick{});
    if (!O.Change && !O.Preparing && OperatorsOn && chance(8))
      startChange(I);
  }

  //! Reads the base and submits a change after a random delay.
  void startChange(std::size_t I) {
    Operators[I].Preparing = true;
    const StoreRead Read{1, std::string(ConfigTable),
                         std::string(ConfigCurrentKey)};
    callStore(Read, false, [this, I](const StoreAnswer &Answer) {
      const auto *Row = std::get_if<StoreRow>(&Answer);
      Operators[I].Preparing = Row != nullptr;
      if (Row)
        after(randomMs(0, 1000), [this, I, Found = *Row] { submit(I, Found); });
    });
  }

  void submit(std::size_t I, const StoreRow &Row) {
    ConfigDocument Base;
    if (Row.Found)
      Base = std::get<ConfigDocument>(capture<ConfigDocument>(
          [&] { return parseConfigDocument(Row.Value); }));
    // After a restore, the documents of the hosts are newer than the store.
    for (const Host &H : Hosts)
      if (H.HeldVersion > Base.Version)
        Base = *H.Follower->current();
    Operator &O = Operators[I];
    O.Preparing = false;
    O.Id = "o" + std::to_string(I) + "-" + std::to_string(++ChangeCount);
    O.Version = Base.Version + 1;
    ConfigDocument Edited = Base;
    Edited.Services[ServiceName(O.Id)] = {};
    O.Change.emplace(prepareChange(Base, Edited, {O.Id, "ana", "test"}),
                     Row.Version, Now + std::chrono::seconds(8));
    sendChange(I, ConfigChangeTick{});
  }

  void sendChange(std::size_t I, const ConfigChangeEvent &E) {
    for (const ConfigChangeAction &A : Operators[I].Change->handle(E, Now))
      std::visit([&](const auto &Action) { actChange(I, Action); }, A);
  }

  void actChange(std::size_t I, const StoreCall &Call) {
    callStore(Call, false, [this, I, Id = Operators[I].Id](StoreAnswer Answer) {
      if (Operators[I].Change && Operators[I].Id == Id)
        sendChange(I, ConfigChangeAnswered{std::move(Answer)});
    });
  }

  void actChange(std::size_t I, const ConfigChangeDone &Action) {
    const std::string &Id = Operators[I].Id;
    if (std::holds_alternative<ChangeAccepted>(Action.Result)) {
      ++Accepted;
      AcceptedIds.insert(Id);
      CHECK(CommittedIds.contains(Id));
    }
    if (const auto *Raced = std::get_if<ChangeRaced>(&Action.Result)) {
      ++Races;
      RacedIds.insert(Id);
      CHECK_FALSE(CommittedIds.contains(Id));
      if (Raced->Winner)
        CHECK(Raced->Winner->Version >= Operators[I].Version);
    }
    after(Milliseconds(0), [this, I] { Operators[I].Change.reset(); });
  }

  std::mt19937_64 Random;
  Instant Now{};
  std::uint64_t EventCount = 0;
  std::priority_queue<Event> Events;
  std::array<Host, HostCount> Hosts;
  std::array<Operator, OperatorCount> Operators;
  //! Partition of each host. Hosts in partition 1 cannot reach the store.
  std::array<int, HostCount> Partition{};
  FakeTable Store;
  FakeTable Snapshot;
  std::uint64_t LastRowVersion = 0;
  std::uint64_t RestoredCounter = 0;
  bool FaultsOn = true;
  bool OperatorsOn = true;
  bool StoreDown = false;
  bool Lossy = false;
  bool Slow = false;
  bool Stale = false;

  std::uint64_t ChangeCount = 0;
  std::map<std::uint64_t, ConfigDocument> Committed;
  std::set<std::string> CommittedIds;
  std::set<std::string> AcceptedIds;
  std::set<std::string> RacedIds;
};

} // namespace masticgap::coordination::tests
