#include "masticgap/coordination/worker_pool.hpp"

#include "masticgap/coordination/internal/slot_owner.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination {

namespace {

//! Age from which a report is ignored.
constexpr Duration ReportLifetime = std::chrono::seconds(5);
//! Time over which a new incarnation is ramped up to its full share of
//! requests.
constexpr Duration RampTime = std::chrono::seconds(10);
//! Share of requests at the start of the ramp.
constexpr double RampStartShare = 0.1;
//! At most one in this many of a service's workers may be ejected at once.
constexpr unsigned EjectableDivisor = 3;
//! Weight of the newest attempt in the moving average of the latency.
constexpr double LatencyWeight = 0.1;
//! Time for which a worker is treated as full after a refusal while no latency
//! is known.
constexpr Duration DefaultFullTime = std::chrono::milliseconds(5);
//! Limits of that time once the latency is known.
constexpr Duration MinFullTime = std::chrono::milliseconds(1);
constexpr Duration MaxFullTime = std::chrono::milliseconds(100);

double share(Duration Part, Duration Total) {
  return static_cast<double>(Part.count()) / static_cast<double>(Total.count());
}

//! Updates a moving average; the first value is adopted unchanged.
void updateAverage(double &Average, double Value) {
  Average = Average == 0 ? Value : Average + LatencyWeight * (Value - Average);
}

} // namespace

WorkerPool::WorkerPool(ChoicePolicy Policy, std::uint64_t Seed)
    : Policy(std::move(Policy)), Random(Seed) {}

void WorkerPool::update(std::span<const WorkerDescriptor> Workers,
                        Instant Now) {
  for (auto &[Id, R] : Records)
    R.Listed = false;
  for (const WorkerDescriptor &W : Workers) {
    if (W.Leaving)
      leaving(W.Id, W.Run);
    auto [WorkerIt, IsNew] = Records.try_emplace(W.Id);
    Record &R = WorkerIt->second;
    R.Listed = true;
    if (!IsNew && W.Run < R.Worker.Run)
      continue; // The list lags behind what is already known.
    const bool NewRun = IsNew || R.Worker.Run < W.Run;
    R.Worker = W;
    if (!NewRun)
      continue;
    R.Report = {};
    R.ReportedAt.reset();
    R.EjectionState = {};
    R.FullUntil = {};
    if (!FirstList)
      R.RampStart = Now;
  }
  FirstList = FirstList && Workers.empty();
  std::erase_if(Records, [](const auto &Entry) {
    return !Entry.second.Listed && Entry.second.InFlight == 0;
  });
  assignSlots();
}

void WorkerPool::report(const WorkerId &Worker, LoadReport Load, Instant Now) {
  const auto WorkerIt = Records.find(Worker);
  if (WorkerIt == Records.end())
    return;
  Record &R = WorkerIt->second;
  R.Report = Load;
  R.ReportedAt = Now;
  R.StartedSinceReport = 0;
  R.FinishedSinceReport = 0;
  R.EjectionState.recordProbe(Now);
}

void WorkerPool::leaving(const WorkerId &Worker, Incarnation Run) {
  Incarnation &Newest = Leaving[Worker];
  Newest = std::max(Newest, Run);
}

void WorkerPool::avoid(std::set<WorkerId> Workers,
                       std::set<FailureDomainName> Domains) {
  AvoidedWorkers = std::move(Workers);
  AvoidedDomains = std::move(Domains);
}

bool WorkerPool::takesNoWork(const Record &R) const {
  const auto LeavingIt = Leaving.find(R.Worker.Id);
  return !R.Listed ||
         (LeavingIt != Leaving.end() && R.Worker.Run <= LeavingIt->second) ||
         AvoidedWorkers.contains(R.Worker.Id) ||
         AvoidedDomains.contains(R.Worker.Domain);
}

bool WorkerPool::isEligible(const Record &R, Instant Now) const {
  return !takesNoWork(R) && !R.EjectionState.isActive(Now);
}

bool WorkerPool::isFull(const Record &R, Instant Now) const {
  return R.InFlight >= R.Worker.Slots || Now < R.FullUntil;
}

double WorkerPool::estimatedInUse(const Record &R, Instant Now) const {
  const double OwnInFlight = R.InFlight;
  if (!R.ReportedAt || Now - *R.ReportedAt >= ReportLifetime)
    return OwnInFlight;
  const double ReportWeight = 1 - share(Now - *R.ReportedAt, ReportLifetime);
  const double Reported = static_cast<double>(R.Report.InUse) +
                          R.StartedSinceReport - R.FinishedSinceReport;
  return std::max(OwnInFlight,
                  ReportWeight * Reported + (1 - ReportWeight) * OwnInFlight);
}

double WorkerPool::rampShare(const Record &R, Instant Now) const {
  if (!R.RampStart || Now - *R.RampStart >= RampTime)
    return 1;
  const double Progress = share(Now - *R.RampStart, RampTime);
  return RampStartShare + (1 - RampStartShare) * Progress;
}

double WorkerPool::score(const Record &R, Instant Now) const {
  const double Use =
      (estimatedInUse(R, Now) + 1) / std::max(1U, R.Worker.Slots);
  if (R.LatencyNs == 0 || PoolLatencyNs == 0)
    return Use;
  return Use * std::max(1.0, R.LatencyNs / PoolLatencyNs);
}

std::vector<WorkerPool::Record *>
WorkerPool::eligibleWorkers(const ChoiceRequest &Request, Instant Now) {
  std::vector<Record *> Result;
  for (auto &[Id, R] : Records) {
    const bool Tried =
        std::ranges::find(Request.Tried, Id) != Request.Tried.end();
    if (R.Worker.Region == Request.Region && !Tried && isEligible(R, Now))
      Result.push_back(&R);
  }
  if (!Request.AvoidDomain)
    return Result;
  std::vector<Record *> OtherDomains;
  for (Record *R : Result)
    if (R->Worker.Domain != *Request.AvoidDomain)
      OtherDomains.push_back(R);
  return OtherDomains.empty() ? Result : OtherDomains;
}

std::vector<WorkerPool::Record *>
WorkerPool::thinOutRamping(const std::vector<Record *> &Candidates,
                           Instant Now) {
  // Every host skips a ramping worker with the same probability, so that the
  // ramp holds for the sum over all hosts.
  std::vector<Record *> Kept;
  std::uniform_real_distribution<double> Draw(0, 1);
  for (Record *R : Candidates) {
    const double Share = rampShare(*R, Now);
    if (Share >= 1 || Draw(Random) < Share)
      Kept.push_back(R);
  }
  return Kept.empty() ? Candidates : Kept;
}

WorkerChoice WorkerPool::choose(const ChoiceRequest &Request, Instant Now) {
  const std::vector<Record *> Eligible = eligibleWorkers(Request, Now);
  if (Eligible.empty())
    return NoWorkers{};
  std::vector<Record *> Free;
  for (Record *R : Eligible)
    if (!isFull(*R, Now))
      Free.push_back(R);
  if (Free.empty())
    return AllWorkersFull{shortestFullTime(Eligible, Now)};
  return WorkerChosen{pick(thinOutRamping(Free, Now), Now)->Worker};
}

WorkerPool::Record *WorkerPool::pick(std::span<Record *const> Candidates,
                                     Instant Now) {
  struct Visitor {
    WorkerPool &Pool;
    std::span<Record *const> Candidates;
    Instant Now;

    Record *operator()(const UniformChoice &) const {
      std::uniform_int_distribution<std::size_t> Draw(0, Candidates.size() - 1);
      return Candidates[Draw(Pool.Random)];
    }
    Record *operator()(const TwoChoices &) const {
      return Pool.pickTwo(Candidates, Now);
    }
    Record *operator()(const LeastUsed &) const {
      return Pool.pickLeast(Candidates, Now);
    }
    Record *operator()(const SlotSubset &) const {
      Record *Owned = pickOwned(Candidates);
      return Owned ? Owned : Pool.pickTwo(Candidates, Now);
    }
  };
  return std::visit(Visitor{*this, Candidates, Now}, Policy);
}

WorkerPool::Record *WorkerPool::pickTwo(std::span<Record *const> Candidates,
                                        Instant Now) {
  std::uniform_int_distribution<std::size_t> Draw(0, Candidates.size() - 1);
  Record *First = Candidates[Draw(Random)];
  Record *Second = Candidates[Draw(Random)];
  return score(*Second, Now) < score(*First, Now) ? Second : First;
}

WorkerPool::Record *WorkerPool::pickLeast(std::span<Record *const> Candidates,
                                          Instant Now) {
  Record *Best = nullptr;
  double BestScore = 0;
  unsigned Ties = 0;
  for (Record *R : Candidates) {
    const double WorkerScore = score(*R, Now);
    if (Best && WorkerScore > BestScore)
      continue;
    Ties = Best && WorkerScore == BestScore ? Ties + 1 : 1;
    std::uniform_int_distribution<unsigned> Draw(1, Ties);
    if (Draw(Random) != 1)
      continue;
    Best = R;
    BestScore = WorkerScore;
  }
  return Best;
}

WorkerPool::Record *WorkerPool::pickOwned(std::span<Record *const> Candidates) {
  const auto Owned = std::ranges::find_if(
      Candidates, [](const Record *R) { return R->InFlight < R->OwnedSlots; });
  return Owned == Candidates.end() ? nullptr : *Owned;
}

void WorkerPool::setPolicy(ChoicePolicy NewPolicy) {
  Policy = std::move(NewPolicy);
  assignSlots();
}

void WorkerPool::assignSlots() {
  // Hashing is more expensive than a choice, so it is done only when the hosts
  // or the workers change.
  const auto *Subset = std::get_if<SlotSubset>(&Policy);
  for (auto &[Id, R] : Records) {
    const bool IsLocal = Subset && R.Worker.Region == Subset->Region;
    R.OwnedSlots = IsLocal ? internal::ownedSlots(R.Worker, Subset->Self,
                                                  Subset->LiveHosts)
                           : 0;
  }
}

void WorkerPool::started(const WorkerId &Worker) {
  const auto WorkerIt = Records.find(Worker);
  if (WorkerIt == Records.end())
    return;
  ++WorkerIt->second.InFlight;
  ++WorkerIt->second.StartedSinceReport;
}

void WorkerPool::finished(const WorkerId &Worker, const AttemptResult &Result,
                          Instant Now) {
  const auto WorkerIt = Records.find(Worker);
  if (WorkerIt == Records.end())
    return;
  Record &R = WorkerIt->second;
  if (R.InFlight > 0)
    --R.InFlight;
  ++R.FinishedSinceReport;
  if (Result.End == AttemptEnd::Answered) {
    const auto Latency = static_cast<double>(Result.Latency.count());
    updateAverage(R.LatencyNs, Latency);
    updateAverage(PoolLatencyNs, Latency);
  }
  if (Result.End == AttemptEnd::RefusedFull) {
    // A slot becomes free after about the latency divided by the slots.
    const Duration Expected(
        static_cast<std::int64_t>(R.LatencyNs / std::max(1U, R.Worker.Slots)));
    R.FullUntil = Now + (R.LatencyNs == 0
                             ? DefaultFullTime
                             : std::clamp(Expected, MinFullTime, MaxFullTime));
  }
  if (Result.End == AttemptEnd::RefusedLeaving)
    leaving(Worker, R.Worker.Run);
  R.EjectionState.record(Result.End);
  if (R.EjectionState.isDue() && mayEject(Now))
    R.EjectionState.begin(Now);
}

bool WorkerPool::mayEject(Instant Now) const {
  // A fault of this host or of its links looks like a fault of every worker.
  // The limit prevents such a fault from ejecting all workers of the service.
  std::size_t Ejected = 0;
  for (const auto &[Id, R] : Records)
    Ejected += R.EjectionState.isActive(Now) ? 1 : 0;
  return (Ejected + 1) * EjectableDivisor <= Records.size();
}

Duration WorkerPool::shortestFullTime(std::span<Record *const> Candidates,
                                      Instant Now) {
  Duration Shortest = MaxFullTime;
  for (const Record *R : Candidates)
    Shortest =
        std::min(Shortest, R->InFlight >= R->Worker.Slots ? MaxFullTime
                                                          : R->FullUntil - Now);
  return std::max(Shortest, MinFullTime);
}

RegionLoad WorkerPool::regionLoad(const RegionName &Region, Instant Now) const {
  RegionLoad Load;
  unsigned FreshSlots = 0;
  for (const auto &[Id, R] : Records) {
    // The ejection limit may keep dead workers eligible, but they do not count
    // as capacity.
    if (R.Worker.Region != Region || !isEligible(R, Now) ||
        R.EjectionState.isUnproved())
      continue;
    ++Load.Workers;
    Load.Slots += R.Worker.Slots;
    Load.InUse += std::min<double>(estimatedInUse(R, Now), R.Worker.Slots);
    if (R.ReportedAt && Now - *R.ReportedAt < ReportLifetime)
      FreshSlots += R.Worker.Slots;
  }
  if (Load.Slots > 0)
    Load.FreshShare = static_cast<double>(FreshSlots) / Load.Slots;
  return Load;
}

std::vector<WorkerPool::WorkerState> WorkerPool::states(Instant Now) const {
  std::vector<WorkerState> Result;
  for (const auto &[Id, R] : Records)
    Result.push_back({R.Worker, R.InFlight,
                      estimatedInUse(R, Now) / std::max(1U, R.Worker.Slots),
                      R.EjectionState.isActive(Now), takesNoWork(R)});
  return Result;
}

} // namespace masticgap::coordination
