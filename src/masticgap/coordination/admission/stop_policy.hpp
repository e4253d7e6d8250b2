#pragma once

#include "masticgap/state/time.hpp"

namespace masticgap::coordination {

//! Request that arrives at a host during the host's planned stop.
struct StopRequest {
  Duration LatencyObjective{0};
  Duration TypicalLatency{0}; //!< Of the service; 0 if unknown.
  Instant Deadline;           //!< Of the caller or the route.
};

//! Limits for requests that arrive during a planned stop.
struct StopPolicy {
  //! Multiple of the latency objective, or of the typical latency if that is
  //! longer, in which nearly all requests are answered.
  double CompletionFactor = 4;
};

//! Decides whether a request that arrives during a planned stop is sent to a
//! worker. One that could still be running when the host ends is rejected
//! instead: its caller can send it to another host at once, and nobody knows
//! the outcome of a request that is cut off.
//! \param LastAnswer when the host ends the requests that still run.
bool maySendDuringStop(const StopRequest &Request, Instant LastAnswer,
                       Instant Now, const StopPolicy &Policy = {});

} // namespace masticgap::coordination
