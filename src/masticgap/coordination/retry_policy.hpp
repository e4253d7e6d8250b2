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

//! Engine for backoff times; seeded by the owner.
using RetryEngine = std::mt19937_64;

//! Longest wait before the second retry; it doubles with each further one.
inline constexpr Duration BaseBackoff = std::chrono::milliseconds(10);

//! Longest wait before any retry.
inline constexpr Duration MaxBackoff = std::chrono::milliseconds(200);

//! Least time that has to be left after the wait for a retry to make sense.
inline constexpr Duration MinAttemptTime = std::chrono::milliseconds(1);

//! One attempt of a request, the last one included.
struct Attempt {
  WorkerId Worker;
  FailureDomainName Domain;
  AttemptEnd End = AttemptEnd::Answered;
};

//! What is known about the request whose attempt ended.
struct RetryContext {
  bool Repeatable = false;    //!< The method may run more than once.
  bool Forwarded = false;     //!< Another entry host sent it to this one.
  bool AnswerStarted = false; //!< Answer bytes went to the caller.
  Deadline Limit;             //!< The request's deadline.
  Instant Now;
  unsigned MaxAttempts = 4;
  std::span<const Attempt> Attempts; //!< All attempts, in order.
};

//! Send the request again after a wait.
struct Retry {
  Duration Backoff{0};
  std::vector<WorkerId> ExcludedWorkers; //!< All workers that were tried.
  //! Failure domain to avoid if others have workers: that of the last attempt.
  //! Absent for the first retry, which only changes the worker.
  std::optional<FailureDomainName> AvoidedDomain;
};

//! Why a request is not sent again.
enum class GiveUpReason {
  Answered,
  CallerGone,
  MayHaveRun, //!< Not repeatable and not proved not to have run.
  AnswerStarted,
  Forwarded,
  TooManyAttempts,
  DeadlinePassed,
  BudgetUsedUp
};

//! Do not send the request again.
struct GiveUp {
  Outcome ReportedOutcome = Outcome::Unknown; //!< What the caller is told.
  GiveUpReason Reason = GiveUpReason::MayHaveRun;
};

using RetryDecision = std::variant<Retry, GiveUp>;

//! Outcome over all attempts: not run only if every attempt is proved not to
//! have run.
Outcome outcomeOf(std::span<const Attempt> Attempts);

//! Decides what follows the last of the attempts; takes a retry from the budget
//! when it decides for one. Before the retry is sent, the quarantine and the
//! at-most-once guard are asked again.
RetryDecision decideRetry(const RetryContext &Context, RetryBudget &Budget,
                          RetryEngine &Engine);

} // namespace masticgap::coordination
