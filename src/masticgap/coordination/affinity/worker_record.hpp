#pragma once

#include "masticgap/state/time.hpp"

#include <cstdint>

namespace masticgap::coordination {

//! Load that a worker reported with an answer.
struct QueueReport {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
};

//! What this host observed of one worker: load, speed and failures.
class WorkerRecord {
public:
  //! A request is sent to the worker.
  void recordSent(Instant Now);
  //! The request ended without a verdict on the worker.
  void recordAbandoned();

  //! The worker answered.
  //! \param Latency from sending to the answer.
  //! \param Typical latency of the service at the time.
  void recordAnswer(Duration Latency, Duration Typical, Instant Now);
  void recordLoad(const QueueReport &Report, Instant Now);
  //! The worker refused a request before execution, because it is full.
  void recordRefusedFull(unsigned Slots, Instant Now);
  //! The worker failed a request that it ran.
  void recordFailure(Instant Now);
  //! The worker cannot be reached.
  //! \returns whether it was reachable before.
  bool recordUnreachable(Instant Now);

  unsigned inFlight() const { return InFlight; }
  //! Requests at the worker, this host's and an estimate of the others'.
  double occupancy(Instant Now) const;
  //! Share of recent requests that failed.
  double failureShare(Instant Now) const;
  //! Latency relative to the service's typical one, at least about 1.
  double relativeLatency(Instant Now) const;
  //! Whether the worker gets no requests because it was not reachable.
  bool isEjected(Instant Now) const { return Now < EjectedUntil; }
  //! Whether the worker was unreachable and has not answered since.
  bool awaitsRecovery() const { return Unreachable > 0; }
  bool wasUsed() const { return Used; }

private:
  unsigned InFlight = 0;
  double OthersBusy = 0; //!< At ReportedAt.
  Instant ReportedAt;
  double Slow = 1; //!< At SlowAt.
  Instant SlowAt;
  double Failures = 0; //!< At FailedAt, decaying.
  double Tries = 0;
  Instant FailedAt;
  unsigned Unreachable = 0;
  Instant EjectedUntil;
  bool Used = false;
};

} // namespace masticgap::coordination
