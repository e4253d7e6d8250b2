#include "masticgap/coordination/admission/admission_policy.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Minimum time after which a rejected caller may retry; earlier retries would
//! meet the same queue.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

} // namespace

AdmissionVerdict decideAdmission(const AdmissionRequest &Request,
                                 const AdmissionPolicy &Policy) {
  const double WaitLimitShare = std::max(
      Policy.MinWaitLimit,
      Policy.UrgentMaxWait - Policy.WaitStepPerPriority * Request.Priority);
  const auto MaxWait = std::chrono::duration_cast<Duration>(
      Request.LatencyObjective * WaitLimitShare);
  const Duration ExecutionTime = Request.ExpectedLatency - Request.QueueWait;
  const auto MinTimeNeeded =
      Request.QueueWait +
      std::chrono::duration_cast<Duration>(ExecutionTime * Policy.MinWorkShare);
  const bool TooLate = MinTimeNeeded > Request.TimeLeft;
  if (Request.QueueWait <= MaxWait && !TooLate)
    return Admitted{};
  return Rejected{std::max(MinRetryAfter, Request.QueueWait - MaxWait / 2)};
}

} // namespace masticgap::coordination
