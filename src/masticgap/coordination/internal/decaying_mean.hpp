#pragma once

#include "masticgap/state/time.hpp"

#include <chrono>
#include <cmath>

namespace masticgap::coordination::internal {

//! Exponentially decaying time average of a value that stays constant between
//! calls of record().
class DecayingMean {
public:
  explicit DecayingMean(Duration TimeConstant) : Constant(TimeConstant) {}

  //! Sets the value from Now on to V.
  void record(double V, Instant Now) {
    Mean = mean(Now);
    Value = V;
    Since = Now;
  }

  //! Returns the mean at Now, or 0 before the first record.
  double mean(Instant Now) const {
    const double Age = std::chrono::duration<double>(Now - Since) /
                       std::chrono::duration<double>(Constant);
    return Value + (Mean - Value) * std::exp(-Age);
  }

private:
  Duration Constant;
  double Mean = 0;
  double Value = 0;
  Instant Since{};
};

} // namespace masticgap::coordination::internal
