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

//! Health, load and choice for the workers of one service, as one entry host
//! sees them. Own attempts outrank what workers report about themselves.
class WorkerPool {
public:
  WorkerPool(ChoicePolicy Policy, std::uint64_t Seed);

  //! Takes the host list. Workers that are missing from it are forgotten once
  //! they have no request in flight. A new incarnation starts with a ramp.
  void update(std::span<const WorkerDescriptor> Workers, Instant Now);

  //! Takes a load report from an answer or a probe.
  void report(const WorkerId &Worker, LoadReport Load, Instant Now);

  //! One sign is enough: this incarnation gets no new work any more, whatever
  //! the host list or a report says later.
  void leaving(const WorkerId &Worker, Incarnation Run);

  //! Operator's exceptions: workers and failure domains that get no new work.
  void avoid(std::set<WorkerId> Workers, std::set<FailureDomainName> Domains);

  void setPolicy(ChoicePolicy NewPolicy);

  //! Picks a worker; does not count the request until started() is called.
  WorkerChoice choose(const ChoiceRequest &Request, Instant Now);

  void started(const WorkerId &Worker);
  void finished(const WorkerId &Worker, const AttemptResult &Result,
                Instant Now);

  //! Slots and use in \p Region of workers that may take work.
  RegionLoad regionLoad(const RegionName &Region, Instant Now) const;

  //! What an operator sees of one worker.
  struct WorkerState {
    WorkerDescriptor Worker;
    unsigned InFlight = 0;
    double EstimatedUse = 0; //!< Share of the slots, 0 to 1 and above.
    bool Ejected = false;
    bool TakesNoWork = false;
  };
  std::vector<WorkerState> states(Instant Now) const;

private:
  struct Record {
    WorkerDescriptor Worker;
    unsigned InFlight = 0;
    unsigned OwnedSlots = 0; //!< Under the SlotSubset policy.
    LoadReport Report;
    //! Own requests that were started since the last report.
    unsigned StartedSince = 0;
    unsigned FinishedSince = 0;
    std::optional<Instant> ReportedAt;
    Instant FullUntil{};
    std::optional<Instant> RampStart;
    double LatencyNs = 0; //!< Moving average of answered attempts.
    Ejection EjectionState;
    bool Listed = true;
  };

  bool takesNoWork(const Record &R) const;
  bool mayTake(const Record &R, Instant Now) const;
  double estimatedInUse(const Record &R, Instant Now) const;
  double rampShare(const Record &R, Instant Now) const;
  double score(const Record &R, Instant Now) const;
  bool isFull(const Record &R, Instant Now) const;
  std::vector<Record *> takingWork(const ChoiceRequest &Request, Instant Now);
  std::vector<Record *> dropRamping(const std::vector<Record *> &From,
                                    Instant Now);
  Record *pick(std::span<Record *const> From, Instant Now);
  Record *pickTwo(std::span<Record *const> From, Instant Now);
  static Record *pickOwn(std::span<Record *const> From);
  void assignSlots();
  Record *pickLeast(std::span<Record *const> From, Instant Now);
  bool mayEject(Instant Now) const;
  static Duration shortestHold(std::span<Record *const> From, Instant Now);

  ChoicePolicy Policy;
  std::mt19937_64 Random;
  std::map<WorkerId, Record> Records;
  //! Newest incarnation of each worker that is known to be leaving.
  std::map<WorkerId, Incarnation> Leaving;
  std::set<WorkerId> AvoidedWorkers;
  std::set<FailureDomainName> AvoidedDomains;
  bool FirstList = true;
  double PoolLatencyNs = 0; //!< Moving average over all workers.
};

} // namespace masticgap::coordination
