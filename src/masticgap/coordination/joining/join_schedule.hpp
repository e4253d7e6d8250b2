#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Pace at which workers that join a running service get requests.
struct JoinPolicy {
  //! A worker that started within this time after most workers of its group
  //! does not join them, it is one of them.
  Duration GroupStart = std::chrono::seconds(5);
  //! Time in which a joining worker takes over its share of the objects. Each
  //! object that moves costs its callers some slow answers.
  Duration TakeOverTime = std::chrono::seconds(30);
  //! Share of the requests that may be used to try joining workers.
  double TrialShare = 0.03;
  //! Maximum time until all workers that joined together were tried.
  Duration MaxTrialSpread = std::chrono::seconds(5);
};

//! Start and end of the cold phase of one worker.
struct WorkerStart {
  Instant StartedAt;
  Instant ColdUntil;
};

//! Schedule of the workers that join one service in one region. All hosts
//! compute the same schedule from the workers' start times.
//!
//! This answers the load of a fleet that grows under traffic: if each host used
//! the new workers at once, all objects that belong to them would move in the
//! same moment to workers that have none of them in memory.
class JoinSchedule {
public:
  explicit JoinSchedule(JoinPolicy Policy = {}) : Policy(Policy) {}

  //! Updates the schedule.
  //! \param Group start times of the workers of the service in the region.
  //! \param RequestsPerSecond of the service in the region; 0 if unknown.
  void update(std::vector<Instant> Group, double RequestsPerSecond,
              Instant Now);

  //! Returns whether the worker started after most others of its group and has
  //! not taken over all of its objects yet.
  bool isJoining(const WorkerStart &Worker, Instant Now) const;

  //! Returns the share of its objects that the worker has taken over, from 0 to
  //! 1. It is 0 in the worker's cold phase and grows afterwards.
  double takenOverShare(const WorkerStart &Worker, Instant Now) const;

  //! Returns whether a joining worker is to be tried by now. The trials of a
  //! group are spread over time, because the object of a trial is not in the
  //! worker's memory.
  //! \param WorkerHash hash of the worker.
  bool trialIsDue(const WorkerStart &Worker, std::uint64_t WorkerHash,
                  Instant Now) const;

  //! Returns the number of joining workers.
  std::size_t joining() const { return Joining; }

private:
  JoinPolicy Policy;
  //! Median of the start times; unset without workers.
  std::optional<Instant> Established;
  std::size_t Joining = 0;
  Duration TrialSpread{0};
};

//! Returns whether a host is the one that tries a joining worker. All hosts
//! that know the same hosts choose the same one.
//! \param Hosts live hosts of the worker's region; only \p Self if empty.
bool isTrialHost(std::uint64_t WorkerHash, const HostId &Self,
                 std::span<const HostId> Hosts);

//! Returns whether an object belongs to the taken over share of a worker.
bool isTakenOver(std::uint64_t WorkerHash, std::uint64_t Object, double Share);

} // namespace masticgap::coordination
