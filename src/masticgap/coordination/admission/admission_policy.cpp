#include "masticgap/coordination/admission/admission_policy.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Shortest time after which a refused caller is asked to come back; shorter
//! ones would find the same queue.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);

} // namespace

AdmissionVerdict decideAdmission(const AdmissionCase &Case,
                                 const AdmissionPolicy &Policy) {
  const double Part = std::max(
      Policy.LeastWait, Policy.UrgentWait - Policy.WaitStep * Case.Priority);
  const auto Longest = std::chrono::duration_cast<Duration>(Case.Target * Part);
  const Duration Work = Case.Completion - Case.Wait;
  const auto Needed =
      Case.Wait + std::chrono::duration_cast<Duration>(Work * Policy.LeastWork);
  const bool TooLate = Needed > Case.TimeLeft;
  if (Case.Wait <= Longest && !TooLate)
    return Admitted{};
  return TurnedAway{std::max(LeastRetryAfter, Case.Wait - Longest / 2)};
}

} // namespace masticgap::coordination
