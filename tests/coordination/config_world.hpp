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

//! Entry hosts, operators and a table service that fail at random. Everything
//! happens at times on one simulated clock, in an order given by the seed.
class ConfigWorld {
public:
  static constexpr std::size_t HostCount = 6;
  static constexpr std::size_t OperatorCount = 2;
  using Milliseconds = std::chrono::milliseconds;

  explicit ConfigWorld(std::uint64_t Seed) : Random(Seed) {
    for (std::size_t I = 0; I < HostCount; ++I)
      restart(I);
    tellMembers();
  }

  //! Advances the time by 20 ms, perhaps with a fault.
  void step() {
    if (FaultsOn)
      injectFault();
    advance();
  }

  //! Ends all faults but, perhaps, the store outage; lets everything settle.
  void settle(bool StoreStaysDown) {
    FaultsOn = false;
    OperatorsOn = false;
    Down = StoreStaysDown;
    Lossy = Slow = Stale = false;
    Side.fill(0);
    tellMembers();
    for (int I = 0; I < 1500; ++I) // 30 s.
      advance();
  }

  void resume() { FaultsOn = OperatorsOn = true; }

  //! Loses the rows since the last snapshot. An operator then makes a change
  //! on top of what the hosts hold.
  void restoreAndRepublish() {
    const std::uint64_t Before = Committed.rbegin()->first;
    Store = Kept;
    // The counter of the table service never goes back.
    while (LastRowVersion > RestoredCounter)
      ++RestoredCounter, Store(StoreTransact{0, {}});
    startChange(0);
    OperatorsOn = false;
    for (int I = 0; I < 1000; ++I)
      advance();
    CHECK(Committed.rbegin()->first == Before + 1);
    keepSnapshot();
  }

  //! All connected hosts hold the newest version, or with the store down the
  //! newest that any of them holds, and the change of it.
  void checkSettled(bool StoreStaysDown) {
    std::uint64_t Newest = 0;
    for (const Host &H : Hosts)
      Newest = std::max(Newest, H.Held);
    for (const Host &H : Hosts)
      CHECK(H.Held == Newest);
    if (StoreStaysDown || Committed.empty())
      return;
    CHECK(Newest == Committed.rbegin()->first);
    const ConfigDocument &Last = Committed.rbegin()->second;
    for (const auto &Each : Committed) {
      CAPTURE(Each.first);
      CHECK(Last.Services.contains(ServiceName(Each.second.ChangeId)));
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
    std::uint64_t Held = 0;
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
    return Side[A] == Side[B];
  }

  void injectFault() {
    if (chance(4))
      Down = !Down && chance(500);
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
      for (int &Each : Side)
        Each = chance(300) ? 1 : 0;
      tellMembers();
    }
  }

  void keepSnapshot() {
    Kept = Store;
    RestoredCounter = LastRowVersion;
  }

  void restart(std::size_t I) {
    Host &H = Hosts[I];
    ++H.Run;
    H.Held = 0;
    H.Follower.emplace(
        ConfigFollower::Builder(idOf(I), domainOf(I)).seed(Random()).build());
    tellMembers();
  }

  //! Membership notices changes after a while.
  void tellMembers() {
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
    const std::uint64_t Version = H.Held;
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
    callStore(Action.Call, Side[I] != 0, [this, I, Run](StoreAnswer Answer) {
      if (Hosts[I].Run == Run)
        send(I, ConfigStoreAnswered{std::move(Answer)});
    });
  }

  void act(std::size_t I, const FetchConfig &Action) {
    const std::size_t Peer = Action.Peer.value().at(1) - '0';
    const unsigned Run = Hosts[I].Run;
    const bool Fails = !connected(I, Peer) || Hosts[Peer].Held == 0;
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
    CHECK(D.Version > H.Held);
    CHECK(H.Follower->current() == &D);
    REQUIRE(Committed.contains(D.Version));
    CHECK(D == Committed.at(D.Version));
    H.Held = D.Version;
  }

  void act(std::size_t, const ReportConfigProblem &Action) {
    CHECK_FALSE(Action.Problem.Message.empty());
  }

  //! Runs a store call with the faults of the moment.
  void callStore(const StoreCall &Call, bool CutOff,
                 const std::function<void(StoreAnswer)> &OnDone) {
    const std::uint64_t Id =
        std::visit([](const auto &C) { return C.CallId; }, Call);
    const StoreLost Lost{Id};
    if (CutOff || Down)
      return after(randomMs(1, 2000), [OnDone, Lost] { OnDone(Lost); });
    const Milliseconds Delay = Slow ? randomMs(1, 4000) : randomMs(1, 30);
    const bool Loses = Lossy && chance(400);
    const bool TooLate = Delay > Milliseconds(2000);
    if (TooLate || Loses)
      after(Milliseconds(2000), [OnDone, Lost] { OnDone(Lost); });
    // A call whose answer was given up may still take effect.
    after(Delay, [this, Call, OnDone, Answered = !TooLate && !Loses] {
      StoreAnswer Answer = runCall(Call);
      if (Answered)
        after(randomMs(0, 20), [OnDone, Answer] { OnDone(Answer); });
    });
  }

  StoreAnswer runCall(const StoreCall &Call) {
    if (const auto *Read = std::get_if<StoreRead>(&Call))
      return Stale ? Kept(*Read) : Store(*Read);
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
      // One of several changes of one base wins.
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

  //! Reads the base, thinks, and submits.
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
    // After a restore the hosts hold newer documents than the store.
    for (const Host &H : Hosts)
      if (H.Held > Base.Version)
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
  std::array<int, HostCount> Side{}; //!< Side 1 cannot reach the store.
  FakeTable Store;
  FakeTable Kept;
  std::uint64_t LastRowVersion = 0;
  std::uint64_t RestoredCounter = 0;
  bool FaultsOn = true;
  bool OperatorsOn = true;
  bool Down = false;
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
