#pragma once

#include "masticgap/state/time.hpp"

#include <cstdint>

namespace masticgap::coordination::internal {

//! Assigns the times at which one host may take a step: one per interval, at a
//! phase specific to the host. Unused times do not accumulate, so that hosts
//! that become busy at the same time do not call the store at the same time.
class StepPacer {
public:
  //! \param PhaseShare offset of the host's steps within the interval, 0 to 1.
  explicit StepPacer(double PhaseShare) : Phase(PhaseShare) {}

  //! Sets the interval between steps.
  void interval(Duration I) { Interval = I; }

  //! Reserves the first free step at or after Earliest.
  Instant reserve(Instant Earliest) {
    if (Interval <= Duration(0))
      return Earliest;
    const Duration Offset(static_cast<Duration::rep>(
        Phase * static_cast<double>(Interval.count())));
    const Duration Since = Earliest.time_since_epoch() - Offset;
    std::int64_t Number = Since / Interval;
    if (Since > Interval * Number)
      ++Number;
    if (Number <= LastNumber)
      Number = LastNumber + 1;
    LastNumber = Number;
    return Instant(Offset + Interval * Number);
  }

private:
  double Phase;
  Duration Interval{0};
  std::int64_t LastNumber = -1;
};

} // namespace masticgap::coordination::internal
