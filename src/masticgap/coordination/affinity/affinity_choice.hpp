#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace masticgap::coordination {

//! Worker that is eligible for the request.
struct AffinityCandidate {
  std::uint64_t WorkerHash = 0; //!< workerHash() of its id.
  unsigned Slots = 1;
  double Occupancy = 0;       //!< Running and waiting requests.
  double RelativeLatency = 1; //!< Recent latency divided by the expected one.
  double FailureShare = 0;    //!< Share of recent requests that failed.
  Duration RoundTrip{0};      //!< Network round trip to the worker.
  bool Cold = false;          //!< Started recently and is still slow.
  //! Share of its objects that the worker has taken over since it joined.
  double TakenOverShare = 1;
};

//! Penalties of the choice, in units of the service's typical latency.
struct AffinityPolicy {
  //! Number of workers that keep one object in memory. Several of them share
  //! the load of a popular object, but each one uses worker memory for it.
  std::size_t PreferredWorkers = 1;
  //! Penalty of a worker that has not handled the object recently. The
  //! request takes about three times as long there, that is two typical
  //! latencies more; the rest of the penalty is for the eviction of another
  //! object.
  double NotPreferredPenalty = 2.5;
  //! Penalty per rank in the object's rendezvous order. Hosts that skip a busy
  //! preferred worker choose the same next worker, which then has the object in
  //! memory too.
  double RankPenalty = 1.0;
  //! Number of ranks with distinct penalties; all later ranks have the same
  //! one.
  std::size_t RankedWorkers = 6;
  double ColdPenalty = 2.0;    //!< Penalty of a worker in its cold phase.
  double FailurePenalty = 6.0; //!< Multiplied by the share of failures.
};

//! The worker with the lowest cost: expected latency plus penalties.
struct AffinityResult {
  std::size_t Index = 0;       //!< Index into the candidates.
  Duration QueueWait{0};       //!< Expected time in its queue.
  Duration ExpectedLatency{0}; //!< Expected time until the answer.
  //! In the object's rendezvous order; not exact above
  //! AffinityPolicy::RankedWorkers.
  std::size_t AffinityRank = 0;
};

//! Cost of a candidate in nanoseconds; the sum of its parts.
struct AffinityCost {
  double QueueWait = 0;    //!< Expected time in its queue.
  double Execution = 0;    //!< At a worker that has the object in memory.
  double NotPreferred = 0; //!< The worker probably lacks the object.
  double Cold = 0;
  double RoundTrip = 0;
  double Placement = 0; //!< For the rank and for the slots in use.
  double Failures = 0;
  std::size_t Rank = 0; //!< See AffinityResult::AffinityRank.

  //! Returns the expected time until the answer.
  double latency() const {
    return QueueWait + (Execution + NotPreferred + Cold) + RoundTrip;
  }
  double total() const { return latency() + Placement + Failures; }
};

//! Returns a stable hash of a worker for rendezvous hashing.
std::uint64_t workerHash(const WorkerId &Id);
//! Returns a stable hash of an object of a service.
std::uint64_t objectHash(const ServiceName &Service, std::string_view Object);
//! Combines two hashes into one that is evenly distributed over all bits.
std::uint64_t mixHashes(std::uint64_t Left, std::uint64_t Right);

//! Chooses a worker by rendezvous hashing bounded by load.
//!
//! The object's preferred workers are the same on all hosts. A preferred worker
//! that is busy, slow, failing or cold is skipped when another worker is
//! expected to be faster. This suits objects that are requested repeatedly on
//! workers with few slots.
//! \param TypicalLatency latency of the service at a warm worker that is idle.
//! \returns nothing if there is no candidate.
std::optional<AffinityResult>
chooseByAffinity(std::span<const AffinityCandidate> Candidates,
                 std::uint64_t Object, Duration TypicalLatency,
                 const AffinityPolicy &Policy);

//! Returns the costs by which chooseByAffinity() compares the candidates, in
//! their order.
std::vector<AffinityCost>
affinityCosts(std::span<const AffinityCandidate> Candidates,
              std::uint64_t Object, Duration TypicalLatency,
              const AffinityPolicy &Policy);

} // namespace masticgap::coordination
