#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include "masticgap/coordination/joining/join_schedule.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <vector>

namespace masticgap::coordination {

std::uint64_t workerHash(const WorkerId &Id) {
  return XXH3_64bits(Id.value().data(), Id.value().size());
}

std::uint64_t objectHash(const ServiceName &Service, std::string_view Object) {
  const std::uint64_t ServiceHash =
      XXH3_64bits(Service.value().data(), Service.value().size());
  return XXH3_64bits_withSeed(Object.data(), Object.size(), ServiceHash);
}

std::uint64_t mixHashes(std::uint64_t Left, std::uint64_t Right) {
  const std::array<std::uint64_t, 2> Both{Left, Right};
  return XXH3_64bits(Both.data(), sizeof(Both));
}

std::optional<AffinityResult>
chooseByAffinity(std::span<const AffinityCandidate> Candidates,
                 std::uint64_t Object, Duration TypicalLatency,
                 const AffinityPolicy &Policy) {
  // Ranks beyond this one are not distinguished. The rank of a worker is the
  // number of workers that precede it in the object's order and have taken over
  // the object, so the first ones are sufficient and nothing is sorted.
  const std::size_t LastRank =
      std::max(Policy.PreferredWorkers, Policy.RankedWorkers);
  std::vector<std::uint64_t> Weights(Candidates.size());
  std::vector<std::uint64_t> First; // Highest weights, in descending order.
  First.reserve(LastRank + 1);
  const auto IsTakenOver = [&](const AffinityCandidate &Candidate) {
    return isTakenOver(Candidate.WorkerHash, Object, Candidate.TakenOverShare);
  };
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    Weights[I] = mixHashes(Candidates[I].WorkerHash, Object);
    if ((First.size() == LastRank &&
         (First.empty() || Weights[I] <= First.back())) ||
        !IsTakenOver(Candidates[I]))
      continue;
    First.insert(std::ranges::lower_bound(First, Weights[I], std::greater<>()),
                 Weights[I]);
    if (First.size() > LastRank)
      First.pop_back();
  }

  std::optional<AffinityResult> Best;
  double BestCost = 0;
  std::uint64_t BestWeight = 0;
  const double TypicalNs = static_cast<double>(TypicalLatency.count());
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const AffinityCandidate &Candidate = Candidates[I];
    // A worker that has not taken over the object does not displace the others
    // in its order, but is as good as the next one if they are busy.
    std::size_t Rank = 0;
    while (Rank < First.size() && First[Rank] > Weights[I])
      ++Rank;
    if (!IsTakenOver(Candidate))
      Rank += Policy.PreferredWorkers;
    const double Slots = std::max(1U, Candidate.Slots);
    // The k-th request beyond the slots waits for k completions.
    const double Waiting = std::max(0.0, Candidate.Occupancy + 1 - Slots);
    const double WaitNs =
        Waiting / Slots * TypicalNs * Candidate.RelativeLatency;
    double ExecutionNs = TypicalNs * Candidate.RelativeLatency;
    if (Rank >= Policy.PreferredWorkers)
      ExecutionNs += TypicalNs * Policy.NotPreferredPenalty;
    if (Candidate.Cold)
      ExecutionNs += TypicalNs * Policy.ColdPenalty;
    const double LatencyNs =
        WaitNs + ExecutionNs + static_cast<double>(Candidate.RoundTrip.count());
    // A worker with more slots in use is more likely to be overloaded later.
    const double PlacementPenalty =
        TypicalNs * (Policy.RankPenalty * static_cast<double>(std::min(
                                              Rank, Policy.RankedWorkers)) +
                     0.1 * Candidate.Occupancy / Slots);
    const double Cost =
        LatencyNs + PlacementPenalty +
        TypicalNs * Policy.FailurePenalty * Candidate.FailureShare;
    // Equally good workers are used in the object's order.
    if (!Best || Cost < BestCost ||
        (Cost == BestCost && Weights[I] > BestWeight)) {
      BestCost = Cost;
      BestWeight = Weights[I];
      Best =
          AffinityResult{I, Duration(static_cast<Duration::rep>(WaitNs)),
                         Duration(static_cast<Duration::rep>(LatencyNs)), Rank};
    }
  }
  return Best;
}

} // namespace masticgap::coordination
