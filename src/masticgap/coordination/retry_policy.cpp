#include "masticgap/coordination/retry_policy.hpp"

#include <algorithm>
#include <optional>

namespace masticgap::coordination {

namespace {

//! Returns a reason that excludes a retry regardless of budget and time left.
std::optional<GiveUpReason> exclusionReason(const RetryContext &Context) {
  const AttemptEnd End = Context.Attempts.back().End;
  if (End == AttemptEnd::Answered)
    return GiveUpReason::Answered;
  if (End == AttemptEnd::Cancelled)
    return GiveUpReason::CallerGone;
  if (Context.AnswerStarted)
    return GiveUpReason::AnswerStarted;
  if (!Context.Repeatable && outcomeOf(Context.Attempts) != Outcome::NotRun)
    return GiveUpReason::MayHaveRun;
  if (Context.Forwarded)
    return GiveUpReason::Forwarded;
  if (Context.Attempts.size() >= Context.MaxAttempts)
    return GiveUpReason::TooManyAttempts;
  return std::nullopt;
}

//! Returns the backoff: none before the first retry, because it goes to another
//! worker; then a random time whose upper limit doubles, so that retries are
//! spread out.
Duration backoff(std::size_t Attempts, BackoffRandom &Engine) {
  if (Attempts < 2)
    return Duration(0);
  const auto Doublings = std::min<std::size_t>(Attempts - 2, 16);
  const Duration Limit =
      std::min(MaxBackoff, BaseBackoff * (Duration::rep{1} << Doublings));
  std::uniform_int_distribution<Duration::rep> Backoff(0, Limit.count());
  return Duration(Backoff(Engine));
}

Retry makeRetry(const RetryContext &Context, Duration Backoff) {
  Retry Next;
  Next.Backoff = Backoff;
  for (const Attempt &A : Context.Attempts)
    Next.ExcludedWorkers.push_back(A.Worker);
  if (Context.Attempts.size() > 1)
    Next.AvoidedDomain = Context.Attempts.back().Domain;
  return Next;
}

} // namespace

Outcome outcomeOf(std::span<const Attempt> Attempts) {
  if (!Attempts.empty() && Attempts.back().End == AttemptEnd::Answered)
    return Outcome::Answered;
  const bool NoneRan =
      std::all_of(Attempts.begin(), Attempts.end(),
                  [](const Attempt &A) { return provedNotRun(A.End); });
  return NoneRan ? Outcome::NotRun : Outcome::Unknown;
}

RetryDecision decideRetry(const RetryContext &Context, RetryBudget &Budget,
                          BackoffRandom &Engine) {
  const Outcome ReportedOutcome = outcomeOf(Context.Attempts);
  // Without an attempt there is nothing to retry.
  if (Context.Attempts.empty())
    return GiveUp{ReportedOutcome, GiveUpReason::TooManyAttempts};
  if (const auto Reason = exclusionReason(Context))
    return GiveUp{ReportedOutcome, *Reason};
  const Duration Backoff = backoff(Context.Attempts.size(), Engine);
  if (Context.RequestDeadline.remaining(Context.Now) < Backoff + MinAttemptTime)
    return GiveUp{ReportedOutcome, GiveUpReason::NoTimeLeft};
  if (!Budget.tryWithdraw(Context.Now))
    return GiveUp{ReportedOutcome, GiveUpReason::BudgetUsedUp};
  return makeRetry(Context, Backoff);
}

} // namespace masticgap::coordination
