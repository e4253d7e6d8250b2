#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Typical latency of a service that has not answered yet, as a share of
//! the request's latency objective.
constexpr double InitialLatencyShare = 0.5;
//! Step of the running median of latencies, relative to the median.
constexpr double MedianStep = 0.05;
//! Share of a service's requests that may leave a full region in addition to
//! the regional shares. Together with RegionShareLimits::StepPerSecond it stays
//! below the specified cap: at most 0.15 of a region's requests move from one
//! window of 2 s to the next.
constexpr double OverflowShare = 0.05;
//! Maximum overflow credit that can accumulate, in requests.
constexpr double MaxOverflowCredit = 2;
//! Time after which callers of a service without workers may retry; in the
//! meantime a registration or an answer of the store may arrive.
constexpr Duration NoWorkersRetryAfter = std::chrono::milliseconds(500);
//! Share of a worker's connection limit that all hosts together use.
constexpr double UsableConnectionShare = 0.8;
//! Time constant of the average rate of a service's requests.
constexpr std::chrono::duration<double> ArrivalDecayTime{5};

double decayedArrivals(double Count, Duration Age) {
  return Count *
         std::exp(-(std::chrono::duration<double>(Age) / ArrivalDecayTime));
}

} // namespace

//! State of one service.
struct Dispatcher::ServiceState {
  ServiceState(const DispatcherSettings &Settings, Instant Start)
      : Share(Settings.Region), Retries(Settings.Retries, Start) {}

  RegionShare Share;
  FleetRetryBudget Retries;
  Duration TypicalLatency{0};
  bool HasTypicalLatency = false;
  double OverflowCredit = 0; //!< Requests that may leave a full region.
  std::map<RegionName, JoinSchedule> Joining;
  //! Decaying number of requests that arrived here, as of ArrivalsAt.
  double Arrivals = 0;
  Instant ArrivalsAt;
};

//! Workers that are eligible for one request.
struct Dispatcher::CandidateSet {
  std::vector<const KnownWorker *> Workers;
  std::vector<AffinityCandidate> Candidates;
  Instant Now;
};

Dispatcher::Dispatcher(DispatcherSettings NewSettings, Instant Start)
    : Settings(std::move(NewSettings)), Start(Start),
      Directory(Settings.Directory),
      ColdLimiter(Settings.Self), Hosts{Settings.Self} {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfig(std::shared_ptr<const TrafficConfig> NewConfig) {
  Config = std::move(NewConfig);
}

void Dispatcher::setHosts(std::vector<HostId> All,
                          std::map<RegionName, unsigned> Live,
                          std::vector<HostId> LocalLive) {
  Hosts = std::move(All);
  LiveHosts = std::move(Live);
  LocalHosts = std::move(LocalLive);
}

const ServiceTraits *Dispatcher::traits(const ServiceName &Service) const {
  if (!Config)
    return nullptr;
  const auto TraitsIt = Config->Services.find(Service);
  return TraitsIt == Config->Services.end() ? nullptr : &TraitsIt->second;
}

Duration Dispatcher::coldStartDuration(const ServiceName &Service) const {
  const ServiceTraits *Traits = traits(Service);
  return Traits ? Traits->ColdStart : Duration(0);
}

Dispatcher::ServiceState &Dispatcher::serviceState(const ServiceName &Service,
                                                   Instant Now) {
  auto &State = ServiceStates[Service];
  if (!State) {
    State = std::make_unique<ServiceState>(Settings, Start);
    updateRegionShare(*State, Service, Now);
    updateJoining(*State, Service, Now);
  }
  return *State;
}

std::vector<WorkerId> Dispatcher::tick(Instant Now) {
  auto Dropped = Directory.expire(Now);
  for (auto &[Service, State] : ServiceStates) {
    updateRegionShare(*State, Service, Now);
    updateJoining(*State, Service, Now);
  }
  std::erase_if(Records, [&](const auto &Entry) {
    return Entry.second.inFlight() == 0 && !Directory.find(Entry.first);
  });
  return Dropped;
}

void Dispatcher::updateRegionShare(ServiceState &State,
                                   const ServiceName &Service, Instant Now) {
  std::map<RegionName, RegionCapacity> Capacities;
  for (const auto &[Domain, Region] : Settings.DomainRegions)
    Capacities[Region].Region = Region;
  for (const auto &[Id, WorkerState] : Directory.workers()) {
    if (WorkerState.Worker.Service != Service ||
        Directory.exclusion(WorkerState, Now) != WorkerExclusion::None)
      continue;
    const WorkerRecord &Record = Records[Id];
    if (Record.isEjected(Now))
      continue;
    RegionCapacity &Capacity = Capacities[WorkerState.Worker.Region];
    Capacity.Region = WorkerState.Worker.Region;
    Capacity.Slots += WorkerState.Worker.Slots;
    // Sum of requests; divided by the slots below.
    Capacity.Utilization += Record.occupancy(Now);
  }
  std::vector<RegionCapacity> CapacityList;
  for (auto &[Region, Capacity] : Capacities) {
    const auto LiveIt = LiveHosts.find(Region);
    Capacity.EntryHosts = LiveIt == LiveHosts.end() ? 0 : LiveIt->second;
    if (Capacity.Slots > 0)
      Capacity.Utilization /= Capacity.Slots;
    CapacityList.push_back(Capacity);
  }
  State.Share.update(CapacityList, Now);
}

void Dispatcher::updateJoining(ServiceState &State, const ServiceName &Service,
                               Instant Now) {
  std::map<RegionName, std::vector<Instant>> Groups;
  for (const auto &[Id, WorkerState] : Directory.workers())
    if (WorkerState.Worker.Service == Service &&
        Directory.exclusion(WorkerState, Now) == WorkerExclusion::None)
      Groups[WorkerState.Worker.Region].push_back(WorkerState.StartedAt);
  const double HostRate =
      decayedArrivals(State.Arrivals, Now - State.ArrivalsAt) /
      ArrivalDecayTime.count();
  for (auto &[Region, Schedule] : State.Joining)
    if (!Groups.contains(Region))
      Schedule.update({}, 0, Now);
  for (auto &[Region, Group] : Groups) {
    const auto LiveIt = LiveHosts.find(Region);
    const double RegionHosts =
        LiveIt == LiveHosts.end() ? 1 : std::max(1U, LiveIt->second);
    State.Joining[Region].update(std::move(Group), HostRate * RegionHosts, Now);
  }
}

void Dispatcher::recordArrival(const ServiceName &Service, Instant Now) {
  ServiceState &State = serviceState(Service, Now);
  State.Arrivals = decayedArrivals(State.Arrivals, Now - State.ArrivalsAt) + 1;
  State.ArrivalsAt = Now;
  State.Retries.recordRequest(Now);
  State.OverflowCredit =
      std::min(MaxOverflowCredit, State.OverflowCredit + OverflowShare);
}

bool Dispatcher::mayOverflow(ServiceState &State) {
  if (State.OverflowCredit < 1)
    return false;
  --State.OverflowCredit;
  return true;
}

Dispatcher::CandidateSet Dispatcher::candidates(const DispatchRequest &Request,
                                                Instant Now) {
  CandidateSet Result;
  Result.Now = Now;
  const ServiceTraits *Traits = traits(Request.Service);
  const ServiceState &State = serviceState(Request.Service, Now);
  for (const auto &[Id, WorkerState] : Directory.workers()) {
    if (WorkerState.Worker.Service != Request.Service ||
        Directory.exclusion(WorkerState, Now) != WorkerExclusion::None)
      continue;
    if (!Request.HomeRegions.empty() &&
        std::ranges::find(Request.HomeRegions, WorkerState.Worker.Region) ==
            Request.HomeRegions.end())
      continue;
    if (std::ranges::find(Request.Tried, Id) != Request.Tried.end())
      continue;
    const WorkerRecord &Record = Records[Id];
    if (Record.isEjected(Now))
      continue;
    AffinityCandidate Candidate;
    Candidate.WorkerHash = workerHash(Id);
    Candidate.Cold = Now < WorkerState.ColdUntil;
    if (Candidate.Cold &&
        !ColdLimiter.maySend(Candidate.WorkerHash,
                             Traits ? Traits->ColdRequestsPerSecond : 1, Hosts,
                             Now))
      continue;
    // A worker that was unreachable gets one request at a time until it
    // answers.
    if (Record.awaitsRecovery() && Record.inFlight() > 0)
      continue;
    Candidate.Slots = WorkerState.Worker.Slots;
    Candidate.Occupancy = Record.occupancy(Now);
    Candidate.RelativeLatency = Record.relativeLatency(Now);
    Candidate.FailureShare = Record.failureShare(Now);
    if (const auto JoiningIt = State.Joining.find(WorkerState.Worker.Region);
        JoiningIt != State.Joining.end())
      Candidate.TakenOverShare = JoiningIt->second.takenOverShare(
          {WorkerState.StartedAt, WorkerState.ColdUntil}, Now);
    if (WorkerState.Worker.Region != Settings.Region)
      Candidate.RoundTrip = Settings.CrossRegionRoundTrip;
    Result.Workers.push_back(&WorkerState);
    Result.Candidates.push_back(Candidate);
  }
  return Result;
}

WorkerPick Dispatcher::makePick(const CandidateSet &Available,
                                std::size_t Index) const {
  const KnownWorker &WorkerState = *Available.Workers[Index];
  WorkerPick Pick;
  Pick.Worker = WorkerState.Worker;
  Pick.Occupancy = Available.Candidates[Index].Occupancy;
  Pick.Cold = Available.Candidates[Index].Cold;
  const ServiceTraits *Traits = traits(WorkerState.Worker.Service);
  const double Limit = Traits ? Traits->ConnectionLimit : 1;
  // Each host may use at least two connections, even if that exceeds its share.
  Pick.Connections = static_cast<unsigned>(std::max(
      2.0, UsableConnectionShare * Limit /
               static_cast<double>(std::max<std::size_t>(1, Hosts.size()))));
  return Pick;
}

std::optional<WorkerPick> Dispatcher::bestCandidate(
    const CandidateSet &Available, const ServiceState &State,
    const RegionName *OnlyRegion, const DispatchRequest &Request) {
  std::vector<AffinityCandidate> Candidates;
  std::vector<std::size_t> Indices;
  for (std::size_t I = 0; I < Available.Workers.size(); ++I) {
    if (OnlyRegion && Available.Workers[I]->Worker.Region != *OnlyRegion)
      continue;
    Candidates.push_back(Available.Candidates[I]);
    Indices.push_back(I);
  }
  const Duration TypicalLatency =
      State.HasTypicalLatency
          ? State.TypicalLatency
          : std::chrono::duration_cast<Duration>(Request.LatencyObjective *
                                                 InitialLatencyShare);
  const auto Result = chooseByAffinity(Candidates, Request.Object,
                                       TypicalLatency, Settings.Affinity);
  if (!Result)
    return std::nullopt;
  WorkerPick Pick = makePick(Available, Indices[Result->Index]);
  Pick.QueueWait = Result->QueueWait;
  Pick.ExpectedLatency = Result->ExpectedLatency;
  Pick.AffinityRank = Result->AffinityRank;
  return Pick;
}

std::optional<WorkerPick> Dispatcher::pickTrial(const CandidateSet &Available,
                                                const ServiceState &State) {
  const auto JoiningIt = State.Joining.find(Settings.Region);
  if (JoiningIt == State.Joining.end() || JoiningIt->second.joining() == 0)
    return std::nullopt;
  const JoinSchedule &Schedule = JoiningIt->second;
  for (std::size_t I = 0; I < Available.Workers.size(); ++I) {
    const KnownWorker &WorkerState = *Available.Workers[I];
    const AffinityCandidate &Candidate = Available.Candidates[I];
    const WorkerStart Start{WorkerState.StartedAt, WorkerState.ColdUntil};
    const auto RecordIt = Records.find(WorkerState.Worker.Id);
    const bool Used = RecordIt != Records.end() && RecordIt->second.wasUsed();
    if (Used || Candidate.Cold ||
        WorkerState.Worker.Region != Settings.Region ||
        !Schedule.isJoining(Start, Available.Now) ||
        !Schedule.trialIsDue(Start, Candidate.WorkerHash, Available.Now) ||
        !isTrialHost(Candidate.WorkerHash, Settings.Self, LocalHosts))
      continue;
    WorkerPick Pick = makePick(Available, I);
    Pick.AffinityRank = Settings.Affinity.PreferredWorkers;
    return Pick;
  }
  return std::nullopt;
}

DispatchDecision Dispatcher::choose(const DispatchRequest &Request,
                                    Instant Now) {
  if (Now >= Request.Deadline)
    return Rejection{RejectReason::NoTime, Duration(0), Duration(0)};
  ServiceState &State = serviceState(Request.Service, Now);
  const CandidateSet Available = candidates(Request, Now);
  if (Available.Workers.empty())
    return Rejection{RejectReason::NoWorkers, NoWorkersRetryAfter, Duration(0)};
  // One host of the region tries a joining worker, which may be the preferred
  // worker of no object. This request is subject neither to admission nor to
  // the regional share.
  if (Request.Tried.empty())
    if (auto Pick = pickTrial(Available, State))
      return *Pick;

  const auto Admit = [&](const WorkerPick &Pick) {
    return decideAdmission({Request.Priority, Request.LatencyObjective,
                            Request.Deadline - Now, Pick.QueueWait,
                            Pick.ExpectedLatency},
                           Settings.Admission);
  };
  std::optional<RegionName> Region;
  // Home regions take precedence over the regional share.
  if (Request.HomeRegions.empty())
    Region = State.Share.regionOf(Request.Object);
  std::optional<WorkerPick> Pick =
      Region ? bestCandidate(Available, State, &*Region, Request)
             : std::nullopt;
  if (!Pick) {
    // The region has no eligible worker.
    Pick = bestCandidate(Available, State, nullptr, Request);
    Region.reset();
  }
  AdmissionVerdict Verdict = Admit(*Pick);
  if (std::holds_alternative<Admitted>(Verdict))
    return *Pick;
  if (Region) {
    const auto Elsewhere = bestCandidate(Available, State, nullptr, Request);
    if (std::holds_alternative<Admitted>(Admit(*Elsewhere)) &&
        mayOverflow(State))
      return *Elsewhere;
  }
  return Rejection{RejectReason::Overloaded,
                   std::get<Rejected>(Verdict).RetryAfter, Pick->QueueWait};
}

void Dispatcher::recordSent(const WorkerPick &Pick, Instant Now) {
  Records[Pick.Worker.Id].recordSent(Now);
  if (Pick.Cold)
    ColdLimiter.recordSent(workerHash(Pick.Worker.Id), Now);
}

void Dispatcher::recordResult(const WorkerPick &Pick, WorkerVerdict Verdict,
                              Duration Latency, Instant Now) {
  WorkerRecord &Record = Records[Pick.Worker.Id];
  const bool WasUnreachable = Record.awaitsRecovery();
  Record.recordEnded();
  ServiceState &State = serviceState(Pick.Worker.Service, Now);
  const Duration RoundTrip = Pick.Worker.Region == Settings.Region
                                 ? Duration(0)
                                 : Settings.CrossRegionRoundTrip;
  const Duration WorkerLatency = std::max(Duration(1), Latency - RoundTrip);
  switch (Verdict) {
  case WorkerVerdict::Answered: {
    const bool IsRepresentative =
        Pick.AffinityRank < Settings.Affinity.PreferredWorkers && !Pick.Cold &&
        Pick.QueueWait == Duration(0);
    if (IsRepresentative && !State.HasTypicalLatency) {
      State.TypicalLatency = WorkerLatency;
      State.HasTypicalLatency = true;
    } else if (IsRepresentative) {
      const auto Step = std::chrono::duration_cast<Duration>(
          State.TypicalLatency * MedianStep);
      State.TypicalLatency +=
          WorkerLatency > State.TypicalLatency ? Step : -Step;
    }
    const Duration ExpectedAtWorker =
        std::max(Duration(1), Pick.ExpectedLatency - RoundTrip);
    Record.recordAnswer(WorkerLatency,
                        Pick.ExpectedLatency > Duration(0) ? ExpectedAtWorker
                                                           : WorkerLatency,
                        Now);
    // A worker that was unreachable is treated as cold when it answers again.
    if (WasUnreachable)
      Directory.suspectRestart(Pick.Worker.Id,
                               coldStartDuration(Pick.Worker.Service), Now);
    break;
  }
  case WorkerVerdict::Failed:
  case WorkerVerdict::Broken:
    Record.recordFailure(Now);
    break;
  case WorkerVerdict::RefusedFull:
    Record.recordRefusedFull(Pick.Worker.Slots, Now);
    break;
  case WorkerVerdict::Misdirected:
    Directory.recordMisdirected(Pick.Worker.Id, Pick.Worker.Run);
    break;
  case WorkerVerdict::Unreachable:
    Record.recordUnreachable(Now);
    Directory.suspectRestart(Pick.Worker.Id,
                             coldStartDuration(Pick.Worker.Service), Now);
    break;
  case WorkerVerdict::TimedOut:
    // The time waited is a lower bound of the latency.
    Record.recordAnswer(Latency, std::max(Duration(1), Pick.ExpectedLatency),
                        Now);
    break;
  case WorkerVerdict::Abandoned:
    break;
  }
}

void Dispatcher::recordLoad(const WorkerId &Worker, const QueueReport &Report,
                            Instant Now) {
  Records[Worker].recordLoad(Report, Now);
}

void Dispatcher::recordDeath(const WorkerId &Worker, Instant Now) {
  Records[Worker].recordUnreachable(Now);
  if (const KnownWorker *WorkerState = Directory.find(Worker))
    Directory.suspectRestart(
        Worker, coldStartDuration(WorkerState->Worker.Service), Now);
}

bool Dispatcher::tryRetry(const ServiceName &Service, Instant Now) {
  return serviceState(Service, Now).Retries.tryWithdraw(Hosts.size(), Now);
}

bool Dispatcher::isTrialHostOf(Fingerprint Request) const {
  const auto Weight = [&](const RegionName &Region) {
    return mixHashes(Request.Value,
                     XXH3_64bits(Region.value().data(), Region.value().size()));
  };
  const std::uint64_t OwnWeight = Weight(Settings.Region);
  const bool IsTrialRegion =
      std::ranges::none_of(LiveHosts, [&](const auto &Entry) {
        return Entry.second > 0 && Weight(Entry.first) > OwnWeight;
      });
  return IsTrialRegion && isTrialHost(Request.Value, Settings.Self, LocalHosts);
}

const WorkerRecord *Dispatcher::record(const WorkerId &Worker) const {
  const auto RecordIt = Records.find(Worker);
  return RecordIt == Records.end() ? nullptr : &RecordIt->second;
}

Duration Dispatcher::typicalLatency(const ServiceName &Service) const {
  const auto StateIt = ServiceStates.find(Service);
  return StateIt == ServiceStates.end() ? Duration(0)
                                        : StateIt->second->TypicalLatency;
}

double Dispatcher::ownShare(const ServiceName &Service) const {
  const auto StateIt = ServiceStates.find(Service);
  return StateIt == ServiceStates.end() ? 1.0
                                        : StateIt->second->Share.ownShare();
}

std::size_t Dispatcher::usableWorkers(const ServiceName &Service,
                                      Instant Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Directory.workers(), [&](const auto &Entry) {
        return Entry.second.Worker.Service == Service &&
               Directory.exclusion(Entry.second, Now) == WorkerExclusion::None;
      }));
}

} // namespace masticgap::coordination
