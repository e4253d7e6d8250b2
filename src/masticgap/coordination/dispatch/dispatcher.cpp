#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Typical latency of a service that has answered nothing yet, as a part of
//! the request's objective.
constexpr double FirstTypical = 0.5;
//! Step of the running median of latencies.
constexpr double MedianStep = 0.05;
//! Requests beyond the shares of regions that may leave a full region, as a
//! part of all requests of the service. With the step of the shares it stays
//! under the cap on shifts.
constexpr double OverflowPart = 0.05;
//! Overflow that a quiet time may save up, in requests.
constexpr double MaxOverflowCredit = 2;
//! Callers of a service without workers come back after this time, in which
//! a registration or an answer of the store may arrive.
constexpr Duration NoWorkersRetry = std::chrono::milliseconds(500);
//! A worker that was not reachable is as good as cold when it answers again.
constexpr double ConnectionReserve = 0.8;

} // namespace

//! State of one service.
struct Dispatcher::ServiceState {
  ServiceState(const DispatcherSettings &Settings, Instant Start)
      : Share(Settings.Region), Retries(Settings.Retries, Start) {}

  RegionShare Share;
  FleetRetryBudget Retries;
  Duration Typical{0};
  bool TypicalKnown = false;
  double OverflowCredit = 0; //!< Requests that may leave a full region.
};

//! Workers that may get one request.
struct Dispatcher::CandidateSet {
  std::vector<const KnownWorker *> Workers;
  std::vector<AffinityCandidate> Candidates;
  Instant Now;
};

Dispatcher::Dispatcher(DispatcherSettings Given, Instant Start)
    : Settings(std::move(Given)), Start(Start), Directory(Settings.Directory),
      ColdLimiter(Settings.Self), Hosts{Settings.Self} {}

Dispatcher::~Dispatcher() = default;

void Dispatcher::setConfig(std::shared_ptr<const TrafficConfig> New) {
  Config = std::move(New);
}

void Dispatcher::setHosts(std::vector<HostId> All,
                          std::map<RegionName, unsigned> Live) {
  Hosts = std::move(All);
  LiveHosts = std::move(Live);
}

const ServiceTraits *Dispatcher::traits(const ServiceName &Service) const {
  if (!Config)
    return nullptr;
  const auto Found = Config->Services.find(Service);
  return Found == Config->Services.end() ? nullptr : &Found->second;
}

Duration Dispatcher::coldStartDuration(const ServiceName &Service) const {
  const ServiceTraits *Known = traits(Service);
  return Known ? Known->ColdStart : Duration(0);
}

Dispatcher::ServiceState &Dispatcher::serviceState(const ServiceName &Service,
                                                   Instant Now) {
  auto &Found = ServiceStates[Service];
  if (!Found) {
    Found = std::make_unique<ServiceState>(Settings, Start);
    updateRegionShare(*Found, Service, Now);
  }
  return *Found;
}

std::vector<WorkerId> Dispatcher::tick(Instant Now) {
  auto Dropped = Directory.expire(Now);
  for (auto &[Service, Each] : ServiceStates)
    updateRegionShare(*Each, Service, Now);
  std::erase_if(Records, [&](const auto &Entry) {
    return Entry.second.inFlight() == 0 && !Directory.find(Entry.first);
  });
  return Dropped;
}

void Dispatcher::updateRegionShare(ServiceState &Of, const ServiceName &Service,
                                   Instant Now) {
  std::map<RegionName, RegionCapacity> Capacities;
  for (const auto &[Domain, Region] : Settings.DomainRegions)
    Capacities[Region].Region = Region;
  for (const auto &[Id, Known] : Directory.workers()) {
    if (Known.Worker.Service != Service ||
        Directory.exclusion(Known, Now) != WorkerExclusion::None)
      continue;
    const WorkerRecord &Record = Records[Id];
    if (Record.isEjected(Now))
      continue;
    RegionCapacity &Capacity = Capacities[Known.Worker.Region];
    Capacity.Region = Known.Worker.Region;
    Capacity.Slots += Known.Worker.Slots;
    Capacity.Utilization += Record.occupancy(Now);
  }
  std::vector<RegionCapacity> List;
  for (auto &[Region, Capacity] : Capacities) {
    const auto Live = LiveHosts.find(Region);
    Capacity.EntryHosts = Live == LiveHosts.end() ? 0 : Live->second;
    if (Capacity.Slots > 0)
      Capacity.Utilization /= Capacity.Slots;
    List.push_back(Capacity);
  }
  Of.Share.update(List, Now);
}

void Dispatcher::recordArrival(const ServiceName &Service, Instant Now) {
  if (!FirstArrival)
    FirstArrival = Now;
  ServiceState &In = serviceState(Service, Now);
  In.Retries.recordRequest(Now);
  In.OverflowCredit =
      std::min(MaxOverflowCredit, In.OverflowCredit + OverflowPart);
}

bool Dispatcher::mayOverflow(ServiceState &In) {
  if (In.OverflowCredit < 1)
    return false;
  --In.OverflowCredit;
  return true;
}

Dispatcher::CandidateSet Dispatcher::candidates(const DispatchRequest &Request,
                                                Instant Now) {
  CandidateSet Found;
  Found.Now = Now;
  const ServiceTraits *Traits = traits(Request.Service);
  for (const auto &[Id, Known] : Directory.workers()) {
    if (Known.Worker.Service != Request.Service ||
        Directory.exclusion(Known, Now) != WorkerExclusion::None)
      continue;
    if (!Request.HomeRegions.empty() &&
        std::ranges::find(Request.HomeRegions, Known.Worker.Region) ==
            Request.HomeRegions.end())
      continue;
    if (std::ranges::find(Request.Tried, Id) != Request.Tried.end())
      continue;
    const WorkerRecord &Record = Records[Id];
    if (Record.isEjected(Now))
      continue;
    AffinityCandidate Candidate;
    Candidate.WorkerHash = workerHash(Id);
    Candidate.Cold = Now < Known.ColdUntil;
    if (Candidate.Cold &&
        !ColdLimiter.maySend(Candidate.WorkerHash,
                             Traits ? Traits->ColdRequestsPerSecond : 1, Hosts,
                             Now))
      continue;
    // Proof that an unreachable worker is back takes one request at a time.
    if (Record.awaitsRecovery() && Record.inFlight() > 0)
      continue;
    Candidate.Slots = Known.Worker.Slots;
    Candidate.Occupancy = Record.occupancy(Now);
    Candidate.RelativeLatency = Record.relativeLatency(Now);
    Candidate.FailureShare = Record.failureShare(Now);
    if (Known.Worker.Region != Settings.Region)
      Candidate.RoundTrip = Settings.CrossRegionRoundTrip;
    Found.Workers.push_back(&Known);
    Found.Candidates.push_back(Candidate);
  }
  return Found;
}

WorkerPick Dispatcher::makePick(const CandidateSet &Of,
                                std::size_t Index) const {
  const KnownWorker &Known = *Of.Workers[Index];
  WorkerPick Pick;
  Pick.Worker = Known.Worker;
  Pick.Occupancy = Of.Candidates[Index].Occupancy;
  Pick.Cold = Of.Candidates[Index].Cold;
  const ServiceTraits *Traits = traits(Known.Worker.Service);
  const double Limit = Traits ? Traits->ConnectionLimit : 1;
  Pick.Connections = static_cast<unsigned>(std::max(
      2.0, ConnectionReserve * Limit /
               static_cast<double>(std::max<std::size_t>(1, Hosts.size()))));
  return Pick;
}

std::optional<WorkerPick>
Dispatcher::bestCandidate(const CandidateSet &Of, const ServiceState &In,
                          const RegionName *Only,
                          const DispatchRequest &Request) {
  std::vector<AffinityCandidate> Candidates;
  std::vector<std::size_t> Indices;
  for (std::size_t I = 0; I < Of.Workers.size(); ++I) {
    if (Only && Of.Workers[I]->Worker.Region != *Only)
      continue;
    Candidates.push_back(Of.Candidates[I]);
    Indices.push_back(I);
  }
  const Duration Typical = In.TypicalKnown
                               ? In.Typical
                               : std::chrono::duration_cast<Duration>(
                                     Request.LatencyObjective * FirstTypical);
  const auto Result =
      chooseByAffinity(Candidates, Request.Object, Typical, Settings.Affinity);
  if (!Result)
    return std::nullopt;
  WorkerPick Pick = makePick(Of, Indices[Result->Index]);
  Pick.QueueWait = Result->QueueWait;
  Pick.ExpectedLatency = Result->ExpectedLatency;
  Pick.AffinityRank = Result->AffinityRank;
  return Pick;
}

std::optional<WorkerPick>
Dispatcher::pickUntriedWorker(const CandidateSet &Of) {
  for (std::size_t I = 0; I < Of.Workers.size(); ++I) {
    const KnownWorker &Known = *Of.Workers[I];
    const auto Record = Records.find(Known.Worker.Id);
    const bool Used = Record != Records.end() && Record->second.wasUsed();
    const bool Joined = FirstArrival && Known.RegisteredAt > *FirstArrival;
    if (!Joined || Known.InFirstList || Used ||
        Known.Worker.Region != Settings.Region)
      continue;
    WorkerPick Pick = makePick(Of, I);
    Pick.AffinityRank = Settings.Affinity.PreferredWorkers;
    return Pick;
  }
  return std::nullopt;
}

DispatchDecision Dispatcher::choose(const DispatchRequest &Request,
                                    Instant Now) {
  if (Now >= Request.Deadline)
    return Rejection{RejectReason::NoTime, Duration(0), Duration(0)};
  ServiceState &In = serviceState(Request.Service, Now);
  const CandidateSet Of = candidates(Request, Now);
  if (Of.Workers.empty())
    return Rejection{RejectReason::NoWorkers, NoWorkersRetry, Duration(0)};
  // A worker that joined is tried once by each host, so that its speed is
  // known before objects depend on it.
  if (Request.Tried.empty())
    if (auto Pick = pickUntriedWorker(Of))
      return *Pick;

  const auto Admit = [&](const WorkerPick &Pick) {
    return decideAdmission({Request.Priority, Request.LatencyObjective,
                            Request.Deadline - Now, Pick.QueueWait,
                            Pick.ExpectedLatency},
                           Settings.Admission);
  };
  std::optional<RegionName> Region;
  if (Request.HomeRegions.empty())
    Region = In.Share.regionOf(Request.Object);
  std::optional<WorkerPick> Pick =
      Region ? bestCandidate(Of, In, &*Region, Request) : std::nullopt;
  if (!Pick) {
    // The region has no worker at this moment.
    Pick = bestCandidate(Of, In, nullptr, Request);
    Region.reset();
  }
  AdmissionVerdict Verdict = Admit(*Pick);
  if (std::holds_alternative<Admitted>(Verdict))
    return *Pick;
  if (Region) {
    const auto Elsewhere = bestCandidate(Of, In, nullptr, Request);
    if (std::holds_alternative<Admitted>(Admit(*Elsewhere)) && mayOverflow(In))
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
  const bool Returned = Record.awaitsRecovery();
  Record.recordAbandoned();
  ServiceState &In = serviceState(Pick.Worker.Service, Now);
  const Duration Trip = Pick.Worker.Region == Settings.Region
                            ? Duration(0)
                            : Settings.CrossRegionRoundTrip;
  const Duration Work = std::max(Duration(1), Latency - Trip);
  switch (Verdict) {
  case WorkerVerdict::Answered: {
    const bool Undisturbed =
        Pick.AffinityRank < Settings.Affinity.PreferredWorkers && !Pick.Cold &&
        Pick.QueueWait == Duration(0);
    if (Undisturbed && !In.TypicalKnown) {
      In.Typical = Work;
      In.TypicalKnown = true;
    } else if (Undisturbed) {
      const auto Step =
          std::chrono::duration_cast<Duration>(In.Typical * MedianStep);
      In.Typical += Work > In.Typical ? Step : -Step;
    }
    const Duration Expected =
        std::max(Duration(1), Pick.ExpectedLatency - Trip);
    Record.recordAnswer(
        Work, Pick.ExpectedLatency > Duration(0) ? Expected : Work, Now);
    if (Returned)
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
  if (const KnownWorker *Known = Directory.find(Worker))
    Directory.suspectRestart(Worker, coldStartDuration(Known->Worker.Service),
                             Now);
}

bool Dispatcher::tryRetry(const ServiceName &Service, Instant Now) {
  return serviceState(Service, Now).Retries.tryWithdraw(Hosts.size(), Now);
}

const WorkerRecord *Dispatcher::record(const WorkerId &Worker) const {
  const auto Found = Records.find(Worker);
  return Found == Records.end() ? nullptr : &Found->second;
}

Duration Dispatcher::typicalLatency(const ServiceName &Service) const {
  const auto Found = ServiceStates.find(Service);
  return Found == ServiceStates.end() ? Duration(0) : Found->second->Typical;
}

double Dispatcher::ownShare(const ServiceName &Service) const {
  const auto Found = ServiceStates.find(Service);
  return Found == ServiceStates.end() ? 1.0 : Found->second->Share.ownShare();
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
