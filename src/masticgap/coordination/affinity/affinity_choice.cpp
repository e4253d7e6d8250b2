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

namespace {

//! Costs of candidates for one object.
class CostModel {
public:
  CostModel(std::span<const AffinityCandidate> Candidates, std::uint64_t Object,
            Duration TypicalLatency, const AffinityPolicy &Policy);

  //! Returns the weight of a candidate in the object's rendezvous order.
  std::uint64_t weight(std::size_t Index) const { return Weights[Index]; }
  AffinityCost cost(std::size_t Index) const;

private:
  bool hasTakenOver(const AffinityCandidate &Candidate) const {
    return isTakenOver(Candidate.WorkerHash, Object, Candidate.TakenOverShare);
  }
  std::size_t rank(std::size_t Index) const;

  std::span<const AffinityCandidate> Candidates;
  std::uint64_t Object;
  double TypicalNs;
  const AffinityPolicy &Policy;
  std::vector<std::uint64_t> Weights;
  std::vector<std::uint64_t> First; //!< Highest weights, in descending order.
};

CostModel::CostModel(std::span<const AffinityCandidate> Candidates,
                     std::uint64_t Object, Duration TypicalLatency,
                     const AffinityPolicy &Policy)
    : Candidates(Candidates), Object(Object),
      TypicalNs(static_cast<double>(TypicalLatency.count())), Policy(Policy),
      Weights(Candidates.size()) {
  // Ranks beyond this one are not distinguished. The rank of a worker is the
  // number of workers that precede it in the object's order and have taken over
  // the object, so the first ones are sufficient and nothing is sorted.
  const std::size_t LastRank =
      std::max(Policy.PreferredWorkers, Policy.RankedWorkers);
  First.reserve(LastRank + 1);
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    Weights[I] = mixHashes(Candidates[I].WorkerHash, Object);
    if ((First.size() == LastRank &&
         (First.empty() || Weights[I] <= First.back())) ||
        !hasTakenOver(Candidates[I]))
      continue;
    First.insert(std::ranges::lower_bound(First, Weights[I], std::greater<>()),
                 Weights[I]);
    if (First.size() > LastRank)
      First.pop_back();
  }
}

std::size_t CostModel::rank(std::size_t Index) const {
  // A worker that has not taken over the object does not displace the others
  // in its order, but is as good as the next one if they are busy.
  std::size_t Rank = 0;
  while (Rank < First.size() && First[Rank] > Weights[Index])
    ++Rank;
  if (!hasTakenOver(Candidates[Index]))
    Rank += Policy.PreferredWorkers;
  return Rank;
}

AffinityCost CostModel::cost(std::size_t Index) const {
  const AffinityCandidate &Candidate = Candidates[Index];
  AffinityCost Result;
  Result.Rank = rank(Index);
  const double Slots = std::max(1U, Candidate.Slots);
  // The k-th request beyond the slots waits for k completions.
  const double Waiting = std::max(0.0, Candidate.Occupancy + 1 - Slots);
  Result.QueueWait = Waiting / Slots * TypicalNs * Candidate.RelativeLatency;
  Result.Execution = TypicalNs * Candidate.RelativeLatency;
  if (Result.Rank >= Policy.PreferredWorkers)
    Result.NotPreferred = TypicalNs * Policy.NotPreferredPenalty;
  if (Candidate.Cold)
    Result.Cold = TypicalNs * Policy.ColdPenalty;
  Result.RoundTrip = static_cast<double>(Candidate.RoundTrip.count());
  // A worker with more slots in use is more likely to be overloaded later.
  Result.Placement =
      TypicalNs *
      (Policy.RankPenalty *
           static_cast<double>(std::min(Result.Rank, Policy.RankedWorkers)) +
       0.1 * Candidate.Occupancy / Slots);
  Result.Failures = TypicalNs * Policy.FailurePenalty * Candidate.FailureShare;
  return Result;
}

} // namespace

std::optional<AffinityResult>
chooseByAffinity(std::span<const AffinityCandidate> Candidates,
                 std::uint64_t Object, Duration TypicalLatency,
                 const AffinityPolicy &Policy) {
  const CostModel Model(Candidates, Object, TypicalLatency, Policy);
  std::optional<AffinityResult> Best;
  double BestCost = 0;
  std::uint64_t BestWeight = 0;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    const AffinityCost Cost = Model.cost(I);
    const double Total = Cost.total();
    // Equally good workers are used in the object's order.
    if (!Best || Total < BestCost ||
        (Total == BestCost && Model.weight(I) > BestWeight)) {
      BestCost = Total;
      BestWeight = Model.weight(I);
      Best = AffinityResult{
          I, Duration(static_cast<Duration::rep>(Cost.QueueWait)),
          Duration(static_cast<Duration::rep>(Cost.latency())), Cost.Rank};
    }
  }
  return Best;
}

std::vector<AffinityCost>
affinityCosts(std::span<const AffinityCandidate> Candidates,
              std::uint64_t Object, Duration TypicalLatency,
              const AffinityPolicy &Policy) {
  const CostModel Model(Candidates, Object, TypicalLatency, Policy);
  std::vector<AffinityCost> Costs;
  Costs.reserve(Candidates.size());
  for (std::size_t I = 0; I < Candidates.size(); ++I)
    Costs.push_back(Model.cost(I));
  return Costs;
}

} // namespace masticgap::coordination
