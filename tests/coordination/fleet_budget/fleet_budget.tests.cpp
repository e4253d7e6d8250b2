#include "masticgap/coordination/fleet_budget/cold_start_limiter.hpp"
#include "masticgap/coordination/fleet_budget/fleet_retry_budget.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

std::vector<HostId> hosts(int Count) {
  std::vector<HostId> Result;
  for (int I = 0; I < Count; ++I)
    Result.emplace_back("h" + std::to_string(I));
  return Result;
}

} // namespace

// Guards against retries of the whole fleet above the specified limit: the
// ratio of the requests plus the slack, in any window.
TEST_CASE("the retries of all hosts stay within the limit of the fleet") {
  struct Case {
    const char *Name;
    int Hosts;
    int RequestsPerHost; //!< Per second.
    double Slack;
  };
  const Case Cases[] = {
      {"no slack", 10, 4, 0},
      {"few requests", 16, 1, 112},
      {"many hosts", 124, 9, 312},
      {"one host", 1, 100, 50},
  };
  const FleetRetryLimits Limits{.Ratio = 0.2, .Slack = 0, .Window = 10s};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    FleetRetryLimits HostLimits = Limits;
    HostLimits.Slack = C.Slack;
    std::vector<FleetRetryBudget> Fleet(C.Hosts,
                                        FleetRetryBudget(HostLimits, Start));
    std::vector<int> PerSecond;
    for (int Second = 0; Second < 60; ++Second) {
      int Retries = 0;
      const Instant Now = Start + Second * 1s;
      for (FleetRetryBudget &Host : Fleet) {
        for (int I = 0; I < C.RequestsPerHost; ++I)
          Host.recordRequest(Now);
        while (Host.tryWithdraw(Fleet.size(), Now))
          ++Retries;
      }
      PerSecond.push_back(Retries);
    }
    const double Bound = 0.2 * C.Hosts * C.RequestsPerHost * 10 + C.Slack;
    for (std::size_t I = 0; I + 10 <= PerSecond.size(); ++I) {
      int Sum = 0;
      for (std::size_t J = I; J < I + 10; ++J)
        Sum += PerSecond[J];
      CHECK(Sum <= Bound);
    }
  }
}

// Guards against a fleet that spends the slack again after each restart.
TEST_CASE("a host that has just started gets no slack") {
  FleetRetryBudget Budget({.Ratio = 0.2, .Slack = 100, .Window = 10s}, Start);
  CHECK_FALSE(Budget.tryWithdraw(1, Start + 5s));
  CHECK(Budget.tryWithdraw(1, Start + 10s));
}

// Guards against a cold worker that crashes under the requests of all hosts
// together. The specified limit is 1.5 times its rate plus 5 in any second.
TEST_CASE("all hosts together stay within the rate of a cold worker") {
  struct Case {
    const char *Name;
    double Rate;
    int Hosts;
    int RestartEvery; //!< Steps of 50 ms between restarts of all hosts; 0:
                      //!< none.
  };
  const Case Cases[] = {
      {"few hosts", 2.7, 2, 0},       {"a fleet", 2.7, 16, 0},
      {"a large fleet", 2.7, 124, 0}, {"a fast worker", 13, 26, 0},
      {"restarts", 2.7, 16, 30},      {"a slow worker", 0.4, 16, 0},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const std::vector<HostId> All = hosts(C.Hosts);
    std::vector<ColdStartLimiter> Limiters;
    for (const HostId &Host : All)
      Limiters.emplace_back(Host);
    std::vector<int> Sent;
    for (int Step = 0; Step < 400; ++Step) {
      const Instant Now = Start + Step * 50ms;
      if (C.RestartEvery > 0 && Step % C.RestartEvery == 0)
        for (int I = 0; I < C.Hosts; ++I)
          Limiters[I] = ColdStartLimiter(All[I]);
      int SentInStep = 0;
      for (ColdStartLimiter &Limiter : Limiters)
        if (Limiter.maySend(42, C.Rate, All, Now)) {
          Limiter.recordSent(42, Now);
          ++SentInStep;
        }
      Sent.push_back(SentInStep);
    }
    int Total = 0;
    for (std::size_t I = 0; I + 20 <= Sent.size(); ++I) {
      int Second = 0;
      for (std::size_t J = I; J < I + 20; ++J)
        Second += Sent[J];
      CHECK(Second <= C.Rate * 1.5 + 5);
      Total += Sent[I];
    }
    CHECK(Total > 0);
  }
}
