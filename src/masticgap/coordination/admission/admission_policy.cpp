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

//! What is left of the latency objective of a request.
enum class ObjectiveState {
  Whole,  //!< First request of the caller, or nothing is known of it.
  OnTime, //!< Retried request that can still be on time.
  Late    //!< Retried request that cannot be on time.
};

ObjectiveState objectiveState(const AdmissionRequest &Request) {
  if (!Request.Caller || Request.Caller->TimeUsed <= Duration(0))
    return ObjectiveState::Whole;
  return Request.Caller->TimeUsed + Request.ExpectedLatency <=
                 Request.LatencyObjective
             ? ObjectiveState::OnTime
             : ObjectiveState::Late;
}

//! Returns the longest wait with which a request is admitted.
Duration waitLimit(const AdmissionRequest &Request,
                   const AdmissionPolicy &Policy, ObjectiveState State) {
  const double Urgent =
      Policy.UrgentMaxWait - Policy.WaitStepPerPriority * Request.Priority;
  double Share = std::max(Policy.MinWaitLimit, Urgent);
  if (State == ObjectiveState::OnTime)
    Share = std::max(Policy.MinWaitLimit, Urgent + Policy.WaitStepPerPriority);
  else if (State == ObjectiveState::Late)
    Share = Urgent - Policy.WaitStepPerPriority * Policy.LatePriorities;
  if (Request.Caller)
    Share =
        std::max(Policy.MinLateWaitLimit, Share + Request.Caller->LimitShift);
  return scaled(Request.LatencyObjective, Share);
}

//! Returns the time after which the expected wait is within the limit that the
//! request will then have, if no other requests arrive.
Duration retryAfter(const AdmissionRequest &Request,
                    const AdmissionPolicy &Policy) {
  const Duration Wait = Request.QueueWait;
  if (!Request.Caller)
    return std::max(MinRetryAfter,
                    Wait -
                        waitLimit(Request, Policy, ObjectiveState::Whole) / 2);
  const Duration OnTimeRetry = std::max(
      MinRetryAfter, Wait - waitLimit(Request, Policy, ObjectiveState::OnTime));
  // The queue drains while the caller waits.
  const Duration AnswerAfter = std::max(Wait, OnTimeRetry) +
                               (Request.ExpectedLatency - Request.QueueWait);
  if (Request.Caller->TimeUsed + AnswerAfter <= Request.LatencyObjective)
    return OnTimeRetry;
  return std::max(MinRetryAfter,
                  Wait - waitLimit(Request, Policy, ObjectiveState::Late));
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
  if (Request.QueueWait <=
          waitLimit(Request, Policy, objectiveState(Request)) &&
      !isTooLate(Request, Policy))
    return Admitted{};
  return Rejected{retryAfter(Request, Policy)};
}

} // namespace masticgap::coordination
