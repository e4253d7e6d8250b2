#include "masticgap/coordination/affinity/worker_record.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace masticgap::coordination {

namespace {

//! Time constant of the decay of reported load, a few service times.
constexpr std::chrono::duration<double> ReportDecayTime{1.5};
//! Time constant of the decay of a reported work factor, which changes many
//! times a second.
constexpr std::chrono::duration<double> WorkFactorDecayTime{0.6};
//! Age at which the rest of a work factor is negligible.
constexpr Duration MaxWorkFactorAge = std::chrono::seconds(3);
//! Time constants of the decay of the latency ratio and of failures.
constexpr std::chrono::duration<double> LatencyDecayTime{4.0};
constexpr std::chrono::duration<double> FailureDecayTime{4.0};
//! Weight of a new latency in the moving average.
constexpr double LatencyWeight = 0.35;
//! Upper bound of the latency ratio, so that one very slow answer has a limited
//! effect.
constexpr double MaxLatencyRatio = 12;
//! Ejections of an unreachable worker grow from MinEjection to MaxEjection.
constexpr Duration MinEjection = std::chrono::milliseconds(400);
constexpr Duration MaxEjection = std::chrono::seconds(2);

double decay(Duration Age, std::chrono::duration<double> DecayTime) {
  const std::chrono::duration<double> Seconds = Age;
  return std::exp(-std::max(0.0, Seconds / DecayTime));
}

} // namespace

void InFlightHistory::record(unsigned Number, Instant Now) {
  ChangedAt.at(Next) = Now;
  Before.at(Next) = static_cast<std::uint16_t>(
      std::min<unsigned>(Number, std::numeric_limits<std::uint16_t>::max()));
  Next = static_cast<std::uint8_t>((Next + 1U) % KeptChanges);
}

unsigned InFlightHistory::at(Instant Time, unsigned Current) const {
  unsigned Result = Current;
  // From the latest change to the oldest one.
  for (std::size_t I = 1; I <= KeptChanges; ++I) {
    const std::size_t Index = (Next + KeptChanges - I) % KeptChanges;
    if (ChangedAt.at(Index) <= Time)
      break;
    Result = Before.at(Index);
  }
  return Result;
}

void WorkerRecord::recordSent(Instant Now) {
  History.record(InFlight, Now);
  ++InFlight;
  Used = true;
}

void WorkerRecord::recordEnded(Instant Now) {
  if (InFlight == 0)
    return;
  History.record(InFlight, Now);
  --InFlight;
}

void WorkerRecord::recordAnswer(Duration Latency, Duration ExpectedLatency,
                                Instant Now) {
  UnreachableCount = 0;
  EjectedUntil = Now;
  const double Ratio =
      ExpectedLatency > Duration(0)
          ? std::chrono::duration<double>(Latency) / ExpectedLatency
          : 1.0;
  const double Previous = decayedLatencyRatio(Now);
  LatencyRatio = std::clamp(Previous + LatencyWeight * (Ratio - Previous), 0.3,
                            MaxLatencyRatio);
  LatencyRatioAt = Now;
  const double Decay = decay(Now - CountedAt, FailureDecayTime);
  Failures *= Decay;
  Results = Results * Decay + 1;
  CountedAt = Now;
}

void WorkerRecord::recordLoad(const QueueReport &Report, Instant Now,
                              Duration Hold) {
  const double Busy = Report.Running + Report.Waiting;
  OthersOccupancy = std::max(0.0, Busy - InFlight);
  LoadReportedAt = Now;
  LoadHold = Hold;
  WorkFactor = std::min(Report.WorkFactor, MaxLatencyRatio);
  WorkFactorAt = Now;
}

PeerReportResult WorkerRecord::recordPeerReport(const PeerReport &Report,
                                                Instant Now) {
  if (Now - Report.ReportedAt > MaxPeerReportAge)
    return PeerReportResult::Expired;
  if (Report.ReportedAt <= LoadReportedAt)
    return PeerReportResult::Superseded;
  // Own requests that were sent since then are in flight and are counted
  // there; those that ended since then are not at the worker any more.
  const unsigned Own = History.at(Report.ReportedAt, InFlight);
  OthersOccupancy = Report.Busy > Own ? Report.Busy - Own : 0;
  LoadReportedAt = Report.ReportedAt;
  LoadHold = ExchangedReportHold;
  WorkFactor = std::min(Report.WorkFactor, MaxLatencyRatio);
  WorkFactorAt = Report.ReportedAt;
  return PeerReportResult::Applied;
}

void WorkerRecord::recordRefusedFull(unsigned Slots, Instant Now) {
  // A full worker has all slots in use and at least as many requests waiting.
  OthersOccupancy = std::max(OthersOccupancy, 2.0 * Slots);
  LoadReportedAt = Now;
  UnreachableCount = 0;
  const double Decay = decay(Now - CountedAt, FailureDecayTime);
  Failures = Failures * Decay + 0.5;
  Results = Results * Decay + 1;
  CountedAt = Now;
}

void WorkerRecord::recordFailure(Instant Now) {
  const double Decay = decay(Now - CountedAt, FailureDecayTime);
  Failures = Failures * Decay + 1;
  Results = Results * Decay + 1;
  CountedAt = Now;
}

bool WorkerRecord::recordUnreachable(Instant Now) {
  const bool WasReachable = UnreachableCount == 0;
  const Duration EjectionTime = std::min(
      MaxEjection, MinEjection * (1 << std::min(UnreachableCount, 4U)));
  ++UnreachableCount;
  EjectedUntil = std::max(EjectedUntil, Now + EjectionTime);
  return WasReachable;
}

double WorkerRecord::decayedOthers(Instant Now) const {
  return OthersOccupancy *
         decay(Now - LoadReportedAt - LoadHold, ReportDecayTime);
}

double WorkerRecord::decayedFailureShare(Instant Now) const {
  const double Decay = decay(Now - CountedAt, FailureDecayTime);
  // Assumes one additional success, so that a single failure does not yield a
  // share of 1.
  return Failures * Decay / (Results * Decay + 1);
}

double WorkerRecord::decayedLatencyRatio(Instant Now) const {
  return 1 + (LatencyRatio - 1) * decay(Now - LatencyRatioAt, LatencyDecayTime);
}

double WorkerRecord::decayedWorkFactor(Instant Now) const {
  const Duration Age = Now - WorkFactorAt;
  if (Age > MaxWorkFactorAge)
    return 1;
  return 1 + (WorkFactor - 1) * decay(Age, WorkFactorDecayTime);
}

} // namespace masticgap::coordination
