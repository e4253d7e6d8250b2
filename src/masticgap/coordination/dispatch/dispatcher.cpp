#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include "masticgap/coordination/dispatch/dispatcher_state.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Step of the running median of latencies, relative to the median.
constexpr double MedianStep = 0.05;
//! Time constant of the average rate of a service's requests.
constexpr std::chrono::duration<double> ArrivalDecayTime{5};

double decayedArrivals(double Count, Duration Age) {
  return Count *
         std::exp(-(std::chrono::duration<double>(Age) / ArrivalDecayTime));
}

WorkerEligibility toEligibility(WorkerExclusion Exclusion) {
  switch (Exclusion) {
  case WorkerExclusion::None:
    return WorkerEligibility::Eligible;
  case WorkerExclusion::Leaving:
    return WorkerEligibility::Leaving;
  case WorkerExclusion::Evacuated:
    return WorkerEligibility::Evacuated;
  case WorkerExclusion::Gone:
    break;
  }
  return WorkerEligibility::Gone;
}

} // namespace

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
    updateMembers(*State, Service);
    updateRegionShare(*State, Now);
    updateJoining(*State, Service, Now);
  }
  return *State;
}

bool Dispatcher::isCurrent(const ServiceState &State,
                           const ServiceName &Service) const {
  return State.MembersRevision == Directory.workers(Service).Revision;
}

void Dispatcher::updateMembers(ServiceState &State,
                               const ServiceName &Service) {
  if (isCurrent(State, Service))
    return;
  for (const KnownWorker *Worker : Directory.workers(Service).Workers)
    Records.try_emplace(Worker->Worker.Id);
  listMembers(State, Service);
}

void Dispatcher::listMembers(ServiceState &State,
                             const ServiceName &Service) const {
  static const WorkerRecord NoRecord;
  const ServiceWorkers Known = Directory.workers(Service);
  State.MembersRevision = Known.Revision;
  State.Members.clear();
  for (const KnownWorker *Worker : Known.Workers) {
    const WorkerRecord *Record = record(Worker->Worker.Id);
    State.Members.push_back(
        {Worker, Record ? Record : &NoRecord, workerHash(Worker->Worker.Id)});
  }
}

std::vector<WorkerId> Dispatcher::tick(Instant Now) {
  auto Dropped = Directory.expire(Now);
  for (auto &[Service, State] : ServiceStates) {
    updateMembers(*State, Service);
    updateRegionShare(*State, Now);
    updateJoining(*State, Service, Now);
  }
  // The records of workers in the directory stay, as Members refers to them.
  std::erase_if(Records, [&](const auto &Entry) {
    return Entry.second.inFlight() == 0 && !Directory.find(Entry.first);
  });
  return Dropped;
}

void Dispatcher::updateRegionShare(ServiceState &State, Instant Now) const {
  std::map<RegionName, RegionCapacity> Capacities;
  for (const auto &[Domain, Region] : Settings.DomainRegions)
    Capacities[Region].Region = Region;
  for (const ServiceMember &Member : State.Members) {
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
                               Instant Now) const {
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
  State.OverflowCredit = ServiceState::creditAfterArrival(State.OverflowCredit);
}

WorkerEligibility Dispatcher::eligibility(const ServiceMember &Member,
                                          const DispatchRequest &Request,
                                          Instant Now) const {
  const KnownWorker &WorkerState = *Member.State;
  const WorkerDescriptor &Worker = WorkerState.Worker;
  const WorkerExclusion Exclusion = Directory.exclusion(WorkerState, Now);
  if (Exclusion != WorkerExclusion::None)
    return toEligibility(Exclusion);
  if (!Request.HomeRegions.empty() &&
      std::ranges::find(Request.HomeRegions, Worker.Region) ==
          Request.HomeRegions.end())
    return WorkerEligibility::NotHomeRegion;
  if (std::ranges::find(Request.Tried, Worker.Id) != Request.Tried.end())
    return WorkerEligibility::Tried;
  const WorkerRecord &Record = *Member.Record;
  if (Record.isEjected(Now))
    return WorkerEligibility::Ejected;
  if (Now < WorkerState.ColdUntil) {
    const ServiceTraits *Traits = traits(Request.Service);
    const ColdSend Cold = ColdLimiter.check(
        Member.Hash, Traits ? Traits->ColdRequestsPerSecond : 1, Hosts, Now);
    if (Cold == ColdSend::Unseen)
      return WorkerEligibility::ColdUnseen;
    if (Cold == ColdSend::NotNow)
      return WorkerEligibility::ColdRate;
  }
  // A worker that was unreachable gets one request at a time until it
  // answers.
  if (Record.awaitsRecovery() && Record.inFlight() > 0)
    return WorkerEligibility::AwaitsRecovery;
  return WorkerEligibility::Eligible;
}

Dispatcher::CandidateSet Dispatcher::candidates(const ServiceState &State,
                                                const DispatchRequest &Request,
                                                Instant Now) const {
  CandidateSet Result;
  Result.Now = Now;
  Result.Members.reserve(State.Members.size());
  Result.Candidates.reserve(State.Members.size());
  // Most neighbours in the list are of the same region.
  const RegionName *LastRegion = nullptr;
  const JoinSchedule *Schedule = nullptr;
  for (const ServiceMember &Member : State.Members) {
    const KnownWorker &WorkerState = *Member.State;
    const WorkerEligibility Eligibility = eligibility(Member, Request, Now);
    if (Eligibility == WorkerEligibility::ColdUnseen)
      Result.ColdUnseen.push_back(&Member);
    if (Eligibility != WorkerEligibility::Eligible)
      continue;
    const WorkerRecord &Record = *Member.Record;
    AffinityCandidate Candidate;
    Candidate.WorkerHash = Member.Hash;
    Candidate.Cold = Now < WorkerState.ColdUntil;
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
