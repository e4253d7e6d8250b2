#include "masticgap/coordination/admission/admission_policy.hpp"

#include <doctest/doctest.h>

#include <array>
#include <deque>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

TEST_CASE("a request is rejected when it would wait too long") {
  struct Case {
    const char *Name;
    AdmissionRequest Request;
    bool Admitted;
  };
  const Case Cases[] = {
      {"no wait", {2, 400ms, 2s, 0ms, 200ms}, true},
      {"a wait within the objective", {0, 400ms, 2s, 350ms, 550ms}, true},
      {"a wait above the objective", {0, 400ms, 2s, 450ms, 650ms}, false},
      {"the same wait of a less urgent one",
       {2, 400ms, 2s, 350ms, 550ms},
       false},
      {"a short wait of the least urgent one",
       {9, 400ms, 2s, 150ms, 350ms},
       true},
      {"may be done before the deadline if faster than expected",
       {0, 400ms, 300ms, 0ms, 350ms},
       true},
      {"done after the deadline", {0, 400ms, 200ms, 0ms, 350ms}, false},
      {"done after the deadline because of its wait",
       {0, 400ms, 300ms, 250ms, 600ms},
       false},
      {"late, but before the deadline", {0, 400ms, 2s, 0ms, 900ms}, true},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const AdmissionVerdict Verdict = decideAdmission(C.Request);
    CHECK(std::holds_alternative<Admitted>(Verdict) == C.Admitted);
    if (const auto *AsRejected = std::get_if<Rejected>(&Verdict)) {
      CHECK(AsRejected->RetryAfter >= 100ms);
      CHECK(AsRejected->RetryAfter <= C.Request.QueueWait + 100ms);
    }
  }
}

// Guards against a retried request that is refused although it can still be on
// time, and one that delays requests that can be.
TEST_CASE("a retried request is admitted within the rest of its objective") {
  struct Case {
    const char *Name;
    Duration TimeUsed;
    Duration TimeLeft;
    Duration QueueWait;
    unsigned Priority;
    bool Admitted;
  };
  // The objective is 400 ms and an execution takes 100 ms.
  const Case Cases[] = {
      {"first request, wait within its limit", 0ms, 2s, 300ms, 1, true},
      {"first request, wait above its limit", 0ms, 2s, 310ms, 1, false},
      {"on time, limit of the more urgent priority", 50ms, 2s, 250ms, 2, true},
      {"on time, wait above that limit", 50ms, 2s, 310ms, 2, false},
      {"on time, most urgent", 100ms, 2s, 200ms, 0, true},
      {"not on time, limit of a less urgent priority", 201ms, 2s, 100ms, 0,
       true},
      {"not on time, wait above that limit", 201ms, 2s, 101ms, 0, false},
      {"objective used up, short wait", 500ms, 2s, 60ms, 1, true},
      {"objective used up, long wait", 500ms, 2s, 61ms, 1, false},
      {"objective used up, not before its deadline", 500ms, 150ms, 100ms, 0,
       false},
      {"objective used up, least urgent, idle worker", 500ms, 2s, 0ms, 9, true},
      {"objective used up, least urgent, long wait", 500ms, 2s, 61ms, 9, false},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const AdmissionRequest Request{
        C.Priority,          400ms,
        C.TimeLeft,          C.QueueWait,
        C.QueueWait + 100ms, CallerStanding{C.TimeUsed, 0}};
    CHECK(std::holds_alternative<Admitted>(decideAdmission(Request)) ==
          C.Admitted);
  }
}

// Guards against an account that is preferred by more or less than its shift.
TEST_CASE("the wait limit moves with the share of an account") {
  struct Case {
    unsigned Priority;
    double Shift;
    Duration WaitLimit;
  };
  const Case Cases[] = {{0, 0.25, 500ms},
                        {0, -0.25, 300ms},
                        {2, 0.1, 240ms},
                        {9, -0.25, 60ms},
                        {9, -1, 60ms}};
  for (const auto &C : Cases) {
    CAPTURE(C.Priority);
    CAPTURE(C.Shift);
    const auto IsAdmitted = [&](Duration Wait) {
      return std::holds_alternative<Admitted>(
          decideAdmission({C.Priority, 400ms, 2s, Wait, Wait + 100ms,
                           CallerStanding{0ms, C.Shift}}));
    };
    CHECK(IsAdmitted(C.WaitLimit));
    CHECK_FALSE(IsAdmitted(C.WaitLimit + 1ms));
  }
}

// Guards against a caller that is told to retry while its request would be
// refused again, or later than it could be served.
TEST_CASE("a refused request is admitted after its retry time") {
  struct Case {
    const char *Name;
    unsigned Priority;
    Duration TimeUsed;
    Duration QueueWait;
    Duration RetryAfter;
  };
  // The objective is 1 s and an execution takes 200 ms.
  const Case Cases[] = {
      {"within the more urgent limit at once", 2, 0ms, 600ms, 100ms},
      {"within the more urgent limit later", 3, 0ms, 750ms, 250ms},
      {"on time with all of the objective", 2, 0ms, 800ms, 100ms},
      {"late by then", 2, 0ms, 810ms, 660ms},
      {"late already", 0, 1200ms, 900ms, 650ms},
      {"later than a third of the time left", 1, 0ms, 2s, 1850ms},
      {"least urgent", 9, 0ms, 700ms, 300ms},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    AdmissionRequest Request{C.Priority,
                             1s,
                             3s,
                             C.QueueWait,
                             C.QueueWait + 200ms,
                             CallerStanding{C.TimeUsed, 0}};
    const auto Verdict = decideAdmission(Request);
    REQUIRE(std::holds_alternative<Rejected>(Verdict));
    const Duration RetryAfter = std::get<Rejected>(Verdict).RetryAfter;
    CHECK(RetryAfter == C.RetryAfter);
    const Duration Drained = std::min(RetryAfter, C.QueueWait);
    Request.TimeLeft -= RetryAfter;
    Request.QueueWait -= Drained;
    Request.ExpectedLatency -= Drained;
    Request.Caller->TimeUsed += RetryAfter;
    CHECK(std::holds_alternative<Admitted>(decideAdmission(Request)));
  }
}

// Simulates twice the load that a worker can serve. Guards against overload in
// which nearly all answers are late, as without admission, and against
// admission that does not prefer urgent requests.
TEST_CASE("under twice the capacity admitted requests are answered in time") {
  constexpr Duration ExecutionTime = 100ms;
  constexpr Duration Objective = 400ms;
  struct Result {
    int Requested = 0;
    int Admitted = 0;
    int OnTime = 0;
  };
  const auto Simulate = [&](bool WithAdmission) {
    std::array<Result, 3> ByPriority;
    Instant FreeAt{0s};
    unsigned Next = 0;
    // One slot serves 10 requests a second; 20 arrive.
    for (Instant Now{0s}; Now < Instant(60s); Now += 50ms) {
      const unsigned Priority = Next++ % 3;
      Result &Counts = ByPriority.at(Priority);
      ++Counts.Requested;
      const Duration Wait = std::max(Duration(0), FreeAt - Now);
      const AdmissionVerdict Verdict = decideAdmission(
          {Priority, Objective, 5s, Wait, Wait + ExecutionTime});
      if (WithAdmission && !std::holds_alternative<Admitted>(Verdict))
        continue;
      ++Counts.Admitted;
      FreeAt = std::max(FreeAt, Now) + ExecutionTime;
      Counts.OnTime += FreeAt - Now <= Objective;
    }
    return ByPriority;
  };
  const auto Without = Simulate(false);
  const auto With = Simulate(true);
  int OnTimeWithout = 0;
  int OnTimeWith = 0;
  for (std::size_t I = 0; I < With.size(); ++I) {
    OnTimeWithout += Without.at(I).OnTime;
    OnTimeWith += With.at(I).OnTime;
  }
  CHECK(OnTimeWith > 10 * OnTimeWithout);
  const auto Share = [](const Result &Counts) {
    return static_cast<double>(Counts.Admitted) / Counts.Requested;
  };
  CHECK(Share(With[0]) >= Share(With[1]));
  CHECK(Share(With[1]) >= Share(With[2]));
}
