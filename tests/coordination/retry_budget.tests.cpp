#include "masticgap/coordination/retry_budget.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

// Guards against retries that amplify an overload, and against a budget that is
// never replenished.
TEST_CASE("retries stay under the share of recent successes plus the minimum") {
  struct Case {
    const char *Name;
    RetryBudgetLimits Limits;
    Duration Age;
    int Successes;
    int Expected;
  };
  const Case Cases[] = {
      {"no traffic", {}, 0s, 0, 10},
      {"share of successes", {}, 0s, 1000, 110},
      {"successes within the window", {}, 9s, 1000, 110},
      {"successes out of the window", {}, 10s, 1000, 10},
      {"successes of an earlier period", {}, 25s, 1000, 10},
      {"no minimum", {.Share = 0.5, .Minimum = 0}, 0s, 9, 4},
      {"nothing allowed", {.Share = 0, .Minimum = 0}, 0s, 1000, 0},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    RetryBudget Budget(C.Limits);
    const Instant Start{100s};
    for (int I = 0; I < C.Successes; ++I)
      Budget.recordSuccess(Start);
    int Retries = 0;
    while (Retries < 10000 && Budget.tryWithdraw(Start + C.Age))
      ++Retries;
    CHECK(Retries == C.Expected);
    CHECK(Budget.tryWithdraw(Start + C.Age + 10s) == (C.Limits.Minimum > 0));
  }
}
