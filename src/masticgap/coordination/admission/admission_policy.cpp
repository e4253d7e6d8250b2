#include "masticgap/coordination/admission/admission_policy.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Minimum time after which a rejected caller may retry; earlier retries would
//! meet the same queue.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

//! Returns how many priorities the request is moved by: -1 is one more urgent.
int priorityShift(const AdmissionRequest &Request) {
  if (!Request.Caller || Request.Caller->TimeUsed <= Duration(0))
    return 0;
  const bool OnTime = Request.Caller->TimeUsed + Request.ExpectedLatency <=
                      Request.LatencyObjective;
  return OnTime ? -1 : 1;
}

Duration maxWait(const AdmissionRequest &Request,
                 const AdmissionPolicy &Policy) {
  const double Priority =
      static_cast<double>(Request.Priority) + priorityShift(Request);
  return scaled(
      Request.LatencyObjective,
      std::max(Policy.MinWaitLimit,
               Policy.UrgentMaxWait - Policy.WaitStepPerPriority * Priority));
}

//! Returns whether the request cannot be answered before its deadline.
bool isTooLate(const AdmissionRequest &Request, const AdmissionPolicy &Policy) {
  const Duration ExecutionTime = Request.ExpectedLatency - Request.QueueWait;
  return Request.QueueWait + scaled(ExecutionTime, Policy.MinWorkShare) >
         Request.TimeLeft;
}

} // namespace

AdmissionVerdict decideAdmission(const AdmissionRequest &Request,
                                 const AdmissionPolicy &Policy) {
  const Duration MaxWait = maxWait(Request, Policy);
  if (Request.QueueWait <= MaxWait && !isTooLate(Request, Policy))
    return Admitted{};
  return Rejected{std::max(MinRetryAfter, Request.QueueWait - MaxWait / 2)};
}

} // namespace masticgap::coordination
