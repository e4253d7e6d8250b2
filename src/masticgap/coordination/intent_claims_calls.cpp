// Scheduling and contents of the store calls of IntentClaims.

#include "masticgap/coordination/intent_claims.hpp"

#include <algorithm>
#include <iterator>

namespace masticgap::coordination {

std::optional<Instant> IntentClaims::writeDue() const {
  if (Transactions.size() >= Limits.MaxTransactionsInFlight)
    return std::nullopt;
  std::optional<Instant> Due;
  const auto Consider = [&Due](Instant At) {
    Due = Due ? std::min(*Due, At) : At;
  };
  // A full batch is due at once.
  if (WriteQueue.size() >= Limits.MaxBatch)
    Consider(Instant());
  for (const SubmissionId Id : WriteQueue) {
    const auto Found = Claims.find(Id);
    if (Found == Claims.end())
      continue;
    Consider(Found->second.StartTime + Limits.MaxBatchDelay);
    break;
  }
  if (!Releases.empty())
    Consider(Releases.front().Due);
  if (!Completions.empty())
    Consider(Completions.front().Due);
  if (Due)
    Due = std::max(*Due, WriteRate.next());
  return Due;
}

std::optional<Instant> IntentClaims::nextTimer() const {
  std::optional<Instant> Next = writeDue();
  const auto Consider = [&Next](Instant At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  if (!ReadQueue.empty() || !LostBatchReads.empty())
    Consider(ReadRate.next());
  if (!Deadlines.empty())
    Consider(Deadlines.begin()->first);
  return Next;
}

void IntentClaims::sendDueCalls(Instant Now, Actions &Out) {
  for (auto Due = writeDue(); Due && *Due <= Now; Due = writeDue())
    sendBatch(Now, Out);
  while ((!ReadQueue.empty() || !LostBatchReads.empty()) &&
         ReadRate.allowed(Now))
    sendRead(Now, Out);
}

void IntentClaims::sendBatch(Instant Now, Actions &Out) {
  StoreTransact Call{++LastCallId, {}};
  Batch Ops;
  // With two operations on a row the result would depend on their order.
  std::set<std::string> Rows;
  std::deque<SubmissionId> Later;
  while (!WriteQueue.empty() && Ops.size() < Limits.MaxBatch) {
    const SubmissionId Id = WriteQueue.front();
    WriteQueue.pop_front();
    const auto Found = Claims.find(Id);
    if (Found == Claims.end() || Found->second.State != Phase::Queued)
      continue;
    Claim &C = Found->second;
    if (!Rows.insert(C.RowKey).second) {
      Later.push_back(Id);
      continue;
    }
    C.State = Phase::Writing;
    ++C.Sends;
    Call.Ops.push_back({StoreOp::Kind::Put, std::string(IntentTable), C.RowKey,
                        encodeIntentRow(row(C, IntentState::Claimed)),
                        C.IfVersion});
    Ops.emplace_back(Id);
  }
  WriteQueue.insert(WriteQueue.begin(), Later.begin(), Later.end());
  addUpdates(Releases, Ops, Call.Ops, Rows);
  addUpdates(Completions, Ops, Call.Ops, Rows);
  if (Ops.empty())
    return;
  WriteRate.take(Now);
  Transactions.emplace(Call.CallId, std::move(Ops));
  Out.emplace_back(std::move(Call));
}

void IntentClaims::addUpdates(std::deque<RowUpdate> &From, Batch &Ops,
                              std::vector<StoreOp> &StoreOps,
                              std::set<std::string> &Rows) {
  std::deque<RowUpdate> Later;
  while (!From.empty() && Ops.size() < Limits.MaxBatch) {
    RowUpdate Update = std::move(From.front());
    From.pop_front();
    if (!Rows.insert(Update.RowKey).second) {
      Later.push_back(std::move(Update));
      continue;
    }
    StoreOps.push_back({StoreOp::Kind::Put, std::string(IntentTable),
                        Update.RowKey, Update.Value, Update.IfVersion});
    Ops.emplace_back(std::move(Update));
  }
  From.insert(From.begin(), std::make_move_iterator(Later.begin()),
              std::make_move_iterator(Later.end()));
}

void IntentClaims::sendRead(Instant Now, Actions &Out) {
  ReadCall Call;
  if (!LostBatchReads.empty()) {
    Call = std::move(LostBatchReads.front());
    LostBatchReads.pop_front();
  } else {
    Call.Claim = ReadQueue.front();
    ReadQueue.pop_front();
  }
  const auto Found = Claims.find(Call.Claim);
  if (Found == Claims.end()) {
    if (Call.LostBatch)
      settleLostBatch(*std::move(Call.LostBatch));
    return;
  }
  if (!Call.LostBatch) {
    if (Found->second.State != Phase::ReadQueued)
      return;
    Found->second.State = Phase::Reading;
  }
  ReadRate.take(Now);
  Out.push_back(
      StoreRead{++LastCallId, std::string(IntentTable), Found->second.RowKey});
  Reads.emplace(LastCallId, std::move(Call));
}

} // namespace masticgap::coordination
