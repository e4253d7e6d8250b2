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
  //! Worker of the service, with what a choice needs of it.
  struct Member {
    const KnownWorker *State = nullptr;
    WorkerRecord *Record = nullptr;
    std::uint64_t Hash = 0;
  };

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
  std::vector<Member> Members; //!< As of MembersRevision.
  std::uint64_t MembersRevision = 0;
};

//! Workers that are eligible for one request.
struct Dispatcher::CandidateSet {
  std::vector<const ServiceState::Member *> Members;
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

void Dispatcher::updateMembers(ServiceState &State,
                               const ServiceName &Service) {
  const ServiceWorkers Known = Directory.workers(Service);
  if (State.MembersRevision == Known.Revision)
    return;
  State.MembersRevision = Known.Revision;
  State.Members.clear();
  for (const KnownWorker *Worker : Known.Workers)
    State.Members.push_back(
        {Worker, &Records[Worker->Worker.Id], workerHash(Worker->Worker.Id)});
}

std::vector<WorkerId> Dispatcher::tick(Instant Now) {
  auto Dropped = Directory.expire(Now);
  for (auto &[Service, State] : ServiceStates) {
    updateRegionShare(*State, Service, Now);
    updateJoining(*State, Service, Now);
  }
  // The records of workers in the directory stay, as Members refers to them.
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
  updateMembers(State, Service);
  for (const ServiceState::Member &Member : State.Members) {
    const KnownWorker &WorkerState = *Member.State;
    if (Directory.exclusion(WorkerState, Now) != WorkerExclusion::None)
      continue;
    const WorkerRecord &Record = *Member.Record;
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
  for (const KnownWorker *Known : Directory.workers(Service).Workers)
    if (Directory.exclusion(*Known, Now) == WorkerExclusion::None)
      Groups[Known->Worker.Region].push_back(Known->StartedAt);
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
  ServiceState &State = serviceState(Request.Service, Now);
  updateMembers(State, Request.Service);
  Result.Members.reserve(State.Members.size());
  Result.Candidates.reserve(State.Members.size());
  // Most neighbours in the list are of the same region.
  const RegionName *LastRegion = nullptr;
  const JoinSchedule *Schedule = nullptr;
  for (const ServiceState::Member &Member : State.Members) {
    const KnownWorker &WorkerState = *Member.State;
    const WorkerId &Id = WorkerState.Worker.Id;
    if (Directory.exclusion(WorkerState, Now) != WorkerExclusion::None)
      continue;
    if (!Request.HomeRegions.empty() &&
        std::ranges::find(Request.HomeRegions, WorkerState.Worker.Region) ==
            Request.HomeRegions.end())
      continue;
    if (std::ranges::find(Request.Tried, Id) != Request.Tried.end())
      continue;
    const WorkerRecord &Record = *Member.Record;
    if (Record.isEjected(Now))
      continue;
    AffinityCandidate Candidate;
    Candidate.WorkerHash = Member.Hash;
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
    if (!LastRegion || *LastRegion != WorkerState.Worker.Region) {
      LastRegion = &WorkerState.Worker.Region;
      const auto JoiningIt = State.Joining.find(*LastRegion);
      Schedule =
          JoiningIt == State.Joining.end() ? nullptr : &JoiningIt->second;
    }
    if (Schedule)
      Candidate.TakenOverShare = Schedule->takenOverShare(
          {WorkerState.StartedAt, WorkerState.ColdUntil}, Now);
    if (WorkerState.Worker.Region != Settings.Region)
      Candidate.RoundTrip = Settings.CrossRegionRoundTrip;
    Result.Members.push_back(&Member);
    Result.Candidates.push_back(Candidate);
  }
  return Result;
}

WorkerPick Dispatcher::makePick(const CandidateSet &Available,
                                std::size_t Index) const {
  const KnownWorker &WorkerState = *Available.Members[Index]->State;
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
  std::span<const AffinityCandidate> Candidates = Available.Candidates;
  std::vector<AffinityCandidate> InRegion;
  std::vector<std::size_t> Indices; // Of InRegion; empty: all candidates.
  const auto IsElsewhere = [&](const ServiceState::Member *Member) {
    return Member->State->Worker.Region != *OnlyRegion;
  };
  if (OnlyRegion && std::ranges::any_of(Available.Members, IsElsewhere)) {
    for (std::size_t I = 0; I < Available.Members.size(); ++I) {
      if (IsElsewhere(Available.Members[I]))
        continue;
      InRegion.push_back(Available.Candidates[I]);
      Indices.push_back(I);
    }
    Candidates = InRegion;
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
  WorkerPick Pick = makePick(
      Available, Indices.empty() ? Result->Index : Indices[Result->Index]);
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
  for (std::size_t I = 0; I < Available.Members.size(); ++I) {
    const KnownWorker &WorkerState = *Available.Members[I]->State;
    const AffinityCandidate &Candidate = Available.Candidates[I];
    const WorkerStart Start{WorkerState.StartedAt, WorkerState.ColdUntil};
    if (Available.Members[I]->Record->wasUsed() || Candidate.Cold ||
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
  if (Available.Members.empty())
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
  Record.recordEnded(Now);
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
  Records[Worker].recordLoad(Report, Now,
                             ExchangesLoad ? ExchangedReportHold : Duration(0));
}

void Dispatcher::updateKeys() {
  if (KeysRevision == Directory.revision())
    return;
  KeysRevision = Directory.revision();
  RecordsByKey.clear();
  for (const auto &[Id, Known] : Directory.workers()) {
    const auto [RecordIt, IsNew] =
        RecordsByKey.try_emplace(loadKey(Id), &Records[Id]);
    if (!IsNew)
      RecordIt->second = nullptr;
  }
}

PeerReportResult Dispatcher::recordPeerReport(const WorkerLoad &Load,
                                              Instant Now) {
  updateKeys();
  const auto RecordIt = RecordsByKey.find(Load.Worker);
  if (RecordIt == RecordsByKey.end() || !RecordIt->second)
    return PeerReportResult::Unknown;
  return RecordIt->second->recordPeerReport(Load.Report, Now);
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
  return static_cast<std::size_t>(std::ranges::count_if(
      Directory.workers(Service).Workers, [&](const KnownWorker *Known) {
        return Directory.exclusion(*Known, Now) == WorkerExclusion::None;
      }));
}

} // namespace masticgap::coordination
