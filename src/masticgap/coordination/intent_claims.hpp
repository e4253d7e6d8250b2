#pragma once

#include "masticgap/coordination/at_most_once.hpp"
#include "masticgap/coordination/intent_events.hpp"
#include "masticgap/coordination/intent_row.hpp"
#include "masticgap/coordination/internal/call_rate.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Age on the holder's clock from which a claim is no longer dispatched. Rows
//! are kept longer (24 h), so that no row is removed while its holder may still
//! dispatch the key, even after its process was suspended for a long time.
inline constexpr Duration MaxClaimAge = std::chrono::hours(1);

//! Limits on the calls of an entry host to the table service.
struct IntentLimits {
  //! Transactions per second; this host's share of the fleet's limit of 200.
  double WritesPerSecond = 4;
  //! Reads per second; this host's share of the fleet's limit of 800.
  double ReadsPerSecond = 12;
  std::size_t MaxBatch = 64;     //!< Operations in one transaction.
  std::size_t MaxWaiting = 4096; //!< Claims that wait for the store.
  std::size_t MaxTransactionsInFlight = 4;
  Duration MaxBatchDelay = std::chrono::milliseconds(3);
};

//! Claims bare keys by conditional rows in the table service.
//!
//! A claim is won only by a committed conditional write or by reading back its
//! nonce. Operations of many claims share a transaction. After a conflict, the
//! operations that did not fail are sent again without those that did. Releases
//! and completions are written in the same transactions, after the claims.
class IntentClaims {
public:
  explicit IntentClaims(EntryHostRun OwnRun, IntentLimits Bounds = {});

  //! Handles one event.
  //! \returns the store calls to make and the settled claims, in order.
  std::vector<IntentAction> handle(const IntentEvent &Event, Instant Now);

  //! Returns whether the claim is won and younger than MaxClaimAge. Must be
  //! checked before each attempt.
  bool mayDispatch(SubmissionId Claim, Instant Now) const;

  //! Returns when the next IntentTick is due; absent if nothing waits.
  std::optional<Instant> nextTimer() const;

  //! Returns the number of unsettled claims.
  std::size_t waiting() const;

private:
  enum class Phase { Queued, Writing, ReadQueued, Reading, Won };
  struct Claim {
    std::string Key;
    std::string RowKey;
    Fingerprint Request;
    Instant StartTime;
    Instant Deadline;
    std::uint64_t Nonce = 0;
    std::uint64_t IfVersion = 0; //!< 0 inserts a row; others take one over.
    std::uint64_t Version = 0;   //!< Version of the row once it is won.
    unsigned Sends = 0;          //!< Transactions that contained the claim.
    Phase State = Phase::Queued;
    bool Abandoned = false; //!< Settled already; to be released if won.
  };
  //! Later write (release or completion) to a row that this run holds.
  struct RowUpdate {
    std::string RowKey;
    std::string Value;
    std::uint64_t IfVersion = 0;
    Instant Due;
    unsigned TriesLeft = 0;
  };
  //! Operation of a transaction in flight: a claim or an update.
  using BatchOp = std::variant<SubmissionId, RowUpdate>;
  using Batch = std::vector<BatchOp>;
  //! Read that settles a claim, or a complete batch whose answer was lost.
  struct ReadCall {
    SubmissionId Claim = 0;
    std::optional<Batch> LostBatch;
  };
  using Actions = std::vector<IntentAction>;

  void on(const ClaimRequested &Event, Instant Now, Actions &Out);
  void on(const ClaimCancelled &Event, Instant Now, Actions &Out);
  void on(const ClaimNotRun &Event, Instant Now, Actions &Out);
  void on(const ClaimCompleted &Event, Instant Now, Actions &Out);
  void on(const ClaimUnsettled &Event, Instant Now, Actions &Out);
  void on(const IntentTick &Event, Instant Now, Actions &Out);
  void on(const StoreCommitted &Event, Instant Now, Actions &Out);
  void on(const StoreConflict &Event, Instant Now, Actions &Out);
  void on(const StoreRow &Event, Instant Now, Actions &Out);
  void on(const StoreLost &Event, Instant Now, Actions &Out);

  IntentRow row(const Claim &C, IntentState State) const;
  bool isOwn(const IntentRow &Row, const Claim &C) const;
  void settleBatch(const Batch &Ops, std::uint64_t Version, Instant Now,
                   Actions &Out);
  void settleRow(SubmissionId Id, const StoreRow &Answer, Instant Now,
                 Actions &Out);
  void settleLostBatch(Batch Ops);
  void recordWon(SubmissionId Id, std::uint64_t Version, Instant Now,
                 Actions &Out);
  void takeOver(SubmissionId Id, std::uint64_t Version);
  void requeue(SubmissionId Id);
  void requeue(const Batch &Ops);
  void queueRead(SubmissionId Id);
  void release(const Claim &C, Instant Now);
  void settleUnknown(SubmissionId Id, UnknownReason Reason, Actions &Out);
  void eraseClaim(SubmissionId Id);
  void abandon(SubmissionId Id, Claim &C);
  void rememberUnused(const Claim &C);
  bool isUnused(const Claim &C, std::uint64_t Nonce) const;
  void expire(Instant Now, Actions &Out);
  void sendDueCalls(Instant Now, Actions &Out);
  std::optional<Instant> writeDue() const;
  void sendBatch(Instant Now, Actions &Out);
  void addUpdates(std::deque<RowUpdate> &From, Batch &Ops,
                  std::vector<StoreOp> &StoreOps, std::set<std::string> &Rows);
  void sendRead(Instant Now, Actions &Out);
  void dropReleases(const std::string &RowKey);

  EntryHostRun Self;
  IntentLimits Limits;
  internal::CallRate WriteRate;
  internal::CallRate ReadRate;
  std::unordered_map<SubmissionId, Claim> Claims;
  std::set<std::pair<Instant, SubmissionId>> Deadlines; //!< Unsettled.
  std::deque<SubmissionId> WriteQueue;
  std::deque<SubmissionId> ReadQueue;
  std::deque<ReadCall> LostBatchReads;
  std::deque<RowUpdate> Releases;
  std::deque<RowUpdate> Completions;
  std::unordered_map<std::uint64_t, Batch> Transactions;
  std::unordered_map<std::uint64_t, ReadCall> Reads;
  //! Nonces of this run that were never dispatched, by row key.
  std::unordered_map<std::string, std::uint64_t> Unused;
  std::deque<std::string> UnusedOrder;
  std::uint64_t LastCallId = 0;
  std::uint64_t LastNonce = 0;
};

} // namespace masticgap::coordination
