#pragma once

#include "masticgap/coordination/replica/replicated_table.hpp"
#include "masticgap/state/time.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Read the complete table.
struct ReadTable {
  friend bool operator==(const ReadTable &, const ReadTable &) = default;
};
//! Wait for changes after a version.
struct AwaitChanges {
  StorePosition AfterVersion;
  Duration MaxWait{0};       //!< At the store.
  Duration MaxReaderWait{0}; //!< At a host that reads the store for others.
  friend bool operator==(const AwaitChanges &, const AwaitChanges &) = default;
};
//! Make no call until the given time; then call nextCall() again.
struct WaitUntil {
  Instant Time;
  friend bool operator==(const WaitUntil &, const WaitUntil &) = default;
};
using FollowerCall = std::variant<ReadTable, AwaitChanges, WaitUntil>;

//! Reason why a call to the store returned no usable answer.
enum class StoreFailure {
  Unavailable, //!< No connection, no answer, or the store refused the call.
  HistoryGone  //!< The requested changes are no longer stored.
};

//! Limits of TableFollower.
struct FollowerTiming {
  //! Maximum wait of one call for changes at the store. A host notices a silent
  //! connection only after this time, and so do the hosts that it reads for.
  Duration FeedWait = std::chrono::seconds(2);
  //! Maximum wait at a host that reads the store. Gossip tells if it is gone.
  Duration ReaderWait = std::chrono::seconds(10);
  //! Minimum time between an answer and the next call, so that one call returns
  //! several changes.
  Duration FeedGap = std::chrono::milliseconds(250);
  //! The backoff after failures grows from FirstBackoff to MaxBackoff, with
  //! jitter.
  Duration FirstBackoff = std::chrono::milliseconds(250);
  Duration MaxBackoff = std::chrono::seconds(2);
  //! Maximum time from the moment at which the answer to a failed call was due
  //! to the next call. A store that returns is noticed within this time, also
  //! if it leaves calls without an answer until they time out.
  Duration MaxCallInterval = std::chrono::milliseconds(3500);
};

//! Decides which calls keep a copy of a table up to date. Does no I/O: the
//! owner makes the call that nextCall() returns and reports the result.
class TableFollower {
public:
  TableFollower(FollowerTiming Timing, std::uint64_t Seed)
      : Timing(Timing), Random(Seed) {}

  //! Returns the call to make now, or WaitUntil if there is none.
  FollowerCall nextCall(Instant Now);

  std::vector<RowChange> onTableRead(const TableSnapshot &Snapshot,
                                     Instant Now);
  std::vector<RowChange> onChanges(std::span<const RowChange> Changes,
                                   StorePosition Version, Instant Now);
  //! Records the era of an answer of the store, also of one that refuses a
  //! call. If the copy is of an earlier era, the next call reads the table at
  //! once, without the backoff of an outage.
  //! \returns whether that read is needed and was not known to be needed.
  bool onEra(StoreEra Era, Instant Now);
  //! Records a failed call.
  void failed(StoreFailure Reason, Instant Now);
  //! Applies changes of a peer. Does not affect the calls of this host.
  std::vector<RowChange> onPeerChanges(std::span<const RowChange> Changes,
                                       StorePosition Version);
  //! Applies a snapshot of a peer. Does not affect the calls of this host.
  //! \param LapseGrace remaining grace period that the peer states.
  std::vector<RowChange> onPeerSnapshot(const TableSnapshot &Snapshot,
                                        Duration LapseGrace, Instant Now);

  const ReplicatedTable &table() const { return Copy; }
  //! Returns whether a peer that has a version has changes that this copy
  //! lacks.
  bool isBehind(StorePosition PeerVersion) const {
    return PeerVersion > Copy.version();
  }
  //! Returns when the store returned with the copy's era, or nothing if the
  //! copy was of no earlier era.
  std::optional<Instant> eraStart() const { return EraStart; }
  //! Returns whether the last call was answered.
  bool isConnected() const { return Failures == 0 && AnsweredOnce; }
  //! Records that a peer sent new changes that it got from the store.
  void recordPeerChanges(Instant Now) { LastPeerChanges = Now; }
  //! Returns for how long a registration whose removal arrives now from the
  //! store may still be renewed, because it may have lapsed while the store was
  //! unavailable, or was lost in a restore. Zero if the removal is definite:
  //! the store has answered this host in its era for some time, a peer got new
  //! changes from it after the outage began, or the last missing answer was due
  //! too long ago.
  Duration lapseGrace(Instant Now) const;
  //! Records that the removals up to a version are no lapses: they came from
  //! the store or a peer that it serves.
  void recordDefiniteRemovals(StorePosition Version) {
    DefiniteVersion = std::max(DefiniteVersion, Version);
  }
  //! Records that removals that arrived may be lapses until the given time.
  void recordPossibleLapses(Instant Until) {
    LapsesEnd = std::max(LapsesEnd.value_or(Until), Until);
  }
  //! Returns lapseGrace() for removals that this host passes on to a peer. What
  //! was definite when it came stays so, also if the store does not answer this
  //! host, and a grace period does not start again.
  //! \param Changes for the peer.
  Duration passedOnGrace(std::span<const RowChange> Changes, Instant Now) const;

private:
  FollowerCall chooseCall();
  void answered(Instant Now);
  //! Returns lapseGrace() without the effect of a restore.
  Duration outageGrace(Instant Now) const;
  //! Replaces the copy.
  //! \param Returned when the store returned, if the snapshot is of a later
  //! era.
  std::vector<RowChange> replaceCopy(const TableSnapshot &Snapshot,
                                     Instant Returned);

  FollowerTiming Timing;
  std::mt19937_64 Random;
  ReplicatedTable Copy;
  bool MustRead = true;
  bool AnsweredOnce = false;
  unsigned Failures = 0;
  unsigned ConsecutiveHistoryGone = 0;
  Instant NotBefore;
  //! When the current call would be answered without a change.
  std::optional<Instant> AnswerDue;
  Instant FailingSince; //!< Start of the current or last series of failures.
  //! When the last call of that series failed, or its answer was due if that is
  //! earlier. The store may have returned right after it.
  Instant LastMissedAnswer;
  Instant Reconnected; //!< When an answer ended that series.
  std::optional<Instant> LastPeerChanges;
  StorePosition DefiniteVersion;    //!< Removals up to it are no lapses.
  std::optional<Instant> LapsesEnd; //!< For the removals that may be lapses.
  std::optional<Instant> EraStart;  //!< See eraStart().
  StoreEra NewestEra = 0;           //!< Of the store's answers.
};

} // namespace masticgap::coordination
