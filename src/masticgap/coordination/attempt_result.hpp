#pragma once

#include <chrono>
#include <string_view>

namespace masticgap::coordination {

//! How one attempt to run a request on a worker ended.
enum class AttemptEnd {
  Answered,       //!< A complete answer arrived.
  RefusedFull,    //!< The worker refused before execution: no free slot.
  RefusedLeaving, //!< The worker refused before execution: it is leaving.
  ConnectFailed,  //!< No connection, so no byte of the request was sent.
  TimedOut,       //!< No complete answer before the deadline.
  ConnectionLost, //!< Reset or closed after bytes of the request were sent.
  Truncated,      //!< The answer began but is incomplete.
  Cancelled       //!< The caller disconnected.
};

//! Result of one attempt.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Answered;
  std::chrono::nanoseconds Latency{0};
};

//! Returns whether the worker certainly did not execute the request.
constexpr bool provedNotRun(AttemptEnd End) {
  return End == AttemptEnd::RefusedFull || End == AttemptEnd::RefusedLeaving ||
         End == AttemptEnd::ConnectFailed;
}

//! Returns the name for logs and metrics.
constexpr std::string_view toString(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::RefusedFull:
    return "refused_full";
  case AttemptEnd::RefusedLeaving:
    return "refused_leaving";
  case AttemptEnd::ConnectFailed:
    return "connect_failed";
  case AttemptEnd::TimedOut:
    return "timed_out";
  case AttemptEnd::ConnectionLost:
    return "connection_lost";
  case AttemptEnd::Truncated:
    return "truncated";
  case AttemptEnd::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

} // namespace masticgap::coordination
