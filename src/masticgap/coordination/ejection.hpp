#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/state/time.hpp"

namespace masticgap::coordination {

//! Decides from the results of own attempts when a worker takes a pause.
class Ejection {
public:
  //! Counts one result; a success clears the count of failures.
  void record(AttemptEnd End);

  //! Whether enough failures have followed each other.
  bool isDue() const { return Failures >= FailureLimit; }

  //! Starts a pause, twice as long as the one before, 1 s to 30 s.
  void begin(Instant Now);

  bool isActive(Instant Now) const { return Now < Until; }

  //! A probe was answered; counts only when no pause is active.
  void recordProbe(Instant Now);

  //! Whether neither an attempt nor a probe showed the worker alive since the
  //! failures. Such a worker may be tried but is no proved capacity.
  bool isUnproved() const { return Unproved; }

private:
  static constexpr unsigned FailureLimit = 3;
  static constexpr Duration ShortestPause = std::chrono::seconds(1);
  static constexpr Duration LongestPause = std::chrono::seconds(30);

  unsigned Failures = 0;
  bool Unproved = false;
  Duration NextPause = ShortestPause;
  Instant Until{};
};

} // namespace masticgap::coordination
