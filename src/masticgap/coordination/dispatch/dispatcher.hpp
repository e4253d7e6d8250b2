#pragma once

#include "masticgap/coordination/admission/admission_policy.hpp"
#include "masticgap/coordination/affinity/affinity_choice.hpp"
#include "masticgap/coordination/affinity/worker_record.hpp"
#include "masticgap/coordination/dispatch/dispatch_decision.hpp"
#include "masticgap/coordination/dispatch/dispatch_explanation.hpp"
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
  std::optional<CallerStanding> Caller;    //!< For admission.
  std::span<const RegionName> HomeRegions; //!< Empty: any region.
  std::span<const WorkerId> Tried; //!< Workers that are not chosen again.
};

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
  //! Returns what choose() would decide about a request that arrived now, and
  //! the figures of all workers. Changes nothing.
  DispatchExplanation explain(const DispatchRequest &Request,
                              Instant Now) const;

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
  struct ServiceMember;
  struct ServiceState;
  struct CandidateSet;
  struct Evaluation;
  //! Candidates of one region.
  struct RegionCandidates {
    std::vector<AffinityCandidate> Candidates;
    std::vector<std::size_t> Indices; //!< In the set of all candidates.
  };

  ServiceState &serviceState(const ServiceName &Service, Instant Now);
  //! Returns whether the list of the service's workers is up to date.
  bool isCurrent(const ServiceState &State, const ServiceName &Service) const;
  //! Brings the list of the service's workers up to date.
  void updateMembers(ServiceState &State, const ServiceName &Service);
  //! Lists the service's workers with the records that exist.
  void listMembers(ServiceState &State, const ServiceName &Service) const;
  //! Brings RecordsByKey up to date.
  void updateKeys();
  const ServiceTraits *traits(const ServiceName &Service) const;
  WorkerEligibility eligibility(const ServiceMember &Member,
                                const DispatchRequest &Request,
                                Instant Now) const;
  CandidateSet candidates(const ServiceState &State,
                          const DispatchRequest &Request, Instant Now) const;
  //! Returns the typical latency of the service, or an assumption.
  static Duration expectedWork(const ServiceState &State,
                               const DispatchRequest &Request);
  static RegionCandidates candidatesIn(const CandidateSet &Available,
                                       const RegionName &Region);
  std::optional<WorkerPick> bestCandidate(const CandidateSet &Available,
                                          const ServiceState &State,
                                          const RegionName *OnlyRegion,
                                          const DispatchRequest &Request) const;
  //! Returns a joining worker of the local region that this host is to try.
  std::optional<WorkerPick> pickTrial(const CandidateSet &Available,
                                      const ServiceState &State) const;
  WorkerPick makePick(const CandidateSet &Available, std::size_t Index) const;
  //! Decides about a request without carrying out the decision.
  //! \param OverflowCredit requests that may leave a full region.
  Evaluation evaluate(const ServiceState &State, double OverflowCredit,
                      const DispatchRequest &Request, Instant Now) const;
  //! Chooses among the candidates of \p Result and sets its other members.
  void decide(const ServiceState &State, double OverflowCredit,
              const DispatchRequest &Request, Evaluation &Result) const;
  DispatchExplanation explain(const ServiceState &State,
                              const DispatchRequest &Request,
                              Instant Now) const;
  void updateRegionShare(ServiceState &State, Instant Now) const;
  void updateJoining(ServiceState &State, const ServiceName &Service,
                     Instant Now) const;

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
