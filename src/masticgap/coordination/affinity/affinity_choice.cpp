#include "masticgap/coordination/affinity/affinity_choice.hpp"

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
  const std::uint64_t Of =
      XXH3_64bits(Service.value().data(), Service.value().size());
  return XXH3_64bits_withSeed(Object.data(), Object.size(), Of);
}

std::uint64_t mixHashes(std::uint64_t Left, std::uint64_t Right) {
  const std::array<std::uint64_t, 2> Both{Left, Right};
  return XXH3_64bits(Both.data(), sizeof(Both));
}

std::optional<AffinityResult>
chooseByAffinity(std::span<const AffinityCandidate> Candidates,
                 std::uint64_t Object, Duration Typical,
                 const AffinityPolicy &Policy) {
  std::vector<std::pair<std::uint64_t, std::size_t>> Order;
  Order.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Order.emplace_back(mixHashes(Candidates[I].WorkerHash, Object), I);
  std::ranges::sort(Order, std::greater<>());

  std::optional<AffinityResult> Best;
  double BestCost = 0;
  const double Unit = static_cast<double>(Typical.count());
  for (std::size_t Rank = 0; Rank < Order.size(); ++Rank) {
    const AffinityCandidate &Each = Candidates[Order[Rank].second];
    const double Slots = std::max(1U, Each.Slots);
    // The k-th request beyond the slots waits for k completions.
    const double Waiting = std::max(0.0, Each.Occupancy + 1 - Slots);
    const double Wait = Waiting / Slots * Unit * Each.RelativeLatency;
    double Work = Unit * Each.RelativeLatency;
    if (Rank >= Policy.PreferredWorkers)
      Work += Unit * Policy.NotPreferredPenalty;
    if (Each.Cold)
      Work += Unit * Policy.ColdPenalty;
    const double Time =
        Wait + Work + static_cast<double>(Each.RoundTrip.count());
    // Slots that are in use make a later overload of the worker more likely.
    const double Tie =
        Unit * (Policy.RankPenalty *
                    static_cast<double>(std::min(Rank, Policy.RankedWorkers)) +
                0.1 * Each.Occupancy / Slots);
    const double Cost =
        Time + Tie + Unit * Policy.FailurePenalty * Each.FailureShare;
    if (!Best || Cost < BestCost) {
      BestCost = Cost;
      Best = AffinityResult{Order[Rank].second,
                            Duration(static_cast<Duration::rep>(Wait)),
                            Duration(static_cast<Duration::rep>(Time)), Rank};
    }
  }
  return Best;
}

} // namespace masticgap::coordination
