#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/coordination/choice_policy.hpp"
#include "masticgap/coordination/ejection.hpp"
#include "masticgap/coordination/load_report.hpp"
#include "masticgap/coordination/worker_choice.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace masticgap::coordination {

//! Health and load of the workers of one service as known to one entry host,
//! and the choice among them. Results of this host's attempts take precedence
//! over the workers' own reports.
class WorkerPool {
public:
  WorkerPool(ChoicePolicy Policy, std::uint64_t Seed);

  //! Applies the host list. Workers that are missing from it are removed once
  //! they have no request in flight. The load of a new incarnation is ramped
  //! up.
  void update(std::span<const WorkerDescriptor> Workers, Instant Now);

  //! Records a load report from an answer or a probe.
  void report(const WorkerId &Worker, LoadReport Load, Instant Now);

  //! Records that an incarnation is leaving. It never gets new requests again,
  //! whatever the host list or a report states later.
  void leaving(const WorkerId &Worker, Incarnation Run);

  //! Sets the workers and failure domains that get no new requests because of
  //! an operator's ConfigException (DrainWorker, AvoidDomain).
  void avoid(std::set<WorkerId> Workers, std::set<FailureDomainName> Domains);

  void setPolicy(ChoicePolicy NewPolicy);

  //! Chooses a worker; the request counts only after started() was called.
  WorkerChoice choose(const ChoiceRequest &Request, Instant Now);

  void started(const WorkerId &Worker);
  void finished(const WorkerId &Worker, const AttemptResult &Result,
                Instant Now);

  //! Returns the slots and the load of the eligible workers in \p Region.
  RegionLoad regionLoad(const RegionName &Region, Instant Now) const;

  //! State of one worker for operators.
  struct WorkerState {
    WorkerDescriptor Worker;
    unsigned InFlight = 0;
    double EstimatedUse = 0; //!< Share of the slots in use; may exceed 1.
    bool Ejected = false;
    //! Not in the host list, leaving, or excluded by avoid().
    bool TakesNoWork = false;
  };
  std::vector<WorkerState> states(Instant Now) const;

private:
  struct Record {
    WorkerDescriptor Worker;
    unsigned InFlight = 0;
    unsigned OwnedSlots = 0; //!< Under the SlotSubset policy.
    LoadReport Report;
    //! Requests of this host that were started since the last report.
    unsigned StartedSinceReport = 0;
    unsigned FinishedSinceReport = 0;
    std::optional<Instant> ReportedAt;
    Instant FullUntil{};
    std::optional<Instant> RampStart;
    double LatencyNs = 0; //!< Moving average of answered attempts.
    Ejection EjectionState;
    bool Listed = true;
  };

  bool takesNoWork(const Record &R) const;
  bool isEligible(const Record &R, Instant Now) const;
  double estimatedInUse(const Record &R, Instant Now) const;
  double rampShare(const Record &R, Instant Now) const;
  double score(const Record &R, Instant Now) const;
  bool isFull(const Record &R, Instant Now) const;
  std::vector<Record *> eligibleWorkers(const ChoiceRequest &Request,
                                        Instant Now);
  //! Removes ramping workers at random, each with one minus its ramp share as
  //! the probability. Keeps all candidates if none would remain.
  std::vector<Record *> thinOutRamping(const std::vector<Record *> &Candidates,
                                       Instant Now);
  Record *pick(std::span<Record *const> Candidates, Instant Now);
  Record *pickTwo(std::span<Record *const> Candidates, Instant Now);
  static Record *pickOwned(std::span<Record *const> Candidates);
  void assignSlots();
  Record *pickLeast(std::span<Record *const> Candidates, Instant Now);
  bool mayEject(Instant Now) const;
  static Duration shortestFullTime(std::span<Record *const> Candidates,
                                   Instant Now);

  ChoicePolicy Policy;
  std::mt19937_64 Random;
  std::map<WorkerId, Record> Records;
  //! Newest incarnation of each worker that is known to be leaving.
  std::map<WorkerId, Incarnation> Leaving;
  std::set<WorkerId> AvoidedWorkers;
  std::set<FailureDomainName> AvoidedDomains;
  //! No host list with workers was applied before. The workers of the first one
  //! are not ramped up.
  bool FirstList = true;
  double PoolLatencyNs = 0; //!< Moving average over all workers.
};

} // namespace masticgap::coordination
