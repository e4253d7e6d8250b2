#include "masticgap/coordination/deadline.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

// Guards against a hop that waits longer than the previous one.
TEST_CASE("the time left is bounded by the limit and rounded down") {
  struct Case {
    std::chrono::milliseconds TimeLeft;
    Duration Elapsed;
    std::chrono::milliseconds Expected;
    bool Expired;
  };
  const Case Cases[] = {
      {500ms, 0ns, 500ms, false}, {5000ms, 0ns, 2000ms, false},
      {-5ms, 0ns, 0ms, true},     {500ms, 1ns, 499ms, false},
      {500ms, 500ms, 0ms, true},  {500ms, 499500us, 0ms, false},
      {500ms, 1000ms, 0ms, true},
  };
  const Instant Now{100s};
  for (const auto &C : Cases) {
    CAPTURE(C.TimeLeft.count());
    CAPTURE(C.Elapsed.count());
    const auto Limit = Deadline::fromTimeLeft(C.TimeLeft, 2000ms, Now);
    CHECK(Limit.headerValue(Now + C.Elapsed) == C.Expected);
    CHECK(Limit.expired(Now + C.Elapsed) == C.Expired);
  }
}
