#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include "masticgap/coordination/joining/join_schedule.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>
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
  std::vector<std::pair<std::uint64_t, std::size_t>> Order;
  Order.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Order.emplace_back(mixHashes(Candidates[I].WorkerHash, Object), I);
  std::ranges::sort(Order, std::greater<>());

  std::optional<AffinityResult> Best;
  double BestCost = 0;
  const double TypicalNs = static_cast<double>(TypicalLatency.count());
  std::size_t Joining = 0; // Workers so far that have not taken it over.
  for (std::size_t Position = 0; Position < Order.size(); ++Position) {
    const AffinityCandidate &Candidate = Candidates[Order[Position].second];
    // A worker that has not taken over the object does not displace the others
    // in its order, but is as good as the next one if they are busy.
    const bool TakenOver =
        isTakenOver(Candidate.WorkerHash, Object, Candidate.TakenOverShare);
    const std::size_t Rank =
        Position - Joining + (TakenOver ? 0 : Policy.PreferredWorkers);
    if (!TakenOver)
      ++Joining;
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
    if (!Best || Cost < BestCost) {
      BestCost = Cost;
      Best = AffinityResult{
          Order[Position].second, Duration(static_cast<Duration::rep>(WaitNs)),
          Duration(static_cast<Duration::rep>(LatencyNs)), Rank};
    }
  }
  return Best;
}

} // namespace masticgap::coordination
