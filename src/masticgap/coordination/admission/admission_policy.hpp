#pragma once

#include "masticgap/state/time.hpp"

#include <variant>

namespace masticgap::coordination {

//! What is known of a request before it is sent to the best worker.
struct AdmissionRequest {
  unsigned Priority = 0;        //!< 0 is the most urgent.
  Duration LatencyObjective{0}; //!< Latency objective of the route.
  Duration TimeLeft{0};         //!< Until the deadline or the route's timeout.
  Duration QueueWait{0};        //!< Expected time in the worker's queue.
  Duration ExpectedLatency{
      0}; //!< Expected time until the answer, with the wait.
};

//! Limits of admission, relative to the latency objective.
struct AdmissionPolicy {
  //! Longest wait of the most urgent requests. A request that waits as long as
  //! its objective is late, and holds back requests that could be on time.
  double UrgentMaxWait = 1.0;
  //! Part of the wait that each step of priority takes off.
  double WaitStepPerPriority = 0.25;
  double MinWaitLimit = 0.4;
  //! Part of the usual work for which time has to be left. Half of all runs
  //! are faster than usual, but hardly one takes less than this part.
  double MinWorkShare = 0.6;
};

//! The request is sent.
struct Admitted {
  friend bool operator==(const Admitted &, const Admitted &) = default;
};
//! The request is refused at once; it has not run.
struct Rejected {
  Duration RetryAfter{0}; //!< When the queue has probably drained.
  friend bool operator==(const Rejected &, const Rejected &) = default;
};
using AdmissionVerdict = std::variant<Admitted, Rejected>;

//! Decides about a request at the time when it would be sent. Answers a load
//! above the capacity of a service: what cannot be answered in time is refused
//! before it takes a place in a queue, the least urgent requests first.
AdmissionVerdict decideAdmission(const AdmissionRequest &Case,
                                 const AdmissionPolicy &Policy = {});

} // namespace masticgap::coordination
