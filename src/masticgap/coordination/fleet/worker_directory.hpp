#pragma once

#include "masticgap/coordination/fleet/worker_table.hpp"
#include "masticgap/coordination/replica/store_position.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! Contents of a worker's registration.
struct WorkerRegistration {
  WorkerDescriptor Worker;  //!< Its Run orders the incarnations of one id.
  Duration ColdDuration{0}; //!< Of the cold phase, from when a host reads it.
  //! Unix time at which the incarnation started, if the registration states it.
  std::optional<std::chrono::milliseconds> StartTime;

  friend bool operator==(const WorkerRegistration &,
                         const WorkerRegistration &) = default;
};

//! Incarnation that ended: its registration was removed for good, or it is
//! leaving.
struct EndedIncarnation {
  Incarnation Run;
  StoreEra Era = 0; //!< Era of the store in which it ended.

  friend bool operator==(const EndedIncarnation &,
                         const EndedIncarnation &) = default;
};

//! Reason why a worker gets no requests.
enum class WorkerExclusion {
  None,
  Leaving,
  Evacuated, //!< Its failure domain is evacuated.
  Gone       //!< Not registered, or replaced by another incarnation.
};

//! Limits of WorkerDirectory.
struct DirectoryTiming {
  //! Grace period if many registrations are removed at once without a known
  //! outage.
  Duration MassRemovalGrace = std::chrono::milliseconds(1400);
};

//! Directory of the workers of all services. Tracks incarnations, leaving
//! workers, lapsed registrations, cold phases and evacuated failure domains. An
//! incarnation that was leaving once never gets requests again.
class WorkerDirectory {
public:
  explicit WorkerDirectory(DirectoryTiming Timing = {}) : Timing(Timing) {}

  //! Returns the duration of the cold phase of a service's workers.
  using ColdDurationFunction = std::function<Duration(const ServiceName &)>;

  //! Sets the era of the store that the next registrations and removals are of.
  void setEra(StoreEra New) { Era = New; }

  //! Records a written registration.
  //! \param Age time since the start of the incarnation.
  //! \returns false if it has no effect, because it is of an older incarnation
  //! or of one that ended in an earlier era.
  bool recordRegistration(const WorkerRegistration &Entry, Instant Now,
                          Duration Age = Duration(0));

  //! Records removed registrations.
  //! \param LapseGrace time for which the workers are used in case their
  //! registrations lapsed in an outage of the store; zero if they did not. The
  //! shortest one counts if several sources report the same removal.
  void recordRemovals(const std::vector<WorkerId> &Ids, Duration LapseGrace,
                      Instant Now);

  //! Drops a worker whose registration is lapsed, because another source
  //! reports that its removal was none. Has no effect if it was renewed.
  void recordDefiniteRemoval(const WorkerId &Id);

  //! Records that an incarnation ended, as a peer reports it. Drops the worker
  //! if that was in an earlier era than the present one.
  //! \returns whether the worker was dropped.
  bool recordEnded(const WorkerId &Id, const EndedIncarnation &EndedRun);

  //! Removes a worker whose registration cannot be read.
  void recordUnreadable(const WorkerId &Id) { Workers.erase(Id); }

  //! Replaces the set of evacuated failure domains.
  //! \param Cold returns the cold phase of workers after an evacuation.
  void setEvacuated(std::set<FailureDomainName> Domains,
                    const ColdDurationFunction &Cold, Instant Now);

  //! Treats the worker as cold because it may have restarted: it was
  //! unreachable or died.
  void suspectRestart(const WorkerId &Id, Duration ColdDuration, Instant Now);

  //! Records that an incarnation announced in an answer that it leaves. It gets
  //! no further requests, whatever its registration states.
  //! \returns whether that was not known.
  bool recordLeaving(const WorkerId &Id, Incarnation Run);

  //! Records that another incarnation answered at the worker's address.
  void recordMisdirected(const WorkerId &Id, Incarnation Run);

  //! Drops workers with a lapsed registration whose grace period has passed.
  //! \returns the ids of the dropped workers.
  std::vector<WorkerId> expire(Instant Now);

  //! Returns why the worker gets no requests, or None.
  WorkerExclusion exclusion(const KnownWorker &State, Instant Now) const;
  const std::map<WorkerId, KnownWorker> &workers() const {
    return Workers.entries();
  }
  //! Returns the workers of a service, whether they get requests or not.
  ServiceWorkers workers(const ServiceName &Service) const {
    return Workers.ofService(Service);
  }
  //! Changes when a worker of any service is added or removed.
  std::uint64_t revision() const { return Workers.revision(); }
  const KnownWorker *find(const WorkerId &Id) const;
  const std::set<FailureDomainName> &evacuated() const { return Evacuated; }
  //! Returns the newest incarnation of each worker that ended.
  const std::map<WorkerId, EndedIncarnation> &ended() const { return Ended; }

private:
  void addLeavingRun(const WorkerId &Id, Incarnation Run);
  void addEnded(const WorkerId &Id, const EndedIncarnation &New);

  DirectoryTiming Timing;
  WorkerTable Workers;
  //! Newest known incarnation of each id.
  std::map<WorkerId, Incarnation> Newest;
  //! Incarnations that are or were leaving.
  std::set<std::pair<WorkerId, Incarnation>> LeavingRuns;
  std::map<WorkerId, EndedIncarnation> Ended; //!< See ended().
  StoreEra Era = 0;
  std::set<FailureDomainName> Evacuated;
};

} // namespace masticgap::coordination
