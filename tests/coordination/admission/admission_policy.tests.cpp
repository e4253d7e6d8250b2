#include "masticgap/coordination/admission/admission_policy.hpp"

#include <doctest/doctest.h>

#include <array>
#include <deque>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

TEST_CASE("a request is refused when it would wait too long") {
  struct Case {
    const char *Name;
    AdmissionRequest Given;
    bool Admitted;
  };
  const Case Cases[] = {
      {"no wait", {2, 400ms, 2s, 0ms, 200ms}, true},
      {"a wait within the objective", {0, 400ms, 2s, 350ms, 550ms}, true},
      {"a wait above the objective", {0, 400ms, 2s, 450ms, 650ms}, false},
      {"the same wait of a less urgent one",
       {2, 400ms, 2s, 350ms, 550ms},
       false},
      {"the least urgent may wait a little",
       {9, 400ms, 2s, 150ms, 350ms},
       true},
      {"hardly done before the deadline", {0, 400ms, 300ms, 0ms, 350ms}, true},
      {"done after the deadline", {0, 400ms, 200ms, 0ms, 350ms}, false},
      {"done after the deadline for its wait",
       {0, 400ms, 300ms, 250ms, 600ms},
       false},
      {"late, but before the deadline", {0, 400ms, 2s, 0ms, 900ms}, true},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const AdmissionVerdict Verdict = decideAdmission(C.Given);
    CHECK(std::holds_alternative<Admitted>(Verdict) == C.Admitted);
    if (const auto *Away = std::get_if<Rejected>(&Verdict)) {
      CHECK(Away->RetryAfter >= 100ms);
      CHECK(Away->RetryAfter <= C.Given.QueueWait + 100ms);
    }
  }
}

// Plays twice the load that a worker can serve, and checks what callers get:
// without admission nearly all answers are late, with it most of those that
// were admitted are on time, and the urgent ones are not worse off.
TEST_CASE("under twice the capacity admitted requests are answered in time") {
  constexpr Duration Work = 100ms;
  constexpr Duration Target = 400ms;
  struct Result {
    int Asked = 0;
    int Admitted = 0;
    int OnTime = 0;
  };
  const auto Play = [&](bool WithAdmission) {
    std::array<Result, 3> ByPriority;
    Instant FreeAt{0s};
    unsigned Next = 0;
    // One slot serves 10 requests a second; 20 arrive.
    for (Instant Now{0s}; Now < Instant(60s); Now += 50ms) {
      const unsigned Priority = Next++ % 3;
      Result &Of = ByPriority.at(Priority);
      ++Of.Asked;
      const Duration Wait = std::max(Duration(0), FreeAt - Now);
      const AdmissionVerdict Verdict =
          decideAdmission({Priority, Target, 5s, Wait, Wait + Work});
      if (WithAdmission && !std::holds_alternative<Admitted>(Verdict))
        continue;
      ++Of.Admitted;
      FreeAt = std::max(FreeAt, Now) + Work;
      Of.OnTime += FreeAt - Now <= Target;
    }
    return ByPriority;
  };
  const auto Without = Play(false);
  const auto With = Play(true);
  int OnTimeWithout = 0;
  int OnTimeWith = 0;
  for (std::size_t I = 0; I < With.size(); ++I) {
    OnTimeWithout += Without.at(I).OnTime;
    OnTimeWith += With.at(I).OnTime;
  }
  CHECK(OnTimeWith > 10 * OnTimeWithout);
  const auto Share = [](const Result &Of) {
    return static_cast<double>(Of.Admitted) / Of.Asked;
  };
  CHECK(Share(With[0]) >= Share(With[1]));
  CHECK(Share(With[1]) >= Share(With[2]));
}
