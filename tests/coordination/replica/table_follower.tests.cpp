#include "masticgap/coordination/replica/table_follower.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1000s};

bool isRead(const FollowerCall &Call) {
  return std::holds_alternative<ReadTable>(Call);
}

//! Follower with an image of version 10.
TableFollower loaded(Instant Now) {
  TableFollower Follower({}, 1);
  Follower.nextCall(Now);
  Follower.onTableRead({{{"a", "1", 7}}, 10}, Now);
  return Follower;
}

//! Time until the follower makes its next call.
Duration pause(TableFollower &Follower, Instant Now) {
  const FollowerCall Call = Follower.nextCall(Now);
  const auto *Until = std::get_if<WaitUntil>(&Call);
  return Until ? Until->Time - Now : Duration(0);
}

} // namespace

TEST_CASE("a follower reads the table once and then waits for changes") {
  TableFollower Follower({}, 1);
  CHECK(isRead(Follower.nextCall(Start)));
  CHECK_FALSE(Follower.isConnected());
  Follower.onTableRead({{{"a", "1", 7}}, 10}, Start);
  CHECK(Follower.isConnected());
  const FollowerCall Next = Follower.nextCall(Start + 1s);
  REQUIRE(std::holds_alternative<AwaitChanges>(Next));
  CHECK(std::get<AwaitChanges>(Next).AfterVersion == 10);
}

// Guards against a host that misses what happened while the history was
// dropped, also if the read that follows is answered by a replica that lags.
TEST_CASE("lost history is made up for by a read that is not behind") {
  TableFollower Follower = loaded(Start);
  Follower.failed(StoreFailure::HistoryGone, Start + 1s);
  CHECK(isRead(Follower.nextCall(Start + 1s)));
  CHECK(Follower.isConnected());
  CHECK(Follower.onTableRead({{{"a", "1", 7}}, 9}, Start + 1s).empty());
  CHECK(pause(Follower, Start + 1s) > 0ms);
  CHECK(isRead(Follower.nextCall(Start + 2s)));
  Follower.onTableRead({{{"b", "2", 12}}, 12}, Start + 2s);
  CHECK(Follower.table().version() == 12);
  CHECK(std::holds_alternative<AwaitChanges>(Follower.nextCall(Start + 3s)));
}

TEST_CASE("history that stays lost is no tight loop") {
  TableFollower Follower = loaded(Start);
  Follower.failed(StoreFailure::HistoryGone, Start);
  Follower.onTableRead({{}, 11}, Start);
  Follower.failed(StoreFailure::HistoryGone, Start + 100ms);
  CHECK(pause(Follower, Start + 100ms) > 0ms);
}

// Guards against calls that hammer a store which is down, since refused calls
// are charged and shared with all hosts.
TEST_CASE("pauses after failures grow to their limit and end with an answer") {
  TableFollower Follower = loaded(Start);
  Instant Now = Start + 1s;
  Duration Longest{0};
  for (int I = 0; I < 12; ++I) {
    Follower.failed(StoreFailure::Unavailable, Now);
    const Duration Pause = pause(Follower, Now);
    CHECK(Pause >= 125ms);
    CHECK(Pause <= 2s);
    Longest = std::max(Longest, Pause);
    Now += Pause;
    CHECK_FALSE(Follower.isConnected());
  }
  CHECK(Longest >= 1s);
  Follower.onChanges({}, 10, Now);
  CHECK(Follower.isConnected());
}

// Guards against a worker that is kept after it left, because a host that the
// store turned away alone takes the removal for a lapse.
TEST_CASE(
    "removals around an outage may be lapses, unless others were served") {
  struct Case {
    const char *Name;
    Duration Asked;                   //!< After the loss.
    std::optional<Duration> PeerNews; //!< After the loss.
    std::optional<Duration> Back;     //!< After the loss.
    bool Expected;
  };
  const Case Cases[] = {
      {"during the outage", 5s, std::nullopt, std::nullopt, true},
      {"just after the return", 6s, std::nullopt, 5s, true},
      {"long after the return", 8s, std::nullopt, 5s, false},
      {"a peer had news meanwhile", 6s, 4s, 5s, false},
      {"a peer had news from before", 6s, 500ms, 5s, true},
      {"a peer has news during the outage", 5s, 3s, std::nullopt, false},
      {"a peer had news long ago", 12s, 3s, 11s, true},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    TableFollower Follower = loaded(Start);
    CHECK_FALSE(Follower.removalsMayBeLapses(Start));
    Follower.failed(StoreFailure::Unavailable, Start);
    Follower.failed(StoreFailure::Unavailable, Start + 1s);
    if (C.PeerNews)
      Follower.recordPeerNews(Start + *C.PeerNews);
    if (C.Back)
      Follower.onChanges({}, 10, Start + *C.Back);
    CHECK(Follower.removalsMayBeLapses(Start + C.Asked) == C.Expected);
  }
}

TEST_CASE("a peer's copy is taken only if it is not behind") {
  TableFollower Follower = loaded(Start);
  CHECK(Follower.onPeerSnapshot({{{"a", "0", 3}}, 9}).empty());
  CHECK(Follower.onPeerSnapshot({{{"b", "2", 12}}, 12}).size() == 2);
  CHECK(Follower.table().version() == 12);
}
