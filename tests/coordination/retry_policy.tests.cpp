#include "masticgap/coordination/retry_policy.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

const Instant Now{100s};

Attempt attempt(int Number, AttemptEnd End) {
  return {WorkerId("w" + std::to_string(Number)),
          FailureDomainName("d" + std::to_string(Number)), End};
}

} // namespace

// Guards against a second execution of a non-repeatable request, a wrong
// "not run", and retries that outlast the caller's deadline or amplify load.
TEST_CASE("the decision depends on the results of all attempts") {
  using enum AttemptEnd;
  struct Case {
    const char *Name;
    std::vector<AttemptEnd> Ends;
    bool Repeatable;
    std::optional<GiveUpReason> Reason; //!< Absent for a retry.
    Outcome ReportedOutcome = Outcome::Unknown;
    bool Forwarded = false;
    bool AnswerStarted = false;
    unsigned Budget = 10;
    Duration TimeLeft = 2s;
  };
  const auto No = std::nullopt;
  const Case Cases[] = {
      {"answered", {Answered}, true, GiveUpReason::Answered, Outcome::Answered},
      {"answered later",
       {ConnectionLost, Answered},
       true,
       GiveUpReason::Answered,
       Outcome::Answered},
      {"refused, full", {RefusedFull}, false, No},
      {"refused, leaving", {RefusedLeaving}, false, No},
      {"no connection", {ConnectFailed}, false, No},
      {"lost, repeatable", {ConnectionLost}, true, No},
      {"lost, not repeatable",
       {ConnectionLost},
       false,
       GiveUpReason::MayHaveRun},
      {"timed out, not repeatable",
       {TimedOut},
       false,
       GiveUpReason::MayHaveRun},
      {"truncated, not repeatable",
       {Truncated},
       false,
       GiveUpReason::MayHaveRun},
      {"truncated before the caller saw it", {Truncated}, true, No},
      {"truncated after the caller saw it",
       {Truncated},
       true,
       GiveUpReason::AnswerStarted,
       Outcome::Unknown,
       false,
       true},
      {"cancelled", {Cancelled}, true, GiveUpReason::CallerGone},
      {"refused after a lost one",
       {ConnectionLost, RefusedFull},
       false,
       GiveUpReason::MayHaveRun},
      {"refused, forwarded",
       {RefusedFull},
       false,
       GiveUpReason::Forwarded,
       Outcome::NotRun,
       true},
      {"lost, forwarded",
       {ConnectionLost},
       true,
       GiveUpReason::Forwarded,
       Outcome::Unknown,
       true},
      {"refused four times",
       {RefusedFull, RefusedFull, RefusedFull, RefusedFull},
       false,
       GiveUpReason::TooManyAttempts,
       Outcome::NotRun},
      {"refused once of four",
       {ConnectionLost, RefusedFull, RefusedFull, RefusedFull},
       true,
       GiveUpReason::TooManyAttempts,
       Outcome::Unknown},
      {"refused at the deadline",
       {RefusedFull},
       false,
       GiveUpReason::NoTimeLeft,
       Outcome::NotRun,
       false,
       false,
       10,
       0s},
      {"lost at the deadline",
       {ConnectionLost},
       true,
       GiveUpReason::NoTimeLeft,
       Outcome::Unknown,
       false,
       false,
       10,
       500us},
      {"refused without budget",
       {RefusedFull},
       false,
       GiveUpReason::BudgetUsedUp,
       Outcome::NotRun,
       false,
       false,
       0},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    std::vector<Attempt> Attempts;
    for (const AttemptEnd End : C.Ends)
      Attempts.push_back(attempt(static_cast<int>(Attempts.size()), End));
    RetryContext Context;
    Context.Repeatable = C.Repeatable;
    Context.Forwarded = C.Forwarded;
    Context.AnswerStarted = C.AnswerStarted;
    Context.RequestDeadline = Deadline(Now + C.TimeLeft);
    Context.Now = Now;
    Context.Attempts = Attempts;
    RetryBudget Budget({.Share = 0, .Minimum = C.Budget});
    BackoffRandom Engine(1);
    const RetryDecision Decision = decideRetry(Context, Budget, Engine);
    const auto *Stop = std::get_if<GiveUp>(&Decision);
    REQUIRE((Stop != nullptr) == C.Reason.has_value());
    if (!Stop)
      continue;
    CHECK(Stop->Reason == *C.Reason);
    CHECK(toString(Stop->ReportedOutcome) == toString(C.ReportedOutcome));
  }
}

// Guards against retries on the same worker or in the same failing domain, and
// against hosts that retry at the same time.
TEST_CASE(
    "retries go to other workers, then other domains, with growing backoff") {
  std::vector<Attempt> Attempts;
  RetryBudget Budget;
  BackoffRandom Engine(1);
  RetryContext Context;
  Context.RequestDeadline = Deadline(Now + 10s);
  Context.Now = Now;
  Context.MaxAttempts = 9;
  for (unsigned I = 0; I < 8; ++I) {
    CAPTURE(I);
    Attempts.push_back(attempt(static_cast<int>(I), AttemptEnd::RefusedFull));
    Context.Attempts = Attempts;
    const RetryDecision Decision = decideRetry(Context, Budget, Engine);
    const auto *Next = std::get_if<Retry>(&Decision);
    REQUIRE(Next);
    CHECK(Next->ExcludedWorkers.size() == I + 1);
    CHECK(Next->ExcludedWorkers.back() == Attempts.back().Worker);
    CHECK(Next->AvoidedDomain.has_value() == (I > 0));
    if (I > 0)
      CHECK(*Next->AvoidedDomain == Attempts.back().Domain);
    const Duration Limit =
        I == 0 ? Duration(0)
               : std::min(MaxBackoff, BaseBackoff * (1 << (I - 1)));
    CHECK(Next->Backoff <= Limit);
    CHECK((I == 0 || Next->Backoff > Duration(0)));
  }
}
