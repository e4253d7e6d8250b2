#include "masticgap/coordination/replica/table_follower.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Time after the return of the store in which registrations that lapsed come
//! back.
constexpr Duration LapseWindow = std::chrono::seconds(2);
//! Changes from before an outage reach a host through peers within this time.
constexpr Duration PeerLag = std::chrono::seconds(1);
//! News of a peer prove that the store serves others for this time.
constexpr Duration PeerNewsLife = std::chrono::seconds(6);

} // namespace

FollowerCall TableFollower::nextCall(Instant Now) {
  if (Now < NotBefore)
    return WaitUntil{NotBefore};
  if (MustRead || !Copy.isLoaded())
    return ReadTable{};
  std::uniform_real_distribution<double> Spread(0.7, 1.0);
  const auto Wait =
      std::chrono::duration_cast<Duration>(Timing.FeedWait * Spread(Random));
  return AwaitChanges{Copy.version(), Wait};
}

void TableFollower::answered(Instant Now) {
  if (Failures > 0)
    Reconnected = Now;
  Failures = 0;
  AnsweredOnce = true;
  NotBefore = Now + Timing.FeedGap;
}

std::vector<RowChange> TableFollower::onTableRead(const TableSnapshot &Snapshot,
                                                  Instant Now) {
  const bool Stale = Copy.isLoaded() && Snapshot.Version < Copy.version();
  answered(Now);
  // A replica that lags may answer; the read is repeated until it caught up.
  MustRead = Stale;
  if (Stale) {
    NotBefore = Now + Timing.FirstBackoff;
    return {};
  }
  return Copy.replace(Snapshot);
}

std::vector<RowChange>
TableFollower::onChanges(std::span<const RowChange> Changes,
                         std::uint64_t Version, Instant Now) {
  answered(Now);
  ConsecutiveHistoryGone = 0;
  return Copy.apply(Changes, Version);
}

void TableFollower::failed(StoreFailure Why, Instant Now) {
  if (Why == StoreFailure::HistoryGone) {
    answered(Now);
    // A second one without changes in between means that the read was behind
    // the history; the next read waits, so that there is no tight loop.
    NotBefore = ConsecutiveHistoryGone > 0 ? Now + Timing.FirstBackoff : Now;
    ++ConsecutiveHistoryGone;
    MustRead = true;
    return;
  }
  const auto Longest = std::min(
      Timing.MaxBackoff, Timing.FirstBackoff * (1 << std::min(Failures, 6U)));
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  NotBefore =
      Now + std::chrono::duration_cast<Duration>(Longest * Jitter(Random));
  if (Failures == 0)
    FailingSince = Now;
  ++Failures;
}

bool TableFollower::removalsMayBeLapses(Instant Now) const {
  const bool Back = isConnected();
  if (Back && (Reconnected == Instant() || Now - Reconnected >= LapseWindow))
    return false;
  const bool OthersServed = LastPeerChanges &&
                            *LastPeerChanges - FailingSince > PeerLag &&
                            Now - *LastPeerChanges < PeerNewsLife;
  return !OthersServed;
}

std::vector<RowChange>
TableFollower::onPeerChanges(std::span<const RowChange> Changes,
                             std::uint64_t Version) {
  return Copy.apply(Changes, Version);
}

std::vector<RowChange>
TableFollower::onPeerSnapshot(const TableSnapshot &Snapshot) {
  return Copy.replace(Snapshot);
}

} // namespace masticgap::coordination
