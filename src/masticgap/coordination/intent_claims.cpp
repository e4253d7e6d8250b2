#include "masticgap/coordination/intent_claims.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Maximum time that a completion waits for a shared transaction. Completions
//! only inform later readers that the key ran, which does not justify a
//! separate write for each.
constexpr Duration CompletionDelay = std::chrono::seconds(1);

//! Maximum number of waiting updates of each kind. Further ones are dropped.
constexpr std::size_t MaxUpdates = 4096;

//! Maximum number of stored nonces that were never dispatched. If a nonce is
//! evicted, its key is answered "unknown", which is safe.
constexpr std::size_t MaxUnused = 16384;

//! Maximum number of transactions with which a release is attempted while
//! answers are lost. Until it is written, only this run can claim the key
//! again.
constexpr unsigned ReleaseTries = 4;

} // namespace

IntentClaims::IntentClaims(EntryHostRun OwnRun, IntentLimits Bounds)
    : Self(std::move(OwnRun)), Limits(Bounds),
      WriteRate(Bounds.WritesPerSecond), ReadRate(Bounds.ReadsPerSecond) {}

std::vector<IntentAction> IntentClaims::handle(const IntentEvent &Event,
                                               Instant Now) {
  Actions Out;
  // Expire claims first, so that this event cannot win a claim whose deadline
  // has passed. A cancellation is handled before that, because a cancelled
  // claim must not be reported, even at its deadline.
  const bool Cancels = std::holds_alternative<ClaimCancelled>(Event);
  if (!Cancels)
    expire(Now, Out);
  std::visit([&](const auto &E) { on(E, Now, Out); }, Event);
  if (Cancels)
    expire(Now, Out);
  sendDueCalls(Now, Out);
  return Out;
}

bool IntentClaims::mayDispatch(SubmissionId Id, Instant Now) const {
  const auto Found = Claims.find(Id);
  return Found != Claims.end() && Found->second.State == Phase::Won &&
         Now - Found->second.StartTime < MaxClaimAge;
}

void IntentClaims::on(const ClaimRequested &Event, Instant Now, Actions &Out) {
  if (waiting() >= Limits.MaxWaiting) {
    Out.emplace_back(ClaimUnknown{Event.Claim, UnknownReason::TooManyClaims});
    return;
  }
  if (Event.Deadline <= Now) {
    Out.emplace_back(ClaimUnknown{Event.Claim, UnknownReason::DeadlinePassed});
    return;
  }
  Claim C;
  C.Key = Event.Key;
  C.RowKey = intentRowKey(Event.Key);
  C.Request = Event.Request;
  C.StartTime = Now;
  C.Deadline = Event.Deadline;
  C.Nonce = ++LastNonce;
  Deadlines.emplace(C.Deadline, Event.Claim);
  Claims.emplace(Event.Claim, std::move(C));
  WriteQueue.push_back(Event.Claim);
}

void IntentClaims::on(const ClaimCancelled &Event, Instant Now, Actions &Out) {
  const auto Found = Claims.find(Event.Claim);
  if (Found == Claims.end())
    return;
  if (Found->second.State == Phase::Won)
    on(ClaimNotRun{Event.Claim}, Now, Out);
  else
    abandon(Event.Claim, Found->second);
}

void IntentClaims::on(const ClaimNotRun &Event, Instant Now, Actions &) {
  const auto Found = Claims.find(Event.Claim);
  if (Found == Claims.end() || Found->second.State != Phase::Won)
    return;
  release(Found->second, Now);
  Claims.erase(Found);
}

void IntentClaims::on(const ClaimCompleted &Event, Instant Now, Actions &) {
  const auto Found = Claims.find(Event.Claim);
  if (Found == Claims.end() || Found->second.State != Phase::Won)
    return;
  const Claim &C = Found->second;
  if (Completions.size() < MaxUpdates)
    Completions.push_back({C.RowKey, encodeIntentRow(row(C, IntentState::Done)),
                           C.Version, Now + CompletionDelay, 1});
  Claims.erase(Found);
}

void IntentClaims::on(const ClaimUnsettled &Event, Instant, Actions &) {
  const auto Found = Claims.find(Event.Claim);
  if (Found != Claims.end() && Found->second.State == Phase::Won)
    Claims.erase(Found);
}

void IntentClaims::on(const IntentTick &, Instant, Actions &) {}

void IntentClaims::on(const StoreCommitted &Event, Instant Now, Actions &Out) {
  const auto Found = Transactions.find(Event.CallId);
  if (Found == Transactions.end())
    return;
  const Batch Ops = std::move(Found->second);
  Transactions.erase(Found);
  settleBatch(Ops, Event.Version, Now, Out);
}

void IntentClaims::on(const StoreConflict &Event, Instant, Actions &) {
  const auto Found = Transactions.find(Event.CallId);
  if (Found == Transactions.end())
    return;
  Batch Ops = std::move(Found->second);
  Transactions.erase(Found);
  // A conflict that names no operation does not tell which to leave out, so the
  // rows are read.
  if (Event.FailedOps.empty()) {
    settleLostBatch(std::move(Ops));
    return;
  }
  Batch Others;
  for (std::size_t I = 0; I < Ops.size(); ++I) {
    const bool Failed =
        std::count(Event.FailedOps.begin(), Event.FailedOps.end(), I) > 0;
    if (!Failed)
      Others.push_back(std::move(Ops[I]));
    else if (const auto *Id = std::get_if<SubmissionId>(&Ops[I]))
      queueRead(*Id);
  }
  requeue(Others);
}

void IntentClaims::on(const StoreRow &Event, Instant Now, Actions &Out) {
  const auto Found = Reads.find(Event.CallId);
  if (Found == Reads.end())
    return;
  const ReadCall Call = std::move(Found->second);
  Reads.erase(Found);
  if (!Call.LostBatch) {
    settleRow(Call.Claim, Event, Now, Out);
    return;
  }
  const auto Witness = Claims.find(Call.Claim);
  const auto Row = Event.Found ? decodeIntentRow(Event.Value) : std::nullopt;
  if (Witness != Claims.end() && Row && isOwn(*Row, Witness->second))
    settleBatch(*Call.LostBatch, Event.Version, Now, Out);
  else
    requeue(*Call.LostBatch);
}

void IntentClaims::on(const StoreLost &Event, Instant, Actions &) {
  if (const auto Found = Transactions.find(Event.CallId);
      Found != Transactions.end()) {
    Batch Ops = std::move(Found->second);
    Transactions.erase(Found);
    settleLostBatch(std::move(Ops));
    return;
  }
  const auto Found = Reads.find(Event.CallId);
  if (Found == Reads.end())
    return;
  ReadCall Call = std::move(Found->second);
  Reads.erase(Found);
  if (Call.LostBatch)
    settleLostBatch(*std::move(Call.LostBatch));
  else
    queueRead(Call.Claim);
}

IntentRow IntentClaims::row(const Claim &C, IntentState State) const {
  return {C.Key, Self.Host, Self.Run, C.Nonce, C.Request, State};
}

bool IntentClaims::isOwn(const IntentRow &Row, const Claim &C) const {
  return Row == row(C, IntentState::Claimed);
}

void IntentClaims::settleBatch(const Batch &Ops, std::uint64_t Version,
                               Instant Now, Actions &Out) {
  for (const auto &Op : Ops)
    if (const auto *Id = std::get_if<SubmissionId>(&Op))
      recordWon(*Id, Version, Now, Out);
}

// If the transaction took effect, so did each of its operations. Reading a
// single row proves this if no other transaction can have written its nonce.
void IntentClaims::settleLostBatch(Batch Ops) {
  const auto SentOnce = [this](const BatchOp &Op) {
    const auto *Id = std::get_if<SubmissionId>(&Op);
    const auto Found = Id ? Claims.find(*Id) : Claims.end();
    return Found != Claims.end() && !Found->second.Abandoned &&
           Found->second.Sends == 1;
  };
  const auto Witness = std::find_if(Ops.begin(), Ops.end(), SentOnce);
  if (Witness != Ops.end()) {
    const SubmissionId Id = std::get<SubmissionId>(*Witness);
    LostBatchReads.push_back({Id, std::move(Ops)});
    return;
  }
  Batch Updates;
  for (auto &Op : Ops) {
    if (const auto *Id = std::get_if<SubmissionId>(&Op))
      queueRead(*Id);
    else
      Updates.push_back(std::move(Op));
  }
  requeue(Updates);
}

void IntentClaims::settleRow(SubmissionId Id, const StoreRow &Answer,
                             Instant Now, Actions &Out) {
  const auto Found = Claims.find(Id);
  if (Found == Claims.end())
    return;
  Claim &C = Found->second;
  const auto Row = Answer.Found ? decodeIntentRow(Answer.Value) : std::nullopt;
  if (Row && isOwn(*Row, C))
    return recordWon(Id, Answer.Version, Now, Out);
  if (C.Abandoned)
    return eraseClaim(Id);
  if (!Answer.Found)
    return takeOver(Id, 0);
  if (!Row || Row->Key != C.Key)
    return settleUnknown(Id, UnknownReason::OutcomeUnknown, Out);
  if (Row->State == IntentState::NotRun)
    return takeOver(Id, Answer.Version);
  const bool HeldHere = Row->Holder == Self.Host && Row->Run == Self.Run;
  if (HeldHere && isUnused(C, Row->Nonce))
    return takeOver(Id, Answer.Version);
  // A row with another fingerprint proves that this request did not run only if
  // this run holds the row or the row is final. Otherwise its holder may have
  // released it in the meantime.
  if (Row->Request != C.Request &&
      (HeldHere || Row->State == IntentState::Done)) {
    Out.emplace_back(ClaimRefused{Id});
    return eraseClaim(Id);
  }
  if (HeldHere)
    return settleUnknown(Id, UnknownReason::OutcomeNotKept, Out);
  if (Row->Holder == Self.Host)
    return settleUnknown(Id, UnknownReason::OwnerGone, Out);
  Out.emplace_back(ClaimHeld{Id, Row->Holder, Row->Run});
  eraseClaim(Id);
}

void IntentClaims::recordWon(SubmissionId Id, std::uint64_t Version,
                             Instant Now, Actions &Out) {
  const auto Found = Claims.find(Id);
  if (Found == Claims.end() || Found->second.State == Phase::Won)
    return;
  Claim &C = Found->second;
  C.Version = Version;
  C.State = Phase::Won;
  // A waiting release of an earlier claim of this run can no longer succeed.
  dropReleases(C.RowKey);
  if (C.Abandoned) {
    release(C, Now);
    Claims.erase(Found);
    return;
  }
  Deadlines.erase({C.Deadline, Id});
  Out.emplace_back(ClaimWon{Id});
}

void IntentClaims::takeOver(SubmissionId Id, std::uint64_t Version) {
  Claims.at(Id).IfVersion = Version;
  requeue(Id);
}

// Puts the claim at the front of the queue, because it has already waited once.
void IntentClaims::requeue(SubmissionId Id) {
  const auto Found = Claims.find(Id);
  if (Found == Claims.end())
    return;
  if (Found->second.Abandoned) {
    eraseClaim(Id);
    return;
  }
  Found->second.State = Phase::Queued;
  WriteQueue.push_front(Id);
}

void IntentClaims::requeue(const Batch &Ops) {
  for (auto Op = Ops.rbegin(); Op != Ops.rend(); ++Op) {
    if (const auto *Id = std::get_if<SubmissionId>(&*Op)) {
      requeue(*Id);
      continue;
    }
    // A completion has a single try, so only releases are queued again.
    RowUpdate Update = std::get<RowUpdate>(*Op);
    if (--Update.TriesLeft > 0)
      Releases.push_front(std::move(Update));
  }
}

void IntentClaims::queueRead(SubmissionId Id) {
  const auto Found = Claims.find(Id);
  if (Found == Claims.end())
    return;
  if (Found->second.Abandoned) {
    eraseClaim(Id);
    return;
  }
  Found->second.State = Phase::ReadQueued;
  ReadQueue.push_back(Id);
}

void IntentClaims::release(const Claim &C, Instant Now) {
  rememberUnused(C);
  if (Releases.size() < MaxUpdates)
    Releases.push_back({C.RowKey, encodeIntentRow(row(C, IntentState::NotRun)),
                        C.Version, Now + Limits.MaxBatchDelay, ReleaseTries});
}

void IntentClaims::settleUnknown(SubmissionId Id, UnknownReason Reason,
                                 Actions &Out) {
  Out.emplace_back(ClaimUnknown{Id, Reason});
  eraseClaim(Id);
}

void IntentClaims::eraseClaim(SubmissionId Id) {
  const auto Found = Claims.find(Id);
  if (Found == Claims.end())
    return;
  if (Found->second.Sends > 0)
    rememberUnused(Found->second);
  Deadlines.erase({Found->second.Deadline, Id});
  Claims.erase(Found);
}

// Keeps a claim whose write may still take effect until the write is answered,
// so that its row is released. If the answer is lost, the row may stay
// unreleased; then only this run can take it over (see Unused).
void IntentClaims::abandon(SubmissionId Id, Claim &C) {
  Deadlines.erase({C.Deadline, Id});
  if (C.State == Phase::Queued || C.State == Phase::ReadQueued) {
    eraseClaim(Id);
    return;
  }
  C.Abandoned = true;
  rememberUnused(C);
}

// Must be called only for claims that this run will never dispatch.
void IntentClaims::rememberUnused(const Claim &C) {
  if (Unused.insert_or_assign(C.RowKey, C.Nonce).second)
    UnusedOrder.push_back(C.RowKey);
  while (UnusedOrder.size() > MaxUnused) {
    Unused.erase(UnusedOrder.front());
    UnusedOrder.pop_front();
  }
}

bool IntentClaims::isUnused(const Claim &C, std::uint64_t Nonce) const {
  const auto Found = Unused.find(C.RowKey);
  return Found != Unused.end() && Found->second == Nonce;
}

void IntentClaims::expire(Instant Now, Actions &Out) {
  while (!Deadlines.empty() && Deadlines.begin()->first <= Now) {
    const SubmissionId Id = Deadlines.begin()->second;
    Out.emplace_back(ClaimUnknown{Id, UnknownReason::DeadlinePassed});
    abandon(Id, Claims.at(Id));
  }
}

void IntentClaims::dropReleases(const std::string &RowKey) {
  std::erase_if(Releases,
                [&](const RowUpdate &U) { return U.RowKey == RowKey; });
}

std::size_t IntentClaims::waiting() const { return Deadlines.size(); }

} // namespace masticgap::coordination
