#pragma once

#include "masticgap/state/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace masticgap::coordination {

//! Limits of RetryBudget.
struct RetryBudgetLimits {
  double Share = 0.1;    //!< Retries per recent success.
  unsigned Minimum = 10; //!< Retries allowed without any success.
};

//! Limits the retries of the last 10 s to a share of the successes in the same
//! period plus a minimum, so that retries cannot amplify an overload.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetLimits Bounds = {});

  //! Replaces the limits, for example after a configuration change.
  void setLimits(RetryBudgetLimits NewLimits) { Limits = NewLimits; }

  //! Records an answered request.
  void recordSuccess(Instant Now);

  //! Withdraws one retry from the budget.
  //! \returns false if the budget is exhausted; then the retry must not be
  //! sent.
  bool tryWithdraw(Instant Now);

private:
  static constexpr std::size_t SlotCount = 10;
  static constexpr Duration SlotLength = std::chrono::seconds(1);
  struct Slot {
    std::int64_t Second = -1;
    std::uint64_t Successes = 0;
    std::uint64_t Retries = 0;
  };

  Slot &slot(Instant Now);

  RetryBudgetLimits Limits;
  std::array<Slot, SlotCount> Slots;
};

} // namespace masticgap::coordination
