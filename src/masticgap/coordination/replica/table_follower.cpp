#include "masticgap/coordination/replica/table_follower.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Time after the store returns within which live workers renew lapsed
//! registrations.
constexpr Duration LapseWindow = std::chrono::seconds(2);
//! A removal that arrives this long after the last missed answer is definite.
//! Bounds the use of a worker whose removal is known late because the store
//! left a call without an answer.
constexpr Duration MaxLapseAge = std::chrono::milliseconds(4700);
//! Changes from before an outage reach a host through peers within this time.
constexpr Duration PeerDelay = std::chrono::seconds(1);
//! Time for which new changes from a peer prove that the store serves others.
constexpr Duration PeerChangesLifetime = std::chrono::seconds(6);

} // namespace

FollowerCall TableFollower::nextCall(Instant Now) {
  if (Now < NotBefore)
    return WaitUntil{NotBefore};
  const FollowerCall Call = chooseCall();
  const auto *Await = std::get_if<AwaitChanges>(&Call);
  AnswerDue = Now + (Await ? Await->MaxWait : Duration(0));
  return Call;
}

FollowerCall TableFollower::chooseCall() {
  if (MustRead || !Copy.isLoaded())
    return ReadTable{};
  // Without a wait, the return of the store is noticed at the next call and not
  // with the next change.
  if (Failures > 0)
    return AwaitChanges{Copy.version(), Duration(0), Duration(0)};
  // Keeps the calls of different hosts from synchronizing.
  std::uniform_real_distribution<double> Jitter(0.7, 1.0);
  const double Factor = Jitter(Random);
  const auto Wait = [&](Duration Longest) {
    return std::chrono::duration_cast<Duration>(Longest * Factor);
  };
  return AwaitChanges{Copy.version(), Wait(Timing.FeedWait),
                      Wait(Timing.ReaderWait)};
}

void TableFollower::answered(Instant Now) {
  if (Failures > 0)
    Reconnected = Now;
  Failures = 0;
  AnswerDue.reset();
  AnsweredOnce = true;
  NotBefore = Now + Timing.FeedGap;
}

std::vector<RowChange> TableFollower::onTableRead(const TableSnapshot &Snapshot,
                                                  Instant Now) {
  const bool IsStale = Copy.isLoaded() && Snapshot.Version < Copy.version();
  answered(Now);
  // A lagging replica may answer; the read is repeated until it has caught up.
  MustRead = IsStale || Snapshot.Version.Era < NewestEra;
  if (IsStale) {
    NotBefore =
        Now + (Snapshot.Version.Era < Copy.version().Era ? Timing.MaxBackoff
                                                         : Timing.FirstBackoff);
    return {};
  }
  return replaceCopy(Snapshot, Now);
}

std::vector<RowChange> TableFollower::replaceCopy(const TableSnapshot &Snapshot,
                                                  Instant Returned) {
  if (Copy.isLoaded() && Snapshot.Version.Era > Copy.version().Era)
    EraStart = Returned;
  return Copy.replace(Snapshot);
}

bool TableFollower::onEra(StoreEra Era, Instant Now) {
  if (Era <= NewestEra)
    return false;
  NewestEra = Era;
  if (!Copy.isLoaded() || Era <= Copy.version().Era)
    return false;
  MustRead = true;
  NotBefore = Now;
  return true;
}

std::vector<RowChange>
TableFollower::onChanges(std::span<const RowChange> Changes,
                         StorePosition Version, Instant Now) {
  answered(Now);
  ConsecutiveHistoryGone = 0;
  if (Version.Era < Copy.version().Era)
    // The answering replica or host has not seen the restore. Repeated calls
    // would be answered at once with the same changes.
    NotBefore = Now + Timing.MaxBackoff;
  onEra(Version.Era, Now);
  return Copy.apply(Changes, Version);
}

void TableFollower::failed(StoreFailure Reason, Instant Now) {
  if (Reason == StoreFailure::HistoryGone) {
    answered(Now);
    // A second such failure without changes in between means that the read was
    // older than the history. The next read waits to avoid a tight loop.
    NotBefore = ConsecutiveHistoryGone > 0 ? Now + Timing.FirstBackoff : Now;
    ++ConsecutiveHistoryGone;
    MustRead = true;
    return;
  }
  LastMissedAnswer = std::min(AnswerDue.value_or(Now), Now);
  AnswerDue.reset();
  const Duration UntilNextCall = std::max(
      LastMissedAnswer + Timing.MaxCallInterval - Now, Timing.FirstBackoff);
  const Duration BackoffLimit = std::min(
      {Timing.MaxBackoff, Timing.FirstBackoff * (1 << std::min(Failures, 6U)),
       UntilNextCall});
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  NotBefore =
      Now + std::chrono::duration_cast<Duration>(BackoffLimit * Jitter(Random));
  if (Failures == 0)
    FailingSince = Now;
  ++Failures;
}

Duration TableFollower::lapseGrace(Instant Now) const {
  const Duration RestoreGrace =
      EraStart ? *EraStart + LapseWindow - Now : Duration(0);
  return std::max(RestoreGrace, outageGrace(Now));
}

Duration TableFollower::outageGrace(Instant Now) const {
  const bool IsBack = isConnected();
  if (IsBack && Reconnected == Instant())
    return Duration(0);
  const Instant WindowEnd = std::min((IsBack ? Reconnected : Now) + LapseWindow,
                                     LastMissedAnswer + MaxLapseAge);
  if (Now >= WindowEnd)
    return Duration(0);
  const bool OthersServed = LastPeerChanges &&
                            *LastPeerChanges - FailingSince > PeerDelay &&
                            Now - *LastPeerChanges < PeerChangesLifetime;
  return OthersServed ? Duration(0) : WindowEnd - Now;
}

Duration TableFollower::passedOnGrace(std::span<const RowChange> Changes,
                                      Instant Now) const {
  StorePosition NewestRemoval;
  for (const RowChange &Change : Changes)
    if (Change.Removed)
      NewestRemoval = std::max(NewestRemoval, Change.Row.Version);
  if (NewestRemoval == StorePosition() ||
      (NewestRemoval > DefiniteVersion && !LapsesEnd))
    return lapseGrace(Now);
  if (NewestRemoval <= DefiniteVersion)
    return Duration(0);
  return std::max(*LapsesEnd - Now, Duration(0));
}

std::vector<RowChange>
TableFollower::onPeerChanges(std::span<const RowChange> Changes,
                             StorePosition Version) {
  return Copy.apply(Changes, Version);
}

std::vector<RowChange>
TableFollower::onPeerSnapshot(const TableSnapshot &Snapshot,
                              Duration LapseGrace, Instant Now) {
  // A grace period does not start again at each host that passes it on.
  return replaceCopy(Snapshot,
                     Now - LapseWindow + std::min(LapseGrace, LapseWindow));
}

} // namespace masticgap::coordination
