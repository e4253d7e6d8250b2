#include "entry/traffic_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace masticgap::entry {

namespace asio = boost::asio;
using namespace coordination;

namespace {

//! Period of placement updates, link demand reports and event transfers.
constexpr std::chrono::milliseconds TickPeriod{100};
//! Ticks between two removals of connections to unlisted workers.
constexpr unsigned SweepTicks = 20;
//! Number of events at which they are transferred without waiting for the tick.
constexpr std::size_t MaxPendingEvents = 256;

//! Returns the entry hosts that may exist: those of the platform's list, which
//! is delayed, and those known from gossip, including dead ones.
std::vector<EntryHostDescriptor>
possibleHosts(const SteeringSnapshot &Snapshot) {
  std::map<HostId, EntryHostDescriptor> HostsById;
  for (const EntryHostDescriptor &Each : Snapshot.EntryHosts)
    HostsById[Each.Id] = Each;
  for (const MemberRecord &Each : Snapshot.Members)
    if (Each.Status != MemberStatus::Left)
      HostsById[Each.Host.Id] = Each.Host;
  std::vector<EntryHostDescriptor> Hosts;
  for (auto &[Id, Host] : HostsById)
    Hosts.push_back(std::move(Host));
  return Hosts;
}

//! Returns the live entry hosts of this region, which share the slots of its
//! workers.
std::vector<HostId> slotSharers(const SteeringSnapshot &Snapshot,
                                const HostId &Self, const RegionName &Region) {
  std::vector<HostId> LiveHosts{Self};
  for (const MemberRecord &Each : Snapshot.Members)
    if (takesCallers(Each) && Each.Host.Region == Region &&
        Each.Host.Id != Self)
      LiveHosts.push_back(Each.Host.Id);
  return LiveHosts;
}

} // namespace

TrafficState::TrafficState(TrafficContext Parameters)
    : Context(std::move(Parameters)),
      Snapshot(std::make_shared<SteeringSnapshot>()),
      Connections(Context.Io, Context.Clock, Context.Settings.Address),
      RegionPlacement(Context.Self.Host, Context.Settings.Region),
      AtMostOnce({Context.Io, Context.Self, Context.Start, Context.Clock,
                  Context.RunStore}),
      Random(Context.Seed), TickTimer(Context.Io) {
  armTick();
}

TrafficState::~TrafficState() = default;

std::uint64_t TrafficState::configVersion() const {
  return Snapshot->Config ? Snapshot->Config->Version : 0;
}

ServiceState &TrafficState::serviceState(const ServiceName &Service) {
  auto &PerService = ServiceStates[Service];
  if (!PerService)
    PerService = std::make_unique<ServiceState>(
        Context.Io, Context.Clock, Context.Settings.Limits.MaxWaiting,
        Random());
  return *PerService;
}

transport::WorkerTarget
TrafficState::target(const WorkerDescriptor &Worker) const {
  const unsigned Hosts =
      Snapshot->Config ? Snapshot->Config->Defaults.MaxEntryHosts : 1;
  const std::size_t Share = Worker.MaxConnections / std::max(Hosts, 1U);
  return {Worker.Id, Worker.Run, Worker.Address,
          std::max(Share, std::size_t{1})};
}

void TrafficState::publish(SnapshotPtr NewSnapshot) {
  const std::uint64_t OldVersion = configVersion();
  Snapshot = std::move(NewSnapshot);
  const Instant Now = now();
  if (Snapshot->Config && configVersion() != OldVersion)
    applyConfig();
  RegionPlacement.entryHosts(possibleHosts(*Snapshot), Now);
  updateServiceStates();
  observeRegions(Now);
}

void TrafficState::applyConfig() {
  const ConfigDocument &Config = *Snapshot->Config;
  RegionPlacement.apply(Config);
  Links.apply(Config, now());
}

void TrafficState::updateServiceStates() {
  const Instant Now = now();
  const SlotSubset Policy{
      Context.Self.Host, Context.Settings.Region,
      slotSharers(*Snapshot, Context.Self.Host, Context.Settings.Region)};
  std::map<ServiceName, std::vector<WorkerDescriptor>> Listed;
  for (const auto &[Service, PerService] : ServiceStates)
    Listed[Service];
  for (const WorkerDescriptor &Each : Snapshot->Workers)
    Listed[Each.Service].push_back(Each);
  for (const auto &[Service, Workers] : Listed) {
    ServiceState &PerService = serviceState(Service);
    PerService.Workers.update(Workers, Now);
    PerService.Workers.setPolicy(Policy);
    applyExceptions(Service, PerService);
    if (Snapshot->Config)
      PerService.Retries.setLimits(
          {.Share = Snapshot->Config->Defaults.RetryShare});
    PerService.wakeNext();
  }
}

void TrafficState::applyExceptions(const ServiceName &Service,
                                   ServiceState &PerService) {
  std::set<WorkerId> Workers;
  std::set<FailureDomainName> Domains;
  if (Snapshot->Config)
    for (const ConfigException &Each : Snapshot->Config->Exceptions)
      if (Each.Kind == ExceptionKind::DrainWorker)
        Workers.insert(WorkerId(Each.Subject));
  for (const WorkerDescriptor &Each : Snapshot->Workers)
    if (Each.Service == Service && RegionPlacement.avoids(Service, Each.Domain))
      Domains.insert(Each.Domain);
  PerService.Workers.avoid(std::move(Workers), std::move(Domains));
}

void TrafficState::observeRegions(Instant Now) {
  std::set<std::pair<ServiceName, RegionName>> Seen;
  for (const WorkerDescriptor &Each : Snapshot->Workers)
    Seen.emplace(Each.Service, Each.Region);
  for (const auto &[Service, Region] : Seen)
    RegionPlacement.observe(
        Service, Region, serviceState(Service).Workers.regionLoad(Region, Now),
        Now);
}

void TrafficState::recordLoad(const ServiceName &Service,
                              const WorkerId &Worker, LoadReport Load) {
  ServiceState &PerService = serviceState(Service);
  PerService.Workers.report(Worker, Load, now());
  PerService.wakeNext();
}

void TrafficState::onRumor(const Rumor &NewRumor) {
  if (const auto *Leaving = std::get_if<WorkerLeaving>(&NewRumor))
    for (auto &[Service, PerService] : ServiceStates)
      PerService->Workers.leaving(Leaving->Worker, Leaving->Run);
  spread(Quarantine.onRumor(NewRumor, now()));
}

void TrafficState::applyGrant(const LinkGrant &Grant) {
  Links.grant(Grant, now());
}

void TrafficState::applyCap(const LinkCapSeen &Seen) {
  Links.apply(Seen, now());
}

void TrafficState::record(EventKind Kind, EventFields Fields) {
  Events.push_back({Kind, std::move(Fields)});
  if (Events.size() >= MaxPendingEvents)
    flushEvents();
}

void TrafficState::flushEvents() {
  if (!Events.empty())
    Context.Control.Events(std::exchange(Events, {}));
}

void TrafficState::recordLeavingWorker(const WorkerDescriptor &Worker) {
  serviceState(Worker.Service).Workers.leaving(Worker.Id, Worker.Run);
  Context.Control.Spread(WorkerLeaving{Worker.Id, Worker.Run}, [] {});
}

void TrafficState::recordWorkerDeath(const WorkerDescriptor &Worker) {
  std::vector<InFlightRequest> Requests;
  const auto [First, Last] = InFlight.equal_range({Worker.Id, Worker.Run});
  for (auto It = First; It != Last; ++It)
    Requests.push_back(It->second);
  spread(Quarantine.workerDied(Worker.Id, Worker.Run, Requests, now()).Spread);
}

void TrafficState::spread(const std::vector<Rumor> &Rumors) {
  for (const Rumor &Each : Rumors)
    Context.Control.Spread(
        Each, [this, Each, WeakAlive = std::weak_ptr<bool>(Alive)] {
          if (WeakAlive.expired())
            return;
          Quarantine.spreadFinished(Each);
          for (asio::steady_timer *Waiter : SpreadWaiters)
            Waiter->cancel();
        });
}

asio::awaitable<void>
TrafficState::awaitSpread(Fingerprint RequestFingerprint) {
  asio::steady_timer Timer(Context.Io);
  while (Quarantine.isSpreading(RequestFingerprint, now())) {
    const auto Until = Quarantine.waitLimit(RequestFingerprint);
    if (!Until)
      co_return;
    // A request still waits at the limit itself, so the timer expires 1 ms
    // later.
    Timer.expires_after(std::max(*Until - now(), Duration(0)) +
                        std::chrono::milliseconds(1));
    SpreadWaiters.push_back(&Timer);
    co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    std::erase(SpreadWaiters, &Timer);
  }
}

void TrafficState::armTick() {
  TickTimer.expires_after(TickPeriod);
  TickTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure || Stopped)
      return;
    tick();
    armTick();
  });
}

void TrafficState::stop() {
  Stopped = true;
  TickTimer.cancel();
  AtMostOnce.stop();
  for (auto &[Service, PerService] : ServiceStates)
    PerService->stop();
  Connections.sweep([](const WorkerId &, Incarnation) { return false; });
  flushEvents();
}

void TrafficState::tick() {
  const Instant Now = now();
  observeRegions(Now);
  RegionPlacement.tick(Now);
  auto Demand = Links.takeDemand(Now);
  if (!Demand.empty())
    Context.Control.Demand(std::move(Demand));
  flushEvents();
  if (++Ticks % SweepTicks != 0)
    return;
  std::set<WorkerRun> Listed;
  for (const WorkerDescriptor &Each : Snapshot->Workers)
    Listed.emplace(Each.Id, Each.Run);
  for (const MemberRecord &Each : Snapshot->Members)
    Listed.emplace(WorkerId(Each.Host.Id.value()), Each.Host.Run);
  Connections.sweep([&](const WorkerId &Id, Incarnation Run) {
    return Listed.contains({Id, Run});
  });
}

} // namespace masticgap::entry
