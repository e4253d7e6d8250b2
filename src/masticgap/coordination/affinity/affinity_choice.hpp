#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace masticgap::coordination {

//! One worker that may get the request.
struct AffinityCandidate {
  std::uint64_t WorkerHash = 0; //!< workerHash() of its id.
  unsigned Slots = 1;
  double Occupancy = 0; //!< Requests there, running and waiting.
  double RelativeLatency =
      1;                   //!< Latency relative to the service's typical one.
  double FailureShare = 0; //!< Of recent requests.
  Duration RoundTrip{0};   //!< To the worker and back.
  bool Cold = false;       //!< Runs slowly for a while after its start.
};

//! Weights of the choice, in units of the service's typical latency.
struct AffinityPolicy {
  //! Workers that keep one object warm. Several of them share the load of a
  //! popular object; each one more costs memory of the workers.
  std::size_t PreferredWorkers = 1;
  //! A worker that has not seen the object lately takes about three times as
  //! long, two typical latencies more, and forgets another object for it.
  double NotPreferredPenalty = 2.5;
  //! Each worker further down the object's order. Hosts that pass over a busy
  //! home choose the same next worker, which then has handled the object too.
  double RankPenalty = 1.0;
  //! Workers that are told apart by their rank; beyond it load alone decides.
  std::size_t RankedWorkers = 6;
  double ColdPenalty = 2.0;
  double FailurePenalty = 6.0; //!< Times the share of failures.
};

//! The worker that is expected to answer first.
struct AffinityResult {
  std::size_t Index = 0;        //!< Into the candidates.
  Duration QueueWait{0};        //!< Expected time in its queue.
  Duration ExpectedLatency{0};  //!< Expected time until the answer.
  std::size_t AffinityRank = 0; //!< In the order of the object's homes.
};

//! Stable hash of a worker for rendezvous hashing.
std::uint64_t workerHash(const WorkerId &Id);
//! Stable hash of an object of a service.
std::uint64_t objectHash(const ServiceName &Service, std::string_view Object);
//! Mixes two hashes, evenly over all bits.
std::uint64_t mixHashes(std::uint64_t Left, std::uint64_t Right);

//! Chooses a worker by rendezvous hashing bounded by load: the object's homes
//! are the same on all hosts, and a home that is busy, slow, failing or cold is
//! passed over when another worker is expected to be faster. Answers the load
//! of objects that are requested again and again, on workers with few slots.
//! \param Typical latency of the service at a warm worker that is not busy.
//! \returns nothing when there is no candidate.
std::optional<AffinityResult>
chooseByAffinity(std::span<const AffinityCandidate> Candidates,
                 std::uint64_t Object, Duration Typical,
                 const AffinityPolicy &Policy);

} // namespace masticgap::coordination
