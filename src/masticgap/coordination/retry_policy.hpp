#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/coordination/deadline.hpp"
#include "masticgap/coordination/retry_budget.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/outcome.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <optional>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Random number engine for backoff times; seeded by the owner.
using BackoffRandom = std::mt19937_64;

//! Maximum backoff before the second retry; doubles with each further one.
inline constexpr Duration BaseBackoff = std::chrono::milliseconds(10);

//! Maximum backoff before any retry.
inline constexpr Duration MaxBackoff = std::chrono::milliseconds(200);

//! Minimum time that has to be left after the backoff for a retry.
inline constexpr Duration MinAttemptTime = std::chrono::milliseconds(1);

//! One completed attempt of a request.
struct Attempt {
  WorkerId Worker;
  FailureDomainName Domain;
  AttemptEnd End = AttemptEnd::Answered;
};

//! State of a request after an attempt ended.
struct RetryContext {
  bool Repeatable = false;    //!< The method may run more than once.
  bool Forwarded = false;     //!< Another entry host forwarded it to this one.
  bool AnswerStarted = false; //!< Answer bytes were sent to the caller.
  Deadline RequestDeadline;
  Instant Now;
  unsigned MaxAttempts = 4;
  std::span<const Attempt> Attempts; //!< All attempts, in order.
};

//! The request is sent again after a backoff.
struct Retry {
  Duration Backoff{0};
  std::vector<WorkerId> ExcludedWorkers; //!< All workers that were tried.
  //! Failure domain of the last attempt, to be avoided if others have workers.
  //! Absent for the first retry, which only changes the worker.
  std::optional<FailureDomainName> AvoidedDomain;
};

//! Reason why a request is not sent again.
enum class GiveUpReason {
  Answered,
  CallerGone,
  MayHaveRun, //!< Not repeatable, and an attempt may have run.
  AnswerStarted,
  Forwarded,
  TooManyAttempts,
  NoTimeLeft, //!< Too little time is left for the backoff and an attempt.
  BudgetUsedUp
};

//! The request is not sent again.
struct GiveUp {
  Outcome ReportedOutcome =
      Outcome::Unknown; //!< Outcome that is reported to the caller.
  GiveUpReason Reason = GiveUpReason::MayHaveRun;
};

using RetryDecision = std::variant<Retry, GiveUp>;

//! Returns the outcome of all attempts; NotRun only if it is proved that no
//! attempt has run.
Outcome outcomeOf(std::span<const Attempt> Attempts);

//! Decides whether the request is retried after the last attempt, and withdraws
//! the retry from the budget. CrashQuarantine::gate() and entry::AtMostOnceGate
//! have to be checked again before the retry is sent.
RetryDecision decideRetry(const RetryContext &Context, RetryBudget &Budget,
                          BackoffRandom &Engine);

} // namespace masticgap::coordination
