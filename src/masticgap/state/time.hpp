#pragma once

#include <chrono>

namespace masticgap {

//! Unit of all durations in the decision core.
using Duration = std::chrono::nanoseconds;

//! Clock without a now() function: the caller passes in the time, so that tests
//! can control it.
struct InjectedClock {
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<InjectedClock>;
  static constexpr bool is_steady = true;
};

//! Point in time on the clock of the local process; not comparable between
//! processes.
using Instant = InjectedClock::time_point;

} // namespace masticgap
