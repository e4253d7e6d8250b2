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

//! Returns the longest wait of a request that is moved by priorities.
//! \param Shift number of priorities; -1 is one more urgent.
Duration waitLimit(const AdmissionRequest &Request,
                   const AdmissionPolicy &Policy, int Shift) {
  const double Priority = static_cast<double>(Request.Priority) + Shift;
  const double Share =
      std::max(Policy.MinWaitLimit,
               Policy.UrgentMaxWait - Policy.WaitStepPerPriority * Priority);
  const double AccountShift = Request.Caller ? Request.Caller->LimitShift : 0;
  return scaled(Request.LatencyObjective, std::max(0.0, Share + AccountShift));
}

//! Shifts of retried requests that can still be on time and that cannot.
constexpr int OnTimeShift = -1;
constexpr int LateShift = 1;

Duration maxWait(const AdmissionRequest &Request,
                 const AdmissionPolicy &Policy) {
  if (!Request.Caller || Request.Caller->TimeUsed <= Duration(0))
    return waitLimit(Request, Policy, 0);
  const bool OnTime = Request.Caller->TimeUsed + Request.ExpectedLatency <=
                      Request.LatencyObjective;
  return waitLimit(Request, Policy, OnTime ? OnTimeShift : LateShift);
}

//! Returns the time after which the expected wait is within the limit that the
//! request will then have, if no other requests arrive.
Duration retryAfter(const AdmissionRequest &Request,
                    const AdmissionPolicy &Policy) {
  const Duration Wait = Request.QueueWait;
  if (!Request.Caller)
    return std::max(MinRetryAfter, Wait - waitLimit(Request, Policy, 0) / 2);
  const Duration OnTimeRetry =
      std::max(MinRetryAfter, Wait - waitLimit(Request, Policy, OnTimeShift));
  // The queue drains while the caller waits.
  const Duration AnswerAfter = std::max(Wait, OnTimeRetry) +
                               (Request.ExpectedLatency - Request.QueueWait);
  if (Request.Caller->TimeUsed + AnswerAfter <= Request.LatencyObjective)
    return OnTimeRetry;
  return std::max(MinRetryAfter, Wait - waitLimit(Request, Policy, LateShift));
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
  if (Request.QueueWait <= maxWait(Request, Policy) &&
      !isTooLate(Request, Policy))
    return Admitted{};
  return Rejected{retryAfter(Request, Policy)};
}

} // namespace masticgap::coordination
