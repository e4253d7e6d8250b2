#include "masticgap/coordination/replica/table_follower.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1000s};

//! Returns a position in the first era.
constexpr StorePosition at(std::uint64_t Version) { return {0, Version}; }

bool isRead(const FollowerCall &Call) {
  return std::holds_alternative<ReadTable>(Call);
}

//! Returns a follower with a snapshot of version 10.
TableFollower loaded(Instant Now) {
  TableFollower Follower({}, 1);
  Follower.nextCall(Now);
  Follower.onTableRead({{{"a", "1", at(7)}}, at(10)}, Now);
  return Follower;
}

//! Returns the time until the follower makes its next call.
Duration backoff(TableFollower &Follower, Instant Now) {
  const FollowerCall Call = Follower.nextCall(Now);
  const auto *Until = std::get_if<WaitUntil>(&Call);
  return Until ? Until->Time - Now : Duration(0);
}

} // namespace

TEST_CASE("a follower reads the table once and then waits for changes") {
  TableFollower Follower({}, 1);
  CHECK(isRead(Follower.nextCall(Start)));
  CHECK_FALSE(Follower.isConnected());
  Follower.onTableRead({{{"a", "1", at(7)}}, at(10)}, Start);
  CHECK(Follower.isConnected());
  const FollowerCall Next = Follower.nextCall(Start + 1s);
  REQUIRE(std::holds_alternative<AwaitChanges>(Next));
  CHECK(std::get<AwaitChanges>(Next).AfterVersion == at(10));
}

// Guards against a host that misses changes whose history was discarded, also
// if a lagging replica answers the next read.
TEST_CASE("after lost history the table is read until the answer is current") {
  TableFollower Follower = loaded(Start);
  Follower.failed(StoreFailure::HistoryGone, Start + 1s);
  CHECK(isRead(Follower.nextCall(Start + 1s)));
  CHECK(Follower.isConnected());
  CHECK(Follower.onTableRead({{{"a", "1", at(7)}}, at(9)}, Start + 1s).empty());
  CHECK(backoff(Follower, Start + 1s) > 0ms);
  CHECK(isRead(Follower.nextCall(Start + 2s)));
  Follower.onTableRead({{{"b", "2", at(12)}}, at(12)}, Start + 2s);
  CHECK(Follower.table().version() == at(12));
  CHECK(std::holds_alternative<AwaitChanges>(Follower.nextCall(Start + 3s)));
}

TEST_CASE("repeatedly lost history does not cause a tight loop") {
  TableFollower Follower = loaded(Start);
  Follower.failed(StoreFailure::HistoryGone, Start);
  Follower.onTableRead({{}, at(11)}, Start);
  Follower.failed(StoreFailure::HistoryGone, Start + 100ms);
  CHECK(backoff(Follower, Start + 100ms) > 0ms);
}

// Guards against frequent calls to an unavailable store: refused calls are
// charged too, and their limit is shared by all hosts.
TEST_CASE(
    "the backoff after failures grows to its limit and ends with an answer") {
  TableFollower Follower = loaded(Start);
  Instant Now = Start + 1s;
  Duration MaxSeen{0};
  for (int I = 0; I < 12; ++I) {
    Follower.failed(StoreFailure::Unavailable, Now);
    const Duration Backoff = backoff(Follower, Now);
    CHECK(Backoff >= 125ms);
    CHECK(Backoff <= 2s);
    MaxSeen = std::max(MaxSeen, Backoff);
    Now += Backoff;
    CHECK_FALSE(Follower.isConnected());
  }
  CHECK(MaxSeen >= 1s);
  Follower.onChanges({}, at(10), Now);
  CHECK(Follower.isConnected());
}

// Guards against a worker that is kept after it left: a host that alone is
// rejected by the store might treat the removal as a lapse.
TEST_CASE(
    "removals around an outage may be lapses unless the store served peers") {
  struct Case {
    const char *Name;
    Duration CheckedAfter;                    //!< After the outage began.
    std::optional<Duration> PeerChangesAfter; //!< After the outage began.
    std::optional<Duration> ReconnectedAfter; //!< After the outage began.
    Duration Expected;
  };
  const Case Cases[] = {
      {"during the outage", 5s, std::nullopt, std::nullopt, 2s},
      {"just after the return", 6s, std::nullopt, 5s, 1s},
      {"long after the return", 8s, std::nullopt, 5s, 0s},
      {"a peer got changes during the outage", 6s, 4s, 5s, 0s},
      {"a peer got changes from before the outage", 6s, 500ms, 5s, 1s},
      {"a peer gets changes while the outage continues", 5s, 3s, std::nullopt,
       0s},
      {"a peer got changes long ago", 12s, 3s, 11s, 1s},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    TableFollower Follower = loaded(Start);
    CHECK(Follower.lapseGrace(Start) == 0s);
    // The calls continue until the store is back.
    const Duration OutageEnd = C.ReconnectedAfter.value_or(C.CheckedAfter);
    for (Duration After = 0s; After < OutageEnd; After += 1s)
      Follower.failed(StoreFailure::Unavailable, Start + After);
    if (C.PeerChangesAfter)
      Follower.recordPeerChanges(Start + *C.PeerChangesAfter);
    if (C.ReconnectedAfter)
      Follower.onChanges({}, at(10), Start + *C.ReconnectedAfter);
    CHECK(Follower.lapseGrace(Start + C.CheckedAfter) == C.Expected);
  }
}

// Guards against a worker that is used for two seconds after it left, because a
// host that the store does not answer passes on a removal as a possible lapse
// although it was definite when it came.
TEST_CASE(
    "a definite removal is passed on as definite by a host without store") {
  struct Case {
    const char *Name;
    std::vector<RowChange> Changes; //!< Passed on.
    std::uint64_t DefiniteVersion;  //!< 0: none was definite.
    bool Connected;
    Duration Expected;
  };
  const RowChange Written{{"b", "1", at(13)}, false};
  const RowChange Removed{{"a", {}, at(12)}, true};
  const RowChange RemovedLater{{"c", {}, at(14)}, true};
  const Case Cases[] = {
      {"definite", {Removed}, 12, false, 0s},
      {"definite, with other changes", {Removed, Written}, 12, false, 0s},
      {"not definite", {Removed}, 0, false, 2s},
      {"a later one is not definite", {Removed, RemovedLater}, 12, false, 2s},
      {"no removal", {Written}, 12, false, 2s},
      {"connected", {RemovedLater}, 0, true, 0s},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    TableFollower Follower = loaded(Start);
    if (!C.Connected)
      Follower.failed(StoreFailure::Unavailable, Start + 4s);
    Follower.onPeerChanges(C.Changes, at(14));
    if (C.DefiniteVersion > 0)
      Follower.recordDefiniteRemovals(at(C.DefiniteVersion));
    CHECK(Follower.passedOnGrace(C.Changes, Start + 4500ms) == C.Expected);
  }
}

// Guards against a grace period that each host starts again.
TEST_CASE("a possible lapse is passed on with the rest of its grace period") {
  struct Case {
    Duration After; //!< Since the removal arrived with a grace period of 1.5 s.
    Duration Expected;
  };
  for (const Case &C : {Case{0s, 1500ms}, Case{1s, 500ms}, Case{2s, 0s}}) {
    CAPTURE(C.After.count());
    TableFollower Follower = loaded(Start);
    const RowChange Removed{{"a", {}, at(12)}, true};
    Follower.onPeerChanges({{Removed}}, at(12));
    Follower.recordPossibleLapses(Start + 1500ms);
    CHECK(Follower.passedOnGrace({{Removed}}, Start + C.After) == C.Expected);
  }
}

// Guards against a worker that the whole fleet uses after it left, because the
// readers notice the return of the store only with the removal.
TEST_CASE("a removal long after the store's return is definite") {
  constexpr Duration Outage = 4s;
  constexpr Duration NoticedWithin = FollowerTiming().MaxBackoff;
  struct Case {
    const char *Name;
    Duration RemovedAfter; //!< After the store's return.
    //! Use of the worker ends this long after the store's return.
    Duration MinEnd;
    Duration MaxEnd;
  };
  const Case Cases[] = {
      {"in the outage", -1s, 2s, 2s + NoticedWithin},
      {"just after the return", 1s, 1s, 2s + NoticedWithin},
      {"soon after the return", 4500ms, 4500ms, 4500ms},
      {"long after the return", 8s, 8s, 8s},
  };
  for (const Case &C : Cases)
    for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
      CAPTURE(C.Name);
      CAPTURE(Seed);
      TableFollower Follower({}, Seed);
      Follower.onTableRead({{{"w", "1", at(7)}}, at(10)}, Start);
      const Instant Return = Start + 1s + Outage;
      const Instant Removed = Return + C.RemovedAfter;
      const std::vector<RowChange> Removal{{{"w", {}, at(12)}, true}};
      // The store refuses calls in the outage and cuts those that wait.
      Follower.failed(StoreFailure::Unavailable, Start + 1s);
      Instant Now = Start + 1s;
      while (Follower.table().version() < at(12)) {
        const FollowerCall Call = Follower.nextCall(Now);
        if (const auto *Until = std::get_if<WaitUntil>(&Call)) {
          Now = Until->Time;
        } else if (Now < Return) {
          Follower.failed(StoreFailure::Unavailable, Now);
        } else {
          const Instant WaitEnd = Now + std::get<AwaitChanges>(Call).MaxWait;
          const bool Seen = Removed <= WaitEnd;
          Now = Seen ? std::max(Now, Removed) : WaitEnd;
          Follower.onChanges(Seen ? Removal : std::vector<RowChange>(),
                             at(Seen ? 12 : 10), Now);
        }
      }
      const Duration End = Now + Follower.lapseGrace(Now) - Return;
      CHECK(End >= C.MinEnd);
      CHECK(End <= std::max(C.MaxEnd, Now - Return));
    }
}

// Guards against an old configuration on all hosts of a failure domain, because
// the store lost the answer to the call of the one that reads it for them.
TEST_CASE("a change whose answer was lost is known soon afterwards") {
  constexpr Duration CallTimeout = 2500ms; //!< Beyond the wait.
  constexpr Duration SilentFor = 2s;
  constexpr Duration Bound = SilentFor + 3s; //!< A host is in touch from then.
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    TableFollower Follower = TableFollower({}, Seed);
    Follower.onTableRead({{{"a", "1", at(7)}}, at(10)}, Start);
    const FollowerCall Call = Follower.nextCall(Start + 1s);
    REQUIRE(std::holds_alternative<AwaitChanges>(Call));
    const Instant Failed =
        Start + 1s + std::get<AwaitChanges>(Call).MaxWait + CallTimeout;
    Follower.failed(StoreFailure::Unavailable, Failed);
    CHECK(Failed + backoff(Follower, Failed) <= Start + 1s + Bound);
  }
}

// Guards against requests to a worker that left 3 s after an outage, because
// calls without an answer delay the notice of the store's return.
TEST_CASE("a removal after an outage without answers ends the worker's use") {
  constexpr Duration CallTimeout = 2500ms;
  //! Shortest time from the acknowledgement of a removal to the last request,
  //! less the time for sending it.
  constexpr Duration DrainBound = 2s - 200ms;
  struct Case {
    const char *Name;
    Duration RemovedAfter; //!< After the store's return.
    Duration MinEnd;       //!< After the store's return.
    Duration MaxEnd;
  };
  const Case Cases[] = {
      {"lapse in the outage", -1s, 1s, 5s},
      {"when the store is stable again", 3s, 3s, 3s + DrainBound},
      {"later", 4s, 4s, 4s + DrainBound},
  };
  for (const Case &C : Cases)
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
      CAPTURE(C.Name);
      CAPTURE(Seed);
      TableFollower Follower({}, Seed);
      Follower.onTableRead({{{"w", "1", at(7)}}, at(10)}, Start);
      Follower.failed(StoreFailure::Unavailable, Start + 1s);
      const Instant Return = Start + 6s + Seed * 20ms;
      const Instant Removed = Return + C.RemovedAfter;
      Instant Now = Start + 1s;
      while (Follower.table().version() < at(12)) {
        const FollowerCall Call = Follower.nextCall(Now);
        if (const auto *Until = std::get_if<WaitUntil>(&Call)) {
          Now = Until->Time;
        } else if (Now < Return) {
          Now += CallTimeout;
          Follower.failed(StoreFailure::Unavailable, Now);
        } else {
          const Instant WaitEnd = Now + std::get<AwaitChanges>(Call).MaxWait;
          const bool Seen = Removed <= WaitEnd;
          Now = Seen ? std::max(Now, Removed) : WaitEnd;
          const std::vector<RowChange> Removal{{{"w", {}, at(12)}, true}};
          Follower.onChanges(Seen ? Removal : std::vector<RowChange>(),
                             at(Seen ? 12 : 10), Now);
        }
      }
      const Duration End = Now + Follower.lapseGrace(Now) - Return;
      CHECK(End >= C.MinEnd);
      CHECK(End <= C.MaxEnd);
    }
}

TEST_CASE("a peer's snapshot is applied only if it is not older") {
  TableFollower Follower = loaded(Start);
  CHECK(
      Follower.onPeerSnapshot({{{"a", "0", at(3)}}, at(9)}, 0s, Start).empty());
  CHECK(Follower.onPeerSnapshot({{{"b", "2", at(12)}}, at(12)}, 0s, Start)
            .size() == 2);
  CHECK(Follower.table().version() == at(12));
}

// Guards against a host that waits for versions of a store that no longer has
// them, and against one that goes back to an answer from before a restore.
TEST_CASE("a rise of the store's era leads to a full read at once") {
  struct Case {
    const char *Name;
    bool InOutage;
    StoreEra Era; //!< Stated by an answer; the copy is of era 2.
    bool ReadsAtOnce;
  };
  const Case Cases[] = {
      {"later era", false, 3, true},
      {"later era after an outage", true, 3, true},
      {"same era", false, 2, false},
      {"earlier era", false, 1, false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    TableFollower Follower({}, 1);
    Follower.nextCall(Start);
    Follower.onTableRead({{{"a", "1", {2, 7}}}, {2, 10}}, Start);
    if (C.InOutage)
      for (int I = 0; I < 8; ++I)
        Follower.failed(StoreFailure::Unavailable, Start);
    CHECK(Follower.onEra(C.Era, Start) == C.ReadsAtOnce);
    CHECK(isRead(Follower.nextCall(Start)) == C.ReadsAtOnce);
    // Repeated failures of the read have the backoff of an outage.
    Follower.failed(StoreFailure::Unavailable, Start);
    CHECK_FALSE(Follower.onEra(C.Era, Start));
    CHECK(backoff(Follower, Start) > 0ms);
    const auto Changes =
        Follower.onTableRead({{{"b", "2", {C.Era, 1}}}, {C.Era, 2}}, Start);
    CHECK(Changes.empty() != C.ReadsAtOnce);
    CHECK(Follower.eraStart().has_value() == C.ReadsAtOnce);
    // A row that the copy lacks may be written again for 2 s.
    if (C.ReadsAtOnce) {
      CHECK(Follower.lapseGrace(Start + 500ms) == 1500ms);
      CHECK(Follower.lapseGrace(Start + 2s) == 0s);
    }
  }
}

// Guards against a grace period that starts again at each host.
TEST_CASE("a later era from a peer keeps the peer's grace period") {
  for (const Duration Grace : {0ms, 500ms, 2000ms, 9000ms}) {
    CAPTURE(Grace.count());
    TableFollower Follower = loaded(Start);
    const std::vector<RowChange> Late{{{"c", "1", {0, 12}}, false}};
    CHECK(Follower.onPeerSnapshot({{{"b", "2", {1, 1}}}, {1, 2}}, Grace, Start)
              .size() == 2);
    CHECK(Follower.lapseGrace(Start) == std::min<Duration>(Grace, 2s));
    // A reader that has not seen the restore is not asked without a pause.
    CHECK(Follower.onChanges(Late, at(12), Start).empty());
    CHECK(backoff(Follower, Start) >= 1s);
    CHECK(Follower.table().version() == StorePosition(1, 2));
  }
}
