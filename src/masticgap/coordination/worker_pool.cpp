#include "masticgap/coordination/worker_pool.hpp"

#include "masticgap/coordination/internal/slot_owner.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination {

namespace {

//! Age at which a report says nothing any more.
constexpr Duration ReportLifetime = std::chrono::seconds(5);
//! Time over which a new incarnation gets up to its full share of work.
constexpr Duration RampTime = std::chrono::seconds(10);
//! Share of work that a new incarnation gets at once.
constexpr double RampStartShare = 0.1;
//! Share of a service's workers that may be ejected at the same time.
constexpr unsigned EjectableDivisor = 3;
//! Weight of the newest attempt in the moving average of the latency.
constexpr double LatencyWeight = 0.1;
//! Pause after a refusal when no latency is known yet.
constexpr Duration DefaultHold = std::chrono::milliseconds(5);
constexpr Duration ShortestHold = std::chrono::milliseconds(1);
constexpr Duration LongestHold = std::chrono::milliseconds(100);

double share(Duration Part, Duration Whole) {
  return static_cast<double>(Part.count()) / static_cast<double>(Whole.count());
}

//! Moves \p Average towards \p Value; the first value is taken as it is.
void average(double &Average, double Value) {
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
    auto [Found, IsNew] = Records.try_emplace(W.Id);
    Record &R = Found->second;
    R.Listed = true;
    if (!IsNew && W.Run < R.Worker.Run)
      continue; // The list lags behind what is known already.
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
  const auto Found = Records.find(Worker);
  if (Found == Records.end())
    return;
  Record &R = Found->second;
  R.Report = Load;
  R.ReportedAt = Now;
  R.StartedSince = 0;
  R.FinishedSince = 0;
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
  const auto Left = Leaving.find(R.Worker.Id);
  return !R.Listed || (Left != Leaving.end() && R.Worker.Run <= Left->second) ||
         AvoidedWorkers.contains(R.Worker.Id) ||
         AvoidedDomains.contains(R.Worker.Domain);
}

bool WorkerPool::mayTake(const Record &R, Instant Now) const {
  return !takesNoWork(R) && !R.EjectionState.isActive(Now);
}

bool WorkerPool::isFull(const Record &R, Instant Now) const {
  return R.InFlight >= R.Worker.Slots || Now < R.FullUntil;
}

double WorkerPool::estimatedInUse(const Record &R, Instant Now) const {
  const double Own = R.InFlight;
  if (!R.ReportedAt || Now - *R.ReportedAt >= ReportLifetime)
    return Own;
  const double Trust = 1 - share(Now - *R.ReportedAt, ReportLifetime);
  const double Reported =
      static_cast<double>(R.Report.InUse) + R.StartedSince - R.FinishedSince;
  return std::max(Own, Trust * Reported + (1 - Trust) * Own);
}

double WorkerPool::rampShare(const Record &R, Instant Now) const {
  if (!R.RampStart || Now - *R.RampStart >= RampTime)
    return 1;
  const double Done = share(Now - *R.RampStart, RampTime);
  return RampStartShare + (1 - RampStartShare) * Done;
}

double WorkerPool::score(const Record &R, Instant Now) const {
  const double Use =
      (estimatedInUse(R, Now) + 1) / std::max(1U, R.Worker.Slots);
  if (R.LatencyNs == 0 || PoolLatencyNs == 0)
    return Use;
  return Use * std::max(1.0, R.LatencyNs / PoolLatencyNs);
}

std::vector<WorkerPool::Record *>
WorkerPool::takingWork(const ChoiceRequest &Request, Instant Now) {
  std::vector<Record *> Result;
  for (auto &[Id, R] : Records) {
    const bool Tried =
        std::ranges::find(Request.Tried, Id) != Request.Tried.end();
    if (R.Worker.Region == Request.Region && !Tried && mayTake(R, Now))
      Result.push_back(&R);
  }
  if (!Request.AvoidDomain)
    return Result;
  std::vector<Record *> Elsewhere;
  for (Record *R : Result)
    if (R->Worker.Domain != *Request.AvoidDomain)
      Elsewhere.push_back(R);
  return Elsewhere.empty() ? Result : Elsewhere;
}

std::vector<WorkerPool::Record *>
WorkerPool::dropRamping(const std::vector<Record *> &From, Instant Now) {
  // Each host skips a ramping worker with the same probability, so that the
  // ramp holds for the sum over all hosts.
  std::vector<Record *> Kept;
  std::uniform_real_distribution<double> Draw(0, 1);
  for (Record *R : From) {
    const double Share = rampShare(*R, Now);
    if (Share >= 1 || Draw(Random) < Share)
      Kept.push_back(R);
  }
  return Kept.empty() ? From : Kept;
}

WorkerChoice WorkerPool::choose(const ChoiceRequest &Request, Instant Now) {
  const std::vector<Record *> Taking = takingWork(Request, Now);
  if (Taking.empty())
    return NoWorkers{};
  std::vector<Record *> Free;
  for (Record *R : Taking)
    if (!isFull(*R, Now))
      Free.push_back(R);
  if (Free.empty())
    return AllWorkersFull{shortestHold(Taking, Now)};
  return WorkerChosen{pick(dropRamping(Free, Now), Now)->Worker};
}

WorkerPool::Record *WorkerPool::pick(std::span<Record *const> From,
                                     Instant Now) {
  struct Visitor {
    WorkerPool &Pool;
    std::span<Record *const> From;
    Instant Now;

    Record *operator()(const UniformChoice &) const {
      std::uniform_int_distribution<std::size_t> Draw(0, From.size() - 1);
      return From[Draw(Pool.Random)];
    }
    Record *operator()(const TwoChoices &) const {
      return Pool.pickTwo(From, Now);
    }
    Record *operator()(const LeastUsed &) const {
      return Pool.pickLeast(From, Now);
    }
    Record *operator()(const SlotSubset &) const {
      Record *Own = pickOwn(From);
      return Own ? Own : Pool.pickTwo(From, Now);
    }
  };
  return std::visit(Visitor{*this, From, Now}, Policy);
}

WorkerPool::Record *WorkerPool::pickTwo(std::span<Record *const> From,
                                        Instant Now) {
  std::uniform_int_distribution<std::size_t> Draw(0, From.size() - 1);
  Record *First = From[Draw(Random)];
  Record *Second = From[Draw(Random)];
  return score(*Second, Now) < score(*First, Now) ? Second : First;
}

WorkerPool::Record *WorkerPool::pickLeast(std::span<Record *const> From,
                                          Instant Now) {
  Record *Best = nullptr;
  double BestScore = 0;
  unsigned Ties = 0;
  for (Record *R : From) {
    const double S = score(*R, Now);
    if (Best && S > BestScore)
      continue;
    Ties = Best && S == BestScore ? Ties + 1 : 1;
    std::uniform_int_distribution<unsigned> Draw(1, Ties);
    if (Draw(Random) != 1)
      continue;
    Best = R;
    BestScore = S;
  }
  return Best;
}

WorkerPool::Record *WorkerPool::pickOwn(std::span<Record *const> From) {
  const auto Found = std::ranges::find_if(
      From, [](const Record *R) { return R->InFlight < R->OwnedSlots; });
  return Found == From.end() ? nullptr : *Found;
}

void WorkerPool::setPolicy(ChoicePolicy NewPolicy) {
  Policy = std::move(NewPolicy);
  assignSlots();
}

void WorkerPool::assignSlots() {
  // Hashing costs more than a choice, so it runs only when the hosts or the
  // workers change.
  const auto *Subset = std::get_if<SlotSubset>(&Policy);
  for (auto &[Id, R] : Records) {
    const bool IsLocal = Subset && R.Worker.Region == Subset->Region;
    R.OwnedSlots =
        IsLocal ? internal::ownedSlots(R.Worker, Subset->Self, Subset->Sharers)
                : 0;
  }
}

void WorkerPool::started(const WorkerId &Worker) {
  const auto Found = Records.find(Worker);
  if (Found == Records.end())
    return;
  ++Found->second.InFlight;
  ++Found->second.StartedSince;
}

void WorkerPool::finished(const WorkerId &Worker, const AttemptResult &Result,
                          Instant Now) {
  const auto Found = Records.find(Worker);
  if (Found == Records.end())
    return;
  Record &R = Found->second;
  if (R.InFlight > 0)
    --R.InFlight;
  ++R.FinishedSince;
  if (Result.End == AttemptEnd::Answered) {
    const auto Latency = static_cast<double>(Result.Latency.count());
    average(R.LatencyNs, Latency);
    average(PoolLatencyNs, Latency);
  }
  if (Result.End == AttemptEnd::RefusedFull) {
    // A slot becomes free after about the latency divided by the slots.
    const Duration Expected(
        static_cast<std::int64_t>(R.LatencyNs / std::max(1U, R.Worker.Slots)));
    R.FullUntil = Now + (R.LatencyNs == 0
                             ? DefaultHold
                             : std::clamp(Expected, ShortestHold, LongestHold));
  }
  if (Result.End == AttemptEnd::RefusedLeaving)
    leaving(Worker, R.Worker.Run);
  R.EjectionState.record(Result.End);
  if (R.EjectionState.isDue() && mayEject(Now))
    R.EjectionState.begin(Now);
}

bool WorkerPool::mayEject(Instant Now) const {
  // A fault of this host or of its links looks like a fault of every worker;
  // the limit keeps such a measurement from emptying the service.
  std::size_t Ejected = 0;
  for (const auto &[Id, R] : Records)
    Ejected += R.EjectionState.isActive(Now) ? 1 : 0;
  return (Ejected + 1) * EjectableDivisor <= Records.size();
}

Duration WorkerPool::shortestHold(std::span<Record *const> From, Instant Now) {
  Duration Shortest = LongestHold;
  for (const Record *R : From)
    Shortest =
        std::min(Shortest, R->InFlight >= R->Worker.Slots ? LongestHold
                                                          : R->FullUntil - Now);
  return std::max(Shortest, ShortestHold);
}

RegionLoad WorkerPool::regionLoad(const RegionName &Region, Instant Now) const {
  RegionLoad Load;
  unsigned FreshSlots = 0;
  for (const auto &[Id, R] : Records) {
    // The ejection limit keeps dead workers in the choice, not in the capacity.
    if (R.Worker.Region != Region || !mayTake(R, Now) ||
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
