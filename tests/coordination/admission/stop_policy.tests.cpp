#include "masticgap/coordination/admission/stop_policy.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

// Guards against requests that are sent to a worker late in a planned stop and
// cut off at its end, and against a stop that rejects requests for no reason.
TEST_CASE("a request is sent during a stop if it ends before the host") {
  constexpr Instant Now{100s};
  struct Case {
    const char *Name;
    Duration LatencyObjective;
    Duration TypicalLatency;
    Duration Deadline;
    Duration LastAnswer;
    bool Sent;
  };
  const Case Cases[] = {
      {"its deadline is earlier", 1s, 0s, 3s, 4s, true},
      {"its deadline is the end", 1s, 0s, 4s, 4s, true},
      {"nearly all are answered in time", 500ms, 0s, 60s, 2s, true},
      {"late in the grace period", 500ms, 0s, 60s, 1999ms, false},
      {"the service is slow", 500ms, 800ms, 60s, 3s, false},
      {"the service is fast", 500ms, 100ms, 60s, 2s, true},
      {"after the end", 500ms, 0s, 1s, 0s, false},
      {"no objective", 0s, 0s, 60s, 1s, true},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    CHECK(maySendDuringStop(
              {C.LatencyObjective, C.TypicalLatency, Now + C.Deadline},
              Now + C.LastAnswer, Now) == C.Sent);
  }
}
