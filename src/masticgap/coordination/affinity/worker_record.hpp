#pragma once

#include "masticgap/state/time.hpp"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

namespace masticgap::coordination {

//! Load that a worker reported with an answer.
struct QueueReport {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 1;
  //! Time that work takes on the machine now, relative to the usual time.
  double WorkFactor = 1;
  bool HasWorkFactor = false; //!< Whether the worker reported the factor.
};

//! Load of a worker that another host was told by the worker.
struct PeerReport {
  unsigned Busy = 0;     //!< Running and waiting requests.
  double WorkFactor = 1; //!< 1 if the worker did not report it.
  Instant ReportedAt;    //!< On the clock of this process.
};

//! Result of a report of another host.
enum class PeerReportResult {
  Applied,
  Unknown,    //!< This host does not know the worker.
  Superseded, //!< This host has the same information or newer.
  Expired     //!< Older than MaxPeerReportAge.
};

//! Reports of other hosts that are older are ignored.
inline constexpr std::chrono::seconds MaxPeerReportAge{2};
//! Age up to which an estimate from a report does not decay, on hosts that
//! exchange reports. A newer report usually arrives earlier.
inline constexpr std::chrono::seconds ExchangedReportHold{1};

//! Number of requests in flight in the recent past. Beyond the last few
//! changes, the number before the oldest known change is assumed.
class InFlightHistory {
public:
  //! Records the number that was in flight until now.
  void record(unsigned Number, Instant Now);
  //! Returns the number in flight at a time.
  //! \param Current number in flight now.
  unsigned at(Instant Time, unsigned Current) const;

private:
  static constexpr std::size_t KeptChanges = 8;
  std::array<Instant, KeptChanges> ChangedAt;
  std::array<std::uint16_t, KeptChanges> Before{}; //!< Saturated.
  std::uint8_t Next = 0; //!< Index of the oldest change.
};

//! Load, latency and failures of one worker as observed by this host, and load
//! that other hosts observed.
class WorkerRecord {
public:
  //! Records that a request is sent to the worker.
  void recordSent(Instant Now);
  //! Records that a request is no longer in flight, whatever its result. The
  //! functions that record results do not do this.
  void recordEnded(Instant Now);

  //! Records an answer of the worker, or a request that timed out.
  //! \param Latency time from sending the request to the answer or timeout.
  //! \param ExpectedLatency latency that was expected of this request.
  void recordAnswer(Duration Latency, Duration ExpectedLatency, Instant Now);
  //! Records the load that the worker reported to this host.
  //! \param Hold age up to which the estimate does not decay.
  void recordLoad(const QueueReport &Report, Instant Now,
                  Duration Hold = Duration(0));
  //! Records the load that the worker reported to another host, unless this
  //! host has newer information.
  PeerReportResult recordPeerReport(const PeerReport &Report, Instant Now);
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
  // Most workers have no recent evidence of one kind, and a choice reads all of
  // them, so this and the next ones compute a decay only if there is any.
  double occupancy(Instant Now) const {
    if (OthersOccupancy == 0)
      return InFlight;
    return InFlight + (Now - LoadReportedAt <= LoadHold ? OthersOccupancy
                                                        : decayedOthers(Now));
  }
  //! Returns the share of recent requests that failed.
  double failureShare(Instant Now) const {
    return Failures == 0 ? 0 : decayedFailureShare(Now);
  }
  //! Returns the recent latency divided by the expected one, 1 without
  //! evidence; at least the recently reported work factor, if that is above 1.
  double relativeLatency(Instant Now) const {
    const double Own = LatencyRatio == 1 ? 1 : decayedLatencyRatio(Now);
    return WorkFactor <= 1 ? Own : std::max(Own, decayedWorkFactor(Now));
  }
  //! Returns whether the worker is ejected because it was unreachable.
  bool isEjected(Instant Now) const { return Now < EjectedUntil; }
  //! Returns whether the worker was unreachable and has not answered since.
  bool awaitsRecovery() const { return UnreachableCount > 0; }
  //! Returns whether this host has sent the worker a request.
  bool wasUsed() const { return Used; }

private:
  double decayedOthers(Instant Now) const;
  double decayedFailureShare(Instant Now) const;
  //! Returns the recent latency of this host's requests divided by the expected
  //! one.
  double decayedLatencyRatio(Instant Now) const;
  double decayedWorkFactor(Instant Now) const;

  unsigned InFlight = 0;
  double OthersOccupancy = 0; //!< Other hosts' requests, as of LoadReportedAt.
  Instant LoadReportedAt;
  Duration LoadHold{0};  //!< Age up to which OthersOccupancy does not decay.
  double WorkFactor = 1; //!< As of WorkFactorAt.
  Instant WorkFactorAt;
  double LatencyRatio = 1; //!< Moving average, as of LatencyRatioAt.
  Instant LatencyRatioAt;
  double Failures = 0; //!< Decaying count, as of CountedAt.
  double Results = 0;  //!< Decaying count of results, as of CountedAt.
  Instant CountedAt;
  unsigned UnreachableCount = 0; //!< Consecutive connection failures.
  Instant EjectedUntil;
  bool Used = false;
  // Last, so that what a choice reads of all workers is close together.
  InFlightHistory History;
};

} // namespace masticgap::coordination
