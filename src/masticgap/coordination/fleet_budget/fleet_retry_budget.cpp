#include "masticgap/coordination/fleet_budget/fleet_retry_budget.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Share of the limit that is used; the rest covers requests whose arrival at a
//! worker falls into another window than their arrival at this host.
constexpr double UsableShare = 0.7;
//! Maximum number of stored requests; the ratio applies to at most this many.
constexpr std::size_t MaxRequests = 20000;

} // namespace

void FleetRetryBudget::expire(Instant Now) {
  while (!Requests.empty() && Requests.front() + Limits.Window <= Now)
    Requests.pop_front();
  while (!Retries.empty() && Retries.front() + Limits.Window <= Now)
    Retries.pop_front();
}

void FleetRetryBudget::recordRequest(Instant Now) {
  expire(Now);
  if (Requests.size() < MaxRequests)
    Requests.push_back(Now);
}

double FleetRetryBudget::available(std::size_t Hosts, Instant Now) {
  expire(Now);
  const double SlackShare =
      Now - Start < Limits.Window
          ? 0.0
          : Limits.Slack / static_cast<double>(std::max<std::size_t>(1, Hosts));
  const double Bound =
      UsableShare *
      (Limits.Ratio * static_cast<double>(Requests.size()) + SlackShare);
  return Bound - static_cast<double>(Retries.size());
}

bool FleetRetryBudget::tryWithdraw(std::size_t Hosts, Instant Now) {
  if (available(Hosts, Now) < 1)
    return false;
  Retries.push_back(Now);
  return true;
}

} // namespace masticgap::coordination
