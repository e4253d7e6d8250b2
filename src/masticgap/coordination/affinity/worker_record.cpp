#include "masticgap/coordination/affinity/worker_record.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination {

namespace {

//! Reports of the load of others lose their value with this time constant,
//! which is a few service times.
constexpr std::chrono::duration<double> ReportLife{1.5};
//! Evidence of slowness and failures fades with these time constants.
constexpr std::chrono::duration<double> SlowLife{4.0};
constexpr std::chrono::duration<double> FailureLife{4.0};
//! Weight of a new latency in the moving average.
constexpr double SlowWeight = 0.35;
//! One very slow answer counts at most this much.
constexpr double MaxSlowness = 12;
//! Pauses of an unreachable worker grow from the first to the second.
constexpr Duration FirstEjection = std::chrono::milliseconds(400);
constexpr Duration MaxEjection = std::chrono::seconds(2);

double fade(Duration Age, std::chrono::duration<double> Life) {
  const std::chrono::duration<double> Seconds = Age;
  return std::exp(-std::max(0.0, Seconds / Life));
}

} // namespace

void WorkerRecord::recordSent(Instant) {
  ++InFlight;
  Used = true;
}

void WorkerRecord::recordAbandoned() {
  if (InFlight > 0)
    --InFlight;
}

void WorkerRecord::recordAnswer(Duration Latency, Duration Typical,
                                Instant Now) {
  UnreachableCount = 0;
  EjectedUntil = Now;
  const double Ratio = Typical > Duration(0)
                           ? std::chrono::duration<double>(Latency) / Typical
                           : 1.0;
  const double Before = relativeLatency(Now);
  LatencyRatio =
      std::clamp(Before + SlowWeight * (Ratio - Before), 0.3, MaxSlowness);
  LatencyRatioAt = Now;
  const double Left = fade(Now - CountedAt, FailureLife);
  Failures *= Left;
  Results = Results * Left + 1;
  CountedAt = Now;
}

void WorkerRecord::recordLoad(const QueueReport &Report, Instant Now) {
  const double Busy = Report.Running + Report.Waiting;
  OthersOccupancy = std::max(0.0, Busy - InFlight);
  LoadReportedAt = Now;
}

void WorkerRecord::recordRefusedFull(unsigned Slots, Instant Now) {
  // A full worker has at least all slots and a queue as long in use.
  OthersOccupancy = std::max(OthersOccupancy, 2.0 * Slots);
  LoadReportedAt = Now;
  UnreachableCount = 0;
  const double Left = fade(Now - CountedAt, FailureLife);
  Failures = Failures * Left + 0.5;
  Results = Results * Left + 1;
  CountedAt = Now;
}

void WorkerRecord::recordFailure(Instant Now) {
  const double Left = fade(Now - CountedAt, FailureLife);
  Failures = Failures * Left + 1;
  Results = Results * Left + 1;
  CountedAt = Now;
}

bool WorkerRecord::recordUnreachable(Instant Now) {
  const bool News = UnreachableCount == 0;
  const Duration Pause = std::min(
      MaxEjection, FirstEjection * (1 << std::min(UnreachableCount, 4U)));
  ++UnreachableCount;
  EjectedUntil = std::max(EjectedUntil, Now + Pause);
  return News;
}

double WorkerRecord::occupancy(Instant Now) const {
  return InFlight + OthersOccupancy * fade(Now - LoadReportedAt, ReportLife);
}

double WorkerRecord::failureShare(Instant Now) const {
  const double Left = fade(Now - CountedAt, FailureLife);
  // One success is assumed, so that a single failure is no certainty.
  return Failures * Left / (Results * Left + 1);
}

double WorkerRecord::relativeLatency(Instant Now) const {
  return 1 + (LatencyRatio - 1) * fade(Now - LatencyRatioAt, SlowLife);
}

} // namespace masticgap::coordination
