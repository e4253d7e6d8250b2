#include "masticgap/coordination/at_most_once.hpp"

#include <algorithm>
#include <vector>

namespace masticgap::coordination {

namespace {

//! Hash buckets that each admit() examines for keys of dropped epochs. Small,
//! because admit() runs on the forwarding thread; examining the complete table
//! takes 4,096 requests.
constexpr std::size_t SweepBuckets = 32;

//! Buckets examined before a new key is refused because the table is full.
constexpr std::size_t SweepBucketsWhenFull = 4096;

} // namespace

AtMostOnceGuard::AtMostOnceGuard(EntryHostRun OwnRun, Instant StartTime,
                                 AtMostOnceLimits Bounds)
    : Self(std::move(OwnRun)), Start(StartTime), Limits(Bounds) {
  // Rehashing the full table would block the forwarding thread.
  Entries.reserve(Limits.MaxKeys);
}

std::uint64_t AtMostOnceGuard::epoch(Instant Now) const {
  return Now <= Start ? 0
                      : static_cast<std::uint64_t>((Now - Start) / EpochLength);
}

std::string AtMostOnceGuard::keyPrefix(Instant Now) const {
  return formatKeyPrefix({Self.Host, Self.Run, epoch(Now)});
}

bool AtMostOnceGuard::inProgress(const Entry &E) {
  return E.State == Phase::Admitted || E.State == Phase::Dispatched;
}

bool AtMostOnceGuard::isDropped(std::uint64_t Epoch) const {
  return Epoch + KeptEpochs <= NewestEpoch;
}

Verdict AtMostOnceGuard::admit(const IdempotencyKey &Key, Fingerprint Request,
                               Instant Now, RequestOrigin Origin) {
  NewestEpoch = std::max(NewestEpoch, epoch(Now));
  sweep(SweepBuckets);
  if (Key.Bound) {
    if (auto Decided = checkBinding(*Key.Bound, Origin))
      return *std::move(Decided);
  }
  const auto Position = Entries.find(Key.Text);
  if (Position != Entries.end()) {
    Entry &Existing = Position->second;
    if (inProgress(Existing) || !isDropped(Existing.Epoch))
      return admitExisting(Existing, Request);
    eraseEntry(Position);
  }
  if (Key.Bound && isDropped(Key.Bound->Epoch))
    return AnswerUnknown{UnknownReason::EpochDropped};
  return admitNew(Key, Request);
}

std::optional<Verdict>
AtMostOnceGuard::checkBinding(const Binding &B, RequestOrigin Origin) const {
  if (B.Host != Self.Host) {
    if (Origin == RequestOrigin::Forwarded)
      return AnswerUnknown{UnknownReason::ForwardedTwice};
    return ForwardToOwner{B.Host, B.Run};
  }
  if (B.Run != Self.Run)
    return AnswerUnknown{UnknownReason::OwnerGone};
  if (B.Epoch > NewestEpoch)
    return RefuseNotRun{RefuseReason::FutureEpoch};
  return std::nullopt;
}

Verdict AtMostOnceGuard::admitExisting(Entry &E, Fingerprint Request) {
  if (E.Request != Request) {
    // Until the claim of a bare key is won, this may be the request that ran
    // at another host.
    if (E.Bare && E.State == Phase::Admitted)
      return AnswerUnknown{UnknownReason::OutcomeUnknown};
    return RefuseNotRun{RefuseReason::OtherRequest};
  }
  switch (E.State) {
  case Phase::Admitted:
  case Phase::Dispatched:
    ++E.WaitingCallers;
    return JoinInFlight{E.Submission};
  case Phase::Answered:
    if (E.Answer)
      return ReplayAnswer{E.Answer};
    return AnswerUnknown{UnknownReason::AnswerNotKept};
  case Phase::Unknown:
    break;
  }
  return AnswerUnknown{UnknownReason::OutcomeUnknown};
}

Verdict AtMostOnceGuard::admitNew(const IdempotencyKey &Key,
                                  Fingerprint Request) {
  if (Entries.size() >= Limits.MaxKeys)
    sweep(SweepBucketsWhenFull);
  if (Entries.size() >= Limits.MaxKeys) {
    // A bare key may have run at another host, so "not run" would be wrong.
    if (Key.Bound)
      return RefuseNotRun{RefuseReason::KeyTableFull};
    return AnswerUnknown{UnknownReason::KeyTableFull};
  }
  const SubmissionId Submission = ++LastSubmission;
  Entry E;
  E.Request = Request;
  E.Submission = Submission;
  E.Epoch = Key.Bound ? Key.Bound->Epoch : NewestEpoch;
  E.WaitingCallers = 1;
  E.Bare = !Key.Bound;
  Entries.emplace(Key.Text, std::move(E));
  if (Key.Bound)
    return Dispatch{Submission};
  return ClaimIntent{Submission};
}

AtMostOnceGuard::Entry *AtMostOnceGuard::find(const IdempotencyKey &Key,
                                              SubmissionId Submission) {
  const auto Position = Entries.find(Key.Text);
  if (Position == Entries.end() || Position->second.Submission != Submission)
    return nullptr;
  return &Position->second;
}

bool AtMostOnceGuard::mayDispatch(const IdempotencyKey &Key,
                                  SubmissionId Submission) const {
  const auto Position = Entries.find(Key.Text);
  return Position != Entries.end() &&
         Position->second.Submission == Submission &&
         inProgress(Position->second);
}

bool AtMostOnceGuard::dispatched(const IdempotencyKey &Key,
                                 SubmissionId Submission) {
  Entry *E = find(Key, Submission);
  if (!E || !inProgress(*E))
    return false;
  E->State = Phase::Dispatched;
  return true;
}

void AtMostOnceGuard::notRun(const IdempotencyKey &Key,
                             SubmissionId Submission) {
  const Entry *E = find(Key, Submission);
  if (E && inProgress(*E))
    eraseEntry(Entries.find(Key.Text));
}

void AtMostOnceGuard::answered(const IdempotencyKey &Key,
                               SubmissionId Submission,
                               std::optional<StoredAnswer> Answer) {
  Entry *E = find(Key, Submission);
  if (!E || E->State == Phase::Answered)
    return;
  E->State = Phase::Answered;
  E->WaitingCallers = 0;
  const std::size_t Bytes = Answer ? Answer->bytes() : 0;
  if (!Answer || Bytes > Limits.MaxAnswerBytes)
    return;
  E->Answer = std::make_shared<const StoredAnswer>(*std::move(Answer));
  TotalAnswerBytes += Bytes;
  AnswerOrder.emplace_back(Key.Text, Submission);
  evictAnswers();
}

void AtMostOnceGuard::unknown(const IdempotencyKey &Key,
                              SubmissionId Submission) {
  Entry *E = find(Key, Submission);
  if (!E || !inProgress(*E))
    return;
  E->State = Phase::Unknown;
  E->WaitingCallers = 0;
}

CallerGoneAction AtMostOnceGuard::callerGone(const IdempotencyKey &Key,
                                             SubmissionId Submission) {
  Entry *E = find(Key, Submission);
  if (!E || !inProgress(*E))
    return CallerGoneAction::KeepRunning;
  if (E->WaitingCallers > 0)
    --E->WaitingCallers;
  if (E->WaitingCallers > 0 || E->State == Phase::Dispatched)
    return CallerGoneAction::KeepRunning;
  eraseEntry(Entries.find(Key.Text));
  return CallerGoneAction::Withdraw;
}

void AtMostOnceGuard::eraseEntry(EntryMap::iterator Position) {
  releaseAnswer(Position->second);
  Entries.erase(Position);
}

void AtMostOnceGuard::releaseAnswer(Entry &E) {
  if (!E.Answer)
    return;
  TotalAnswerBytes -= E.Answer->bytes();
  E.Answer.reset();
}

// Drops the oldest answers. The fact that their keys ran is kept.
void AtMostOnceGuard::evictAnswers() {
  const auto HoldsAnswer =
      [this](const std::pair<std::string, SubmissionId> &Item) {
        const auto Position = Entries.find(Item.first);
        return Position != Entries.end() &&
               Position->second.Submission == Item.second &&
               Position->second.Answer != nullptr;
      };
  while (!AnswerOrder.empty() &&
         (TotalAnswerBytes > Limits.MaxTotalAnswerBytes ||
          !HoldsAnswer(AnswerOrder.front()))) {
    if (HoldsAnswer(AnswerOrder.front()))
      releaseAnswer(Entries.find(AnswerOrder.front().first)->second);
    AnswerOrder.pop_front();
  }
}

// Removes settled keys of dropped epochs. Examines only a few buckets per call,
// so that no request waits for the removal of a complete epoch.
void AtMostOnceGuard::sweep(std::size_t Buckets) {
  const std::size_t Count = Entries.bucket_count();
  std::vector<std::string> DroppedKeys;
  for (std::size_t I = 0; I < std::min(Buckets, Count); ++I) {
    SweepBucket = (SweepBucket + 1) % Count;
    for (auto It = Entries.begin(SweepBucket); It != Entries.end(SweepBucket);
         ++It)
      if (!inProgress(It->second) && isDropped(It->second.Epoch))
        DroppedKeys.push_back(It->first);
  }
  for (const auto &Text : DroppedKeys)
    eraseEntry(Entries.find(Text));
}

} // namespace masticgap::coordination
