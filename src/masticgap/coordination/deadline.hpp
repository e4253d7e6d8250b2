#pragma once

#include "masticgap/state/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace masticgap::coordination {

//! Time by which the caller needs its answer, common to all hops and attempts.
class Deadline {
public:
  Deadline() = default;
  explicit Deadline(Instant Time) : At(Time) {}

  //! Returns the deadline for the value of a Masticgap-Deadline-Ms header.
  //! \param Limit request timeout of the service, which the caller cannot
  //! exceed.
  static Deadline fromTimeLeft(std::chrono::milliseconds TimeLeft,
                               std::chrono::milliseconds Limit, Instant Now) {
    return Deadline(Now +
                    std::clamp(TimeLeft, std::chrono::milliseconds(0), Limit));
  }

  Instant at() const { return At; }
  bool expired(Instant Now) const { return Now >= At; }

  //! Returns the time left; zero after the deadline.
  Duration remaining(Instant Now) const {
    return std::max(Duration(0), At - Now);
  }

  //! Returns the value of Masticgap-Deadline-Ms for the next hop, rounded down
  //! so that the next hop never waits longer than this one.
  std::chrono::milliseconds headerValue(Instant Now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        remaining(Now));
  }

private:
  Instant At;
};

} // namespace masticgap::coordination
