// Sends requests to workers, most of which refuse them, and shows that the
// budget bounds the retries.

#include "masticgap/coordination/retry_policy.hpp"

#include <iostream>
#include <random>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr int Requests = 1000;

//! Makes one attempt: the worker answers with the given probability, else
//! refuses.
AttemptEnd attempt(std::mt19937_64 &Random, double AnswerShare) {
  return std::bernoulli_distribution(AnswerShare)(Random)
             ? AttemptEnd::Answered
             : AttemptEnd::RefusedFull;
}

//! Retries one request until it ends, and counts its attempts.
Outcome run(Instant Now, double AnswerShare, RetryBudget &Budget,
            std::mt19937_64 &Random, int &Attempts) {
  std::vector<Attempt> Tried;
  RetryContext Context;
  Context.RequestDeadline = Deadline(Now + 2s);
  Context.Now = Now;
  for (;;) {
    const std::string Suffix = std::to_string(Tried.size());
    Tried.push_back({WorkerId("w" + Suffix), FailureDomainName("d" + Suffix),
                     attempt(Random, AnswerShare)});
    ++Attempts;
    Context.Attempts = Tried;
    const RetryDecision Decision = decideRetry(Context, Budget, Random);
    if (const auto *Stop = std::get_if<GiveUp>(&Decision)) {
      if (Stop->ReportedOutcome == Outcome::Answered)
        Budget.recordSuccess(Context.Now);
      return Stop->ReportedOutcome;
    }
    // A real program waits here and chooses a worker that is not excluded.
    Context.Now += std::get<Retry>(Decision).Backoff;
  }
}

} // namespace

int main() {
  for (const double AnswerShare : {0.95, 0.1}) {
    RetryBudget Budget;
    std::mt19937_64 Random(1);
    int Attempts = 0;
    int Answered = 0;
    for (int I = 0; I < Requests; ++I)
      Answered += run(Instant(1s), AnswerShare, Budget, Random, Attempts) ==
                  Outcome::Answered;
    std::cout << "workers answer " << 100 * AnswerShare << " %: " << Answered
              << " of " << Requests << " requests answered with " << Attempts
              << " attempts\n";
    // The budget allows retries for 10 % of the successes, plus 10.
    if (Attempts > Requests + Answered / 10 + 10)
      return 1;
  }
  return 0;
}
