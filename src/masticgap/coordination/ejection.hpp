#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/state/time.hpp"

namespace masticgap::coordination {

//! Decides from the results of this host's attempts when a worker is ejected.
class Ejection {
public:
  //! Records a result; a success resets the count of failures.
  void record(AttemptEnd End);

  //! Returns whether enough consecutive failures were recorded.
  bool isDue() const { return Failures >= FailureLimit; }

  //! Starts an ejection of twice the previous duration, from 1 s to 30 s.
  void begin(Instant Now);

  bool isActive(Instant Now) const { return Now < EjectedUntil; }

  //! Records an answered probe; ignored during an ejection.
  void recordProbe(Instant Now);

  //! Returns whether no attempt or probe has succeeded since the failures. Such
  //! a worker may be tried but does not count as capacity.
  bool isUnproved() const { return Unproved; }

private:
  static constexpr unsigned FailureLimit = 3;
  static constexpr Duration MinDuration = std::chrono::seconds(1);
  static constexpr Duration MaxDuration = std::chrono::seconds(30);

  unsigned Failures = 0;
  bool Unproved = false;
  Duration NextDuration = MinDuration;
  Instant EjectedUntil{};
};

} // namespace masticgap::coordination
