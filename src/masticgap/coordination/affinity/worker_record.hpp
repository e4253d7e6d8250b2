#pragma once

#include "masticgap/state/time.hpp"

#include <cstdint>

namespace masticgap::coordination {

//! Load that a worker reported with an answer.
struct QueueReport {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
  //! Time that work takes on the machine now, relative to the usual time.
  double WorkFactor = 1;
};

//! Load, latency and failures of one worker as observed by this host.
class WorkerRecord {
public:
  //! Records that a request is sent to the worker.
  void recordSent(Instant Now);
  //! Records that a request is no longer in flight, whatever its result. The
  //! functions that record results do not do this.
  void recordEnded();

  //! Records an answer of the worker, or a request that timed out.
  //! \param Latency time from sending the request to the answer or timeout.
  //! \param ExpectedLatency latency that was expected of this request.
  void recordAnswer(Duration Latency, Duration ExpectedLatency, Instant Now);
  void recordLoad(const QueueReport &Report, Instant Now);
  //! Records that the full worker refused a request before execution.
  void recordRefusedFull(unsigned Slots, Instant Now);
  //! Records that a request that the worker ran failed.
  void recordFailure(Instant Now);
  //! Records that the worker cannot be reached and ejects it for a while.
  //! \returns whether it was reachable before.
  bool recordUnreachable(Instant Now);

  unsigned inFlight() const { return InFlight; }
  //! Returns the requests at the worker: those of this host plus an estimate of
  //! those of the other hosts.
  double occupancy(Instant Now) const;
  //! Returns the share of recent requests that failed.
  double failureShare(Instant Now) const;
  //! Returns the recent latency divided by the expected one, 1 without
  //! evidence.
  double relativeLatency(Instant Now) const;
  //! Returns whether the worker is ejected because it was unreachable.
  bool isEjected(Instant Now) const { return Now < EjectedUntil; }
  //! Returns whether the worker was unreachable and has not answered since.
  bool awaitsRecovery() const { return UnreachableCount > 0; }
  //! Returns whether this host has sent the worker a request.
  bool wasUsed() const { return Used; }

private:
  unsigned InFlight = 0;
  double OthersOccupancy = 0; //!< Other hosts' requests, as of LoadReportedAt.
  Instant LoadReportedAt;
  double LatencyRatio = 1; //!< Moving average, as of LatencyRatioAt.
  Instant LatencyRatioAt;
  double Failures = 0; //!< Decaying count, as of CountedAt.
  double Results = 0;  //!< Decaying count of results, as of CountedAt.
  Instant CountedAt;
  unsigned UnreachableCount = 0; //!< Consecutive connection failures.
  Instant EjectedUntil;
  bool Used = false;
};

} // namespace masticgap::coordination
