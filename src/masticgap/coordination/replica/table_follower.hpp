#pragma once

#include "masticgap/coordination/replica/replicated_table.hpp"
#include "masticgap/state/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Read the whole table.
struct ReadTable {
  friend bool operator==(const ReadTable &, const ReadTable &) = default;
};
//! Wait for changes after a version.
struct AwaitChanges {
  std::uint64_t AfterVersion = 0;
  Duration MaxWait{0};
  friend bool operator==(const AwaitChanges &, const AwaitChanges &) = default;
};
//! Call nextCall() again at that time.
struct WaitUntil {
  Instant Time;
  friend bool operator==(const WaitUntil &, const WaitUntil &) = default;
};
using FollowerCall = std::variant<ReadTable, AwaitChanges, WaitUntil>;

//! Why a call to the store gave no answer that can be used.
enum class StoreFailure {
  Unavailable, //!< No connection, no answer, or the store refused the call.
  HistoryGone  //!< The requested changes are not kept any more.
};

//! Limits of TableFollower.
struct FollowerTiming {
  //! Longest wait of one call for changes. Hosts are out of step, and gossip
  //! tells the others, so the fleet notices a silent connection much sooner.
  Duration FeedWait = std::chrono::seconds(10);
  //! Gap after an answer, in which further changes gather for one call.
  Duration FeedGap = std::chrono::milliseconds(250);
  //! Pauses after failures grow from the first to the second, with jitter.
  Duration FirstBackoff = std::chrono::milliseconds(250);
  Duration MaxBackoff = std::chrono::seconds(2);
};

//! Decides which call keeps a copy of a table up to date. It does no I/O: the
//! owner makes the call of nextCall() and reports how it ended.
class TableFollower {
public:
  TableFollower(FollowerTiming Timing, std::uint64_t Seed)
      : Timing(Timing), Random(Seed) {}

  //! Call to make now; a WaitUntil when there is none.
  FollowerCall nextCall(Instant Now);

  std::vector<RowChange> onTableRead(const TableSnapshot &Snapshot,
                                     Instant Now);
  std::vector<RowChange> onChanges(std::span<const RowChange> Changes,
                                   std::uint64_t Version, Instant Now);
  void failed(StoreFailure Why, Instant Now);
  //! Changes that a peer holds. The own calls go on as before.
  std::vector<RowChange> onPeerChanges(std::span<const RowChange> Changes,
                                       std::uint64_t Version);
  //! An image that a peer holds. The own calls go on as before.
  std::vector<RowChange> onPeerSnapshot(const TableSnapshot &Snapshot);

  const ReplicatedTable &table() const { return Copy; }
  //! Whether the last call was answered.
  bool isConnected() const { return Failures == 0 && AnsweredOnce; }
  //! A peer told changes that were news and that it had from the store.
  void recordPeerNews(Instant Now) { PeerNews = Now; }
  //! Whether a removal may be a registration that lapsed while the store was
  //! away: the store does not answer, or answers again only since a moment. It
  //! was not away if it gave a peer news meanwhile.
  bool removalsMayBeLapses(Instant Now) const;

private:
  void answered(Instant Now);

  FollowerTiming Timing;
  std::mt19937_64 Random;
  ReplicatedTable Copy;
  bool MustRead = true;
  bool AnsweredOnce = false;
  unsigned Failures = 0;
  unsigned GoneInRow = 0;
  Instant NotBefore;
  Instant Lost;        //!< When the present or last series of failures began.
  Instant Reconnected; //!< When an answer ended it.
  std::optional<Instant> PeerNews;
};

} // namespace masticgap::coordination
