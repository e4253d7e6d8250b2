#pragma once

#include "masticgap/state/time.hpp"

#include <algorithm>
#include <chrono>

namespace masticgap::coordination::internal {

//! Rate limiter that spaces calls evenly. It allows no bursts, because the
//! bursts of many hosts would add up at the platform.
class CallRate {
public:
  explicit CallRate(double PerSecond)
      : Interval(std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1.0 / std::max(PerSecond, 0.001)))) {}

  bool allowed(Instant Now) const { return Now >= Next; }
  void take(Instant Now) { Next = Now + Interval; }
  Instant next() const { return Next; }

private:
  Duration Interval;
  Instant Next;
};

} // namespace masticgap::coordination::internal
