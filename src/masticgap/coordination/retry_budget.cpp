#include "masticgap/coordination/retry_budget.hpp"

namespace masticgap::coordination {

RetryBudget::RetryBudget(RetryBudgetLimits Bounds) : Limits(Bounds) {}

RetryBudget::Slot &RetryBudget::slot(Instant Now) {
  const std::int64_t Second = Now.time_since_epoch() / SlotLength;
  Slot &CurrentSlot = Slots[static_cast<std::size_t>(Second) % SlotCount];
  if (CurrentSlot.Second != Second)
    CurrentSlot = {Second, 0, 0};
  return CurrentSlot;
}

void RetryBudget::recordSuccess(Instant Now) { ++slot(Now).Successes; }

bool RetryBudget::tryWithdraw(Instant Now) {
  Slot &CurrentSlot = slot(Now);
  std::uint64_t Successes = 0;
  std::uint64_t Retries = 0;
  for (const Slot &S : Slots) {
    // Slots that were not used recently contain counts of an earlier period.
    if (S.Second <= CurrentSlot.Second - static_cast<std::int64_t>(SlotCount))
      continue;
    Successes += S.Successes;
    Retries += S.Retries;
  }
  const double Allowed =
      Limits.Minimum + Limits.Share * static_cast<double>(Successes);
  if (static_cast<double>(Retries + 1) > Allowed)
    return false;
  ++CurrentSlot.Retries;
  return true;
}

} // namespace masticgap::coordination
