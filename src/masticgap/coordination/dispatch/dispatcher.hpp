#pragma once

#include "masticgap/coordination/admission/admission_policy.hpp"
#include "masticgap/coordination/affinity/affinity_choice.hpp"
#include "masticgap/coordination/affinity/worker_record.hpp"
#include "masticgap/coordination/fleet/worker_directory.hpp"
#include "masticgap/coordination/fleet_budget/cold_start_limiter.hpp"
#include "masticgap/coordination/fleet_budget/fleet_retry_budget.hpp"
#include "masticgap/coordination/region_share/region_share.hpp"
#include "masticgap/state/traffic_config.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! What the dispatcher needs to know of a request.
struct DispatchRequest {
  ServiceName Service;
  std::uint64_t Object = 0; //!< Hash of the object, or of the request.
  unsigned Priority = 0;
  Duration LatencyObjective{0};
  Instant Deadline; //!< Deadline or route timeout, whichever is first.
  std::span<const RegionName> HomeRegions; //!< Empty: any region.
  std::span<const WorkerId> Tried;         //!< Not to be chosen again.
};

//! The worker to which the request is sent.
struct WorkerPick {
  WorkerDescriptor Worker;
  unsigned Connections = 1; //!< This host's share of the worker's connections.
  Duration QueueWait{0};    //!< Expected time in the worker's queue.
  Duration ExpectedLatency{0};  //!< Expected time until the answer.
  double Occupancy = 0;         //!< Requests believed to be at the worker.
  std::size_t AffinityRank = 0; //!< In the order of the object's homes.
  bool Cold = false;
};

//! Why no worker gets the request.
enum class RejectReason {
  NoWorkers,  //!< None of the service may take requests.
  Overloaded, //!< It would wait too long.
  NoTime      //!< Its time has passed.
};

//! The request is refused before it was sent.
struct Rejection {
  RejectReason Reason = RejectReason::NoWorkers;
  Duration RetryAfter{0};
  Duration QueueWait{0}; //!< Expected at the best worker, if any.
};
using DispatchDecision = std::variant<WorkerPick, Rejection>;

//! How a request ended at a worker.
enum class WorkerVerdict {
  Answered,    //!< With an answer of its own that is no failure.
  Failed,      //!< With a failure of its own.
  RefusedFull, //!< Not executed.
  Misdirected, //!< Another incarnation has its address.
  Unreachable, //!< No connection, or the connection died.
  Broken,      //!< The answer was cut off or is not an answer.
  TimedOut,
  Abandoned //!< The caller left.
};

//! Construction parameters of Dispatcher.
struct DispatcherSettings {
  HostId Self;
  RegionName Region;
  std::map<FailureDomainName, RegionName> DomainRegions;
  FleetRetryLimits Retries;
  Duration CrossRegionRoundTrip =
      std::chrono::milliseconds(40); //!< Round trip.
  AffinityPolicy Affinity;
  AdmissionPolicy Admission;
  DirectoryTiming Directory;
};

//! Decides which worker gets a request, or that none does. Owns what this host
//! believes of the workers. It does no I/O.
class Dispatcher {
public:
  Dispatcher(DispatcherSettings Settings, Instant Start);

  void setConfig(std::shared_ptr<const TrafficConfig> Config);
  //! All entry hosts that may send requests, also those that look dead.
  void setHosts(std::vector<HostId> All, std::map<RegionName, unsigned> Live);
  //! Refreshes regional shares; call about twice a second.
  //! \returns workers whose lapsed registration ended.
  std::vector<WorkerId> tick(Instant Now);

  //! A request of a caller for the service arrived; call once a request.
  void recordArrival(const ServiceName &Service, Instant Now);
  DispatchDecision choose(const DispatchRequest &Request, Instant Now);

  void recordSent(const WorkerPick &Pick, Instant Now);
  void recordResult(const WorkerPick &Pick, WorkerVerdict Verdict,
                    Duration Latency, Instant Now);
  void recordLoad(const WorkerId &Worker, const QueueReport &Report,
                  Instant Now);
  //! The worker's process is gone.
  void recordDeath(const WorkerId &Worker, Instant Now);
  //! Takes a retry from the service's budget.
  bool tryRetry(const ServiceName &Service, Instant Now);

  WorkerDirectory &directory() { return Directory; }
  const WorkerDirectory &directory() const { return Directory; }
  const WorkerRecord *record(const WorkerId &Worker) const;
  Duration typicalLatency(const ServiceName &Service) const;
  double ownShare(const ServiceName &Service) const;
  //! Workers of a service that may take requests now.
  std::size_t usableWorkers(const ServiceName &Service, Instant Now) const;
  Duration coldStartDuration(const ServiceName &Service) const;

private:
  struct ServiceState;
  struct CandidateSet;

  ServiceState &serviceState(const ServiceName &Service, Instant Now);
  const ServiceTraits *traits(const ServiceName &Service) const;
  CandidateSet candidates(const DispatchRequest &Request, Instant Now);
  std::optional<WorkerPick> bestCandidate(const CandidateSet &Of,
                                          const ServiceState &In,
                                          const RegionName *Only,
                                          const DispatchRequest &Request);
  std::optional<WorkerPick> pickUntriedWorker(const CandidateSet &Of);
  WorkerPick makePick(const CandidateSet &Of, std::size_t Index) const;
  static bool mayOverflow(ServiceState &In);
  void updateRegionShare(ServiceState &Of, const ServiceName &Service,
                         Instant Now);

  DispatcherSettings Settings;
  Instant Start;
  std::shared_ptr<const TrafficConfig> Config;
  WorkerDirectory Directory;
  ColdStartLimiter Cold;
  std::map<ServiceName, std::unique_ptr<ServiceState>> ServiceStates;
  std::map<WorkerId, WorkerRecord> Records;
  std::vector<HostId> Hosts;
  std::map<RegionName, unsigned> LiveHosts;
  //! Workers that registered before it were there when traffic began.
  std::optional<Instant> FirstArrival;

public:
  ~Dispatcher();
};

} // namespace masticgap::coordination
