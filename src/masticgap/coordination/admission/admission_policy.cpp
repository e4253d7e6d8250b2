#include "masticgap/coordination/admission/admission_policy.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Shortest time after which a refused caller is asked to come back; shorter
//! ones would find the same queue.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);

} // namespace

AdmissionVerdict decideAdmission(const AdmissionRequest &Case,
                                 const AdmissionPolicy &Policy) {
  const double Part = std::max(Policy.MinWaitLimit,
                               Policy.UrgentMaxWait -
                                   Policy.WaitStepPerPriority * Case.Priority);
  const auto Longest =
      std::chrono::duration_cast<Duration>(Case.LatencyObjective * Part);
  const Duration Work = Case.ExpectedLatency - Case.QueueWait;
  const auto Needed = Case.QueueWait + std::chrono::duration_cast<Duration>(
                                           Work * Policy.MinWorkShare);
  const bool TooLate = Needed > Case.TimeLeft;
  if (Case.QueueWait <= Longest && !TooLate)
    return Admitted{};
  return Rejected{std::max(LeastRetryAfter, Case.QueueWait - Longest / 2)};
}

} // namespace masticgap::coordination
