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
struct Dispatcher::Lane {
  Lane(const DispatcherSettings &Settings, Instant Start)
      : Share(Settings.Region), Retries(Settings.Retries, Start) {}

  RegionShare Share;
  FleetRetryBudget Retries;
  Duration Typical{0};
  bool TypicalKnown = false;
  double OverflowCredit = 0; //!< Requests that may leave a full region.
};

//! Workers that may get one request.
struct Dispatcher::Options {
  std::vector<const KnownWorker *> Workers;
  std::vector<AffinityCandidate> Candidates;
  Instant Now;
};

Dispatcher::Dispatcher(DispatcherSettings Given, Instant Start)
    : Settings(std::move(Given)), Start(Start), Directory(Settings.Directory),
      Cold(Settings.Self), Hosts{Settings.Self} {}

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

Duration Dispatcher::coldStart(const ServiceName &Service) const {
  const ServiceTraits *Known = traits(Service);
  return Known ? Known->ColdStart : Duration(0);
}

Dispatcher::Lane &Dispatcher::lane(const ServiceName &Service, Instant Now) {
  auto &Found = Lanes[Service];
  if (!Found) {
    Found = std::make_unique<Lane>(Settings, Start);
    updateRooms(*Found, Service, Now);
  }
  return *Found;
}

std::vector<WorkerId> Dispatcher::tick(Instant Now) {
  auto Dropped = Directory.expire(Now);
  for (auto &[Service, Each] : Lanes)
    updateRooms(*Each, Service, Now);
  std::erase_if(Records, [&](const auto &Entry) {
    return Entry.second.inFlight() == 0 && !Directory.find(Entry.first);
  });
  return Dropped;
}

void Dispatcher::updateRooms(Lane &Of, const ServiceName &Service,
                             Instant Now) {
  std::map<RegionName, RegionRoom> Rooms;
  for (const auto &[Domain, Region] : Settings.Domains)
    Rooms[Region].Region = Region;
  for (const auto &[Id, Known] : Directory.workers()) {
    if (Known.Worker.Service != Service ||
        Directory.bar(Known, Now) != WorkerBar::None)
      continue;
    const WorkerRecord &Record = Records[Id];
    if (Record.isEjected(Now))
      continue;
    RegionRoom &Room = Rooms[Known.Worker.Region];
    Room.Region = Known.Worker.Region;
    Room.Slots += Known.Worker.Slots;
    Room.Utilization += Record.occupancy(Now);
  }
  std::vector<RegionRoom> List;
  for (auto &[Region, Room] : Rooms) {
    const auto Live = LiveHosts.find(Region);
    Room.EntryHosts = Live == LiveHosts.end() ? 0 : Live->second;
    if (Room.Slots > 0)
      Room.Utilization /= Room.Slots;
    List.push_back(Room);
  }
  Of.Share.update(List, Now);
}

void Dispatcher::arrived(const ServiceName &Service, Instant Now) {
  if (!FirstArrival)
    FirstArrival = Now;
  Lane &In = lane(Service, Now);
  In.Retries.requestArrived(Now);
  In.OverflowCredit =
      std::min(MaxOverflowCredit, In.OverflowCredit + OverflowPart);
}

bool Dispatcher::mayOverflow(Lane &In) {
  if (In.OverflowCredit < 1)
    return false;
  --In.OverflowCredit;
  return true;
}

Dispatcher::Options Dispatcher::options(const DispatchRequest &Request,
                                        Instant Now) {
  Options Found;
  Found.Now = Now;
  const ServiceTraits *Traits = traits(Request.Service);
  for (const auto &[Id, Known] : Directory.workers()) {
    if (Known.Worker.Service != Request.Service ||
        Directory.bar(Known, Now) != WorkerBar::None)
      continue;
    if (!Request.Homes.empty() &&
        std::ranges::find(Request.Homes, Known.Worker.Region) ==
            Request.Homes.end())
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
        !Cold.mayUse(Candidate.WorkerHash,
                     Traits ? Traits->ColdRequestsPerSecond : 1, Hosts, Now))
      continue;
    // Proof that an unreachable worker is back takes one request at a time.
    if (Record.awaitsProof() && Record.inFlight() > 0)
      continue;
    Candidate.Slots = Known.Worker.Slots;
    Candidate.Occupancy = Record.occupancy(Now);
    Candidate.Slowness = Record.slowness(Now);
    Candidate.FailureShare = Record.failureShare(Now);
    if (Known.Worker.Region != Settings.Region)
      Candidate.RoundTrip = Settings.CrossRegion;
    Found.Workers.push_back(&Known);
    Found.Candidates.push_back(Candidate);
  }
  return Found;
}

WorkerPick Dispatcher::makePick(const Options &Of, std::size_t Index) const {
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

std::optional<WorkerPick> Dispatcher::best(const Options &Of, const Lane &In,
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
  const Duration Typical =
      In.TypicalKnown
          ? In.Typical
          : std::chrono::duration_cast<Duration>(Request.Target * FirstTypical);
  const auto Result =
      chooseByAffinity(Candidates, Request.Object, Typical, Settings.Affinity);
  if (!Result)
    return std::nullopt;
  WorkerPick Pick = makePick(Of, Indices[Result->Index]);
  Pick.Wait = Result->Wait;
  Pick.Expected = Result->Completion;
  Pick.Rank = Result->Rank;
  return Pick;
}

std::optional<WorkerPick> Dispatcher::newcomer(const Options &Of) {
  for (std::size_t I = 0; I < Of.Workers.size(); ++I) {
    const KnownWorker &Known = *Of.Workers[I];
    const auto Record = Records.find(Known.Worker.Id);
    const bool Used = Record != Records.end() && Record->second.wasUsed();
    const bool Joined = FirstArrival && Known.Joined > *FirstArrival;
    if (!Joined || Known.Initial || Used ||
        Known.Worker.Region != Settings.Region)
      continue;
    WorkerPick Pick = makePick(Of, I);
    Pick.Rank = Settings.Affinity.Homes;
    return Pick;
  }
  return std::nullopt;
}

DispatchDecision Dispatcher::choose(const DispatchRequest &Request,
                                    Instant Now) {
  if (Now >= Request.Until)
    return Rejection{RejectReason::NoTime, Duration(0), Duration(0)};
  Lane &In = lane(Request.Service, Now);
  const Options Of = options(Request, Now);
  if (Of.Workers.empty())
    return Rejection{RejectReason::NoWorkers, NoWorkersRetry, Duration(0)};
  // A worker that joined is tried once by each host, so that its speed is
  // known before objects depend on it.
  if (Request.Tried.empty())
    if (auto Pick = newcomer(Of))
      return *Pick;

  const auto Admit = [&](const WorkerPick &Pick) {
    return decideAdmission({Request.Priority, Request.Target,
                            Request.Until - Now, Pick.Wait, Pick.Expected},
                           Settings.Admission);
  };
  std::optional<RegionName> Region;
  if (Request.Homes.empty())
    Region = In.Share.regionOf(Request.Object);
  std::optional<WorkerPick> Pick =
      Region ? best(Of, In, &*Region, Request) : std::nullopt;
  if (!Pick) {
    // The region has no worker at this moment.
    Pick = best(Of, In, nullptr, Request);
    Region.reset();
  }
  AdmissionVerdict Verdict = Admit(*Pick);
  if (std::holds_alternative<Admitted>(Verdict))
    return *Pick;
  if (Region) {
    const auto Elsewhere = best(Of, In, nullptr, Request);
    if (std::holds_alternative<Admitted>(Admit(*Elsewhere)) && mayOverflow(In))
      return *Elsewhere;
  }
  return Rejection{RejectReason::Overloaded,
                   std::get<TurnedAway>(Verdict).RetryAfter, Pick->Wait};
}

void Dispatcher::sent(const WorkerPick &Pick, Instant Now) {
  Records[Pick.Worker.Id].sent(Now);
  if (Pick.Cold)
    Cold.used(workerHash(Pick.Worker.Id), Now);
}

void Dispatcher::ended(const WorkerPick &Pick, WorkerVerdict Verdict,
                       Duration Latency, Instant Now) {
  WorkerRecord &Record = Records[Pick.Worker.Id];
  const bool Returned = Record.awaitsProof();
  Record.released();
  Lane &In = lane(Pick.Worker.Service, Now);
  const Duration Trip = Pick.Worker.Region == Settings.Region
                            ? Duration(0)
                            : Settings.CrossRegion;
  const Duration Work = std::max(Duration(1), Latency - Trip);
  switch (Verdict) {
  case WorkerVerdict::Answered: {
    const bool Undisturbed = Pick.Rank < Settings.Affinity.Homes &&
                             !Pick.Cold && Pick.Wait == Duration(0);
    if (Undisturbed && !In.TypicalKnown) {
      In.Typical = Work;
      In.TypicalKnown = true;
    } else if (Undisturbed) {
      const auto Step =
          std::chrono::duration_cast<Duration>(In.Typical * MedianStep);
      In.Typical += Work > In.Typical ? Step : -Step;
    }
    const Duration Expected = std::max(Duration(1), Pick.Expected - Trip);
    Record.answered(Work, Pick.Expected > Duration(0) ? Expected : Work, Now);
    if (Returned)
      Directory.suspectRestart(Pick.Worker.Id, coldStart(Pick.Worker.Service),
                               Now);
    break;
  }
  case WorkerVerdict::Failed:
  case WorkerVerdict::Broken:
    Record.failed(Now);
    break;
  case WorkerVerdict::RefusedFull:
    Record.refusedFull(Pick.Worker.Slots, Now);
    break;
  case WorkerVerdict::Misdirected:
    Directory.misdirected(Pick.Worker.Id, Pick.Worker.Run);
    break;
  case WorkerVerdict::Unreachable:
    Record.unreachable(Now);
    Directory.suspectRestart(Pick.Worker.Id, coldStart(Pick.Worker.Service),
                             Now);
    break;
  case WorkerVerdict::TimedOut:
    Record.answered(Latency, std::max(Duration(1), Pick.Expected), Now);
    break;
  case WorkerVerdict::Abandoned:
    break;
  }
}

void Dispatcher::reported(const WorkerId &Worker, const QueueReport &Report,
                          Instant Now) {
  Records[Worker].reported(Report, Now);
}

void Dispatcher::died(const WorkerId &Worker, Instant Now) {
  Records[Worker].unreachable(Now);
  if (const KnownWorker *Known = Directory.find(Worker))
    Directory.suspectRestart(Worker, coldStart(Known->Worker.Service), Now);
}

bool Dispatcher::tryRetry(const ServiceName &Service, Instant Now) {
  return lane(Service, Now).Retries.tryWithdraw(Hosts.size(), Now);
}

const WorkerRecord *Dispatcher::record(const WorkerId &Worker) const {
  const auto Found = Records.find(Worker);
  return Found == Records.end() ? nullptr : &Found->second;
}

Duration Dispatcher::typical(const ServiceName &Service) const {
  const auto Found = Lanes.find(Service);
  return Found == Lanes.end() ? Duration(0) : Found->second->Typical;
}

double Dispatcher::ownShare(const ServiceName &Service) const {
  const auto Found = Lanes.find(Service);
  return Found == Lanes.end() ? 1.0 : Found->second->Share.ownShare();
}

std::size_t Dispatcher::usable(const ServiceName &Service, Instant Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Directory.workers(), [&](const auto &Entry) {
        return Entry.second.Worker.Service == Service &&
               Directory.bar(Entry.second, Now) == WorkerBar::None;
      }));
}

} // namespace masticgap::coordination
