#pragma once

#include "masticgap/coordination/admission/admission_policy.hpp"
#include "masticgap/coordination/affinity/affinity_choice.hpp"
#include "masticgap/coordination/affinity/worker_record.hpp"
#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/coordination/fleet/worker_directory.hpp"
#include "masticgap/coordination/fleet_budget/cold_start_limiter.hpp"
#include "masticgap/coordination/fleet_budget/fleet_retry_budget.hpp"
#include "masticgap/coordination/joining/join_schedule.hpp"
#include "masticgap/coordination/load_exchange/load_message.hpp"
#include "masticgap/coordination/region_share/region_share.hpp"
#include "masticgap/state/traffic_config.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Properties of a request that decide where it is dispatched.
struct DispatchRequest {
  ServiceName Service;
  std::uint64_t Object = 0; //!< Hash of the object or of the request.
  unsigned Priority = 0;
  Duration LatencyObjective{0};
  Instant Deadline; //!< Deadline or route timeout, whichever is earlier.
  std::span<const RegionName> HomeRegions; //!< Empty: any region.
  std::span<const WorkerId> Tried; //!< Workers that are not chosen again.
};

//! Worker to which the request is sent.
struct WorkerPick {
  WorkerDescriptor Worker;
  //! Maximum number of connections of this host to the worker.
  unsigned Connections = 1;
  Duration QueueWait{0};        //!< Expected time in the worker's queue.
  Duration ExpectedLatency{0};  //!< Expected time until the answer.
  double Occupancy = 0;         //!< Estimated requests at the worker.
  std::size_t AffinityRank = 0; //!< In the object's rendezvous order.
  bool Cold = false;
};

//! Reason why no worker is chosen.
enum class RejectReason {
  NoWorkers,  //!< No worker of the service accepts requests.
  Overloaded, //!< The request would wait too long.
  NoTime      //!< The deadline has passed.
};

//! The request is rejected before it is sent.
struct Rejection {
  RejectReason Reason = RejectReason::NoWorkers;
  Duration RetryAfter{0};
  Duration QueueWait{0}; //!< Expected at the best worker, if there is one.
};
using DispatchDecision = std::variant<WorkerPick, Rejection>;

//! Result of a request at a worker.
enum class WorkerVerdict {
  Answered,    //!< The worker answered, and the answer is not a failure.
  Failed,      //!< The worker answered with a failure.
  RefusedFull, //!< The worker is full and did not execute the request.
  Misdirected, //!< Another incarnation uses the address.
  Unreachable, //!< No connection, or the connection was lost.
  Broken,      //!< The answer was truncated or malformed.
  TimedOut,
  Abandoned //!< The caller disconnected.
};

//! Construction parameters of Dispatcher.
struct DispatcherSettings {
  HostId Self;
  RegionName Region;
  std::map<FailureDomainName, RegionName> DomainRegions;
  FleetRetryLimits Retries;
  //! Assumed round trip to a worker of another region.
  Duration CrossRegionRoundTrip = std::chrono::milliseconds(40);
  AffinityPolicy Affinity;
  AdmissionPolicy Admission;
  DirectoryTiming Directory;
};

//! Chooses the worker for each request or rejects the request. Holds what
//! this host knows about the workers. Does no I/O.
class Dispatcher {
public:
  Dispatcher(DispatcherSettings Settings, Instant Start);

  void setConfig(std::shared_ptr<const TrafficConfig> Config);
  //! Sets the entry hosts.
  //! \param All hosts that may send requests, including those that appear dead.
  //! \param Live number of live hosts by region.
  //! \param LocalLive live hosts of the local region, including this one.
  void setHosts(std::vector<HostId> All, std::map<RegionName, unsigned> Live,
                std::vector<HostId> LocalLive = {});
  //! Updates the regional shares; to be called about twice a second.
  //! \returns workers that were dropped because their lapsed registration did
  //! not return in time.
  std::vector<WorkerId> tick(Instant Now);

  //! Records that a caller's request arrived; to be called once per request.
  void recordArrival(const ServiceName &Service, Instant Now);
  DispatchDecision choose(const DispatchRequest &Request, Instant Now);

  void recordSent(const WorkerPick &Pick, Instant Now);
  void recordResult(const WorkerPick &Pick, WorkerVerdict Verdict,
                    Duration Latency, Instant Now);
  void recordLoad(const WorkerId &Worker, const QueueReport &Report,
                  Instant Now);
  //! Sets whether this host gets reports of other hosts.
  void setLoadExchange(bool IsActive) { ExchangesLoad = IsActive; }
  //! Records the load that a worker reported to another host.
  PeerReportResult recordPeerReport(const WorkerLoad &Load, Instant Now);
  //! Records that the worker's process died.
  void recordDeath(const WorkerId &Worker, Instant Now);
  //! Withdraws a retry from the service's budget.
  //! \returns false if the retry must not be sent.
  bool tryRetry(const ServiceName &Service, Instant Now);

  //! Returns whether this host is the one of the fleet that tries a quarantined
  //! request. Hosts that know the same live hosts choose the same one.
  bool isTrialHostOf(Fingerprint Request) const;

  WorkerDirectory &directory() { return Directory; }
  const WorkerDirectory &directory() const { return Directory; }
  const WorkerRecord *record(const WorkerId &Worker) const;
  Duration typicalLatency(const ServiceName &Service) const;
  //! Returns the share of requests that is served in the local region.
  double ownShare(const ServiceName &Service) const;
  //! Returns the number of workers of a service that accept requests now.
  std::size_t usableWorkers(const ServiceName &Service, Instant Now) const;
  Duration coldStartDuration(const ServiceName &Service) const;

private:
  struct ServiceState;
  struct CandidateSet;

  ServiceState &serviceState(const ServiceName &Service, Instant Now);
  //! Brings the list of the service's workers up to date.
  void updateMembers(ServiceState &State, const ServiceName &Service);
  //! Brings RecordsByKey up to date.
  void updateKeys();
  const ServiceTraits *traits(const ServiceName &Service) const;
  CandidateSet candidates(const DispatchRequest &Request, Instant Now);
  std::optional<WorkerPick> bestCandidate(const CandidateSet &Available,
                                          const ServiceState &State,
                                          const RegionName *OnlyRegion,
                                          const DispatchRequest &Request);
  //! Returns a joining worker of the local region that this host is to try.
  std::optional<WorkerPick> pickTrial(const CandidateSet &Available,
                                      const ServiceState &State);
  WorkerPick makePick(const CandidateSet &Available, std::size_t Index) const;
  static bool mayOverflow(ServiceState &State);
  void updateRegionShare(ServiceState &State, const ServiceName &Service,
                         Instant Now);
  void updateJoining(ServiceState &State, const ServiceName &Service,
                     Instant Now);

  DispatcherSettings Settings;
  Instant Start;
  std::shared_ptr<const TrafficConfig> Config;
  WorkerDirectory Directory;
  ColdStartLimiter ColdLimiter;
  std::map<ServiceName, std::unique_ptr<ServiceState>> ServiceStates;
  std::map<WorkerId, WorkerRecord> Records;
  //! Records of the workers in the directory, as of KeysRevision; null for keys
  //! that several workers have.
  std::unordered_map<LoadKey, WorkerRecord *> RecordsByKey;
  std::uint64_t KeysRevision = 0;
  bool ExchangesLoad = false;
  std::vector<HostId> Hosts;
  std::map<RegionName, unsigned> LiveHosts;
  std::vector<HostId> LocalHosts; //!< Live hosts of the local region.

public:
  ~Dispatcher();
};

} // namespace masticgap::coordination
