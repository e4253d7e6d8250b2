#pragma once

#include "masticgap/state/time.hpp"

#include <optional>
#include <variant>

namespace masticgap::coordination {

//! What is known of the caller of a request.
struct CallerStanding {
  //! Part of the objective that earlier attempts of the caller have used; above
  //! 0 for retried requests only.
  Duration TimeUsed{0};
  //! Added to the wait limit, relative to the latency objective; above 0 for an
  //! account that was served less often than others (AccountShares).
  double LimitShift = 0;
};

//! Request to be admitted, with the estimates for its best worker.
struct AdmissionRequest {
  unsigned Priority = 0;        //!< 0 is the most urgent.
  Duration LatencyObjective{0}; //!< Latency objective of the route.
  Duration TimeLeft{0};         //!< Until the deadline or the route's timeout.
  Duration QueueWait{0};        //!< Expected time in the worker's queue.
  Duration ExpectedLatency{
      0}; //!< Expected time until the answer, including the wait.
  //! Unset where the configuration has no accounts; all requests of a route and
  //! priority are equal then.
  std::optional<CallerStanding> Caller = {};
};

//! Limits of admission, relative to the latency objective.
struct AdmissionPolicy {
  //! Longest queue wait of the most urgent requests. A request that waits as
  //! long as its objective is late and delays requests that could be on time.
  double UrgentMaxWait = 1.0;
  //! Amount by which each priority step reduces the wait limit.
  double WaitStepPerPriority = 0.25;
  //! Lower bound of the wait limit, for the least urgent requests.
  double MinWaitLimit = 0.4;
  //! Number of priorities by which a retried request that cannot be on time is
  //! less urgent than others. With 1, such requests still delayed many that
  //! could be on time.
  double LatePriorities = 3;
  //! Lower bound of the wait limit of such requests, and of all requests with a
  //! known caller. Idle workers serve them also.
  double MinLateWaitLimit = 0.15;
  //! Share of the expected execution time that has to be left. Half of all
  //! executions are faster than expected, but hardly any takes less than this
  //! share.
  double MinWorkShare = 0.6;
};

//! The request is sent.
struct Admitted {
  friend bool operator==(const Admitted &, const Admitted &) = default;
};
//! The request is rejected immediately and has not run.
struct Rejected {
  //! At least a fixed minimum. With a known caller, the time until the expected
  //! wait is within the limit that the request will then have, also if the
  //! caller has less time; otherwise the time until it is half of its limit.
  Duration RetryAfter{0};
  friend bool operator==(const Rejected &, const Rejected &) = default;
};
using AdmissionVerdict = std::variant<Admitted, Rejected>;

//! Decides whether a request is sent to its worker. Under overload, requests
//! that cannot be answered in time are rejected before they occupy a place in
//! a queue, the least urgent requests first.
//!
//! The objective counts from the caller's first attempt. A retried request that
//! can still be answered within it has the wait limit of the next more urgent
//! priority, any other retried request that of a priority three steps less
//! urgent.
AdmissionVerdict decideAdmission(const AdmissionRequest &Request,
                                 const AdmissionPolicy &Policy = {});

} // namespace masticgap::coordination
