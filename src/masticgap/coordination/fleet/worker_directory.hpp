#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! What a worker's registration says of it.
struct WorkerRegistration {
  WorkerDescriptor Worker;  //!< Run orders the incarnations of one id.
  Duration ColdDuration{0}; //!< Time for which the worker stays cold.

  friend bool operator==(const WorkerRegistration &,
                         const WorkerRegistration &) = default;
};

//! State of one worker as this host believes it.
struct KnownWorker {
  WorkerDescriptor Worker;
  Instant RegisteredAt; //!< When this host first heard of this incarnation.
  Instant ColdUntil;    //!< Until then it tolerates few requests.
  //! The registration is missing; the worker is used until then.
  std::optional<Instant> LapsedUntil;
  bool InFirstList = false; //!< Part of the first list that this host read.
};

//! Why a worker takes no request.
enum class WorkerExclusion {
  None,
  Leaving,
  Evacuated, //!< Its failure domain is being emptied.
  Gone       //!< Not registered, or another incarnation has its place.
};

//! Limits of WorkerDirectory.
struct DirectoryTiming {
  //! Registrations that lapsed in an outage of the store are back within this
  //! time of its return, if the worker lives.
  Duration LapseGrace = std::chrono::seconds(2);
  //! Grace when many registrations vanish at once without a known outage.
  Duration MassRemovalGrace = std::chrono::milliseconds(1400);
};

//! Workers of all services: incarnations, leaving, lapsed registrations, cold
//! phases and evacuated failure domains. An incarnation that was seen leaving
//! never takes work again.
class WorkerDirectory {
public:
  explicit WorkerDirectory(DirectoryTiming Timing = {}) : Timing(Timing) {}

  //! Cold phase of the workers of a service after a start.
  using ColdStart = std::function<Duration(const ServiceName &)>;

  //! A registration was written.
  //! \param Initial it was part of the first list.
  //! \returns false when it was of an older incarnation and had no effect.
  bool recordRegistration(const WorkerRegistration &Entry, Instant Now,
                          bool Initial);

  //! Registrations were removed.
  //! \param AfterOutage the removals may be lapses of an outage.
  void recordRemovals(const std::vector<WorkerId> &Ids, bool AfterOutage,
                      Instant Now);

  //! A registration cannot be read, so it names no worker.
  void recordUnreadable(const WorkerId &Id) { Workers.erase(Id); }

  //! The failure domains being emptied, as a whole.
  //! \param Cold cold phase that workers have after the evacuation.
  void setEvacuated(std::set<FailureDomainName> Domains, const ColdStart &Cold,
                    Instant Now);

  //! The worker was unreachable and answers again, so it may have restarted.
  void suspectRestart(const WorkerId &Id, Duration ColdDuration, Instant Now);

  //! The worker answered that another incarnation has its address.
  void recordMisdirected(const WorkerId &Id, Incarnation Run);

  //! Drops lapsed workers whose grace has passed.
  //! \returns the ids that were dropped.
  std::vector<WorkerId> expire(Instant Now);

  WorkerExclusion exclusion(const KnownWorker &Known, Instant Now) const;
  const std::map<WorkerId, KnownWorker> &workers() const { return Workers; }
  const KnownWorker *find(const WorkerId &Id) const;
  const std::set<FailureDomainName> &evacuated() const { return Evacuated; }

private:
  DirectoryTiming Timing;
  std::map<WorkerId, KnownWorker> Workers;
  //! Newest incarnation that was seen of an id, and whether it left.
  std::map<WorkerId, Incarnation> Newest;
  std::set<std::pair<WorkerId, Incarnation>> Left;
  std::set<FailureDomainName> Evacuated;
};

} // namespace masticgap::coordination
