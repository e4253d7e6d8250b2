#include "gateway/gateway_daemon.hpp"

#include "gateway/account_view.hpp"
#include "gateway/explain_view.hpp"
#include "masticgap/coordination/fleet/lookup_hosts.hpp"
#include "masticgap/coordination/replica/feed_source.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/transport/boot_clock.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/asio/post.hpp>
#include <boost/leaf/error.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace masticgap::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;
using namespace coordination;

namespace {

//! Period at which region shares are updated, lapsed registrations are removed
//! and peers are checked for newer versions.
constexpr std::chrono::milliseconds TickPeriod{500};
//! Part of the grace period that is left when the remaining requests are ended.
//! It includes AnswerReserve.
constexpr std::chrono::milliseconds StopReserve{500};
//! Time for sending the last answers.
constexpr std::chrono::milliseconds AnswerReserve{200};
//! Time for joining through the gossip seeds before the store is used.
constexpr std::chrono::seconds JoinDelay{2};
//! Delay before the next attempt to join through the store.
constexpr std::chrono::seconds JoinRetry{5};
//! Time for which a member is suspected before it is declared dead, in gossip
//! periods.
constexpr int SuspicionPeriods = 3;
//! Number of sends of a membership change by each host, as a factor of the
//! binary digits of the number of hosts.
constexpr unsigned TransmitFactor = 2;
//! Socket buffer size for gossip; holds a few hundred datagrams.
constexpr std::size_t GossipBufferBytes = 128 * 1024;

//! Draws a random seed, so that hosts do not act in lockstep.
std::uint64_t drawSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) | Device();
}

//! Limits of the servers for readiness checks, look-ups and metrics.
transport::HttpServerLimits controlServerLimits(
    const std::shared_ptr<transport::CallerRegistry> &Accounts) {
  transport::HttpServerLimits Limits;
  Limits.Accounts = Accounts;
  Limits.MaxBodyBytes = 4096;
  Limits.MaxConnections = 1024;
  return Limits;
}

} // namespace

//! Servers on the listening ports.
struct GatewayDaemon::Listeners {
  std::unique_ptr<GatewayServer> Traffic;
  std::unique_ptr<transport::HttpServer> Lookup;
  std::unique_ptr<transport::HttpServer> Readiness;
  std::unique_ptr<transport::HttpServer> Metrics;
  std::unique_ptr<PeerExchange> Peers;
};

GatewayDaemon::GatewayDaemon(asio::io_context &Io,
                             GatewaySettings InitialSettings, PlatformApi Api,
                             SettingsLoader Loader)
    : Io(Io), Settings(std::move(InitialSettings)), Platform(std::move(Api)),
      LoadSettings(std::move(Loader)), RandomSeed(drawSeed()),
      LocalIncarnation(makeIncarnation(transport::unixMilliseconds(),
                                       static_cast<std::uint16_t>(RandomSeed))),
      StartedAt(transport::now()), NextJoinAt(StartedAt + JoinDelay),
      State(Io, Settings, Platform.Wire, RandomSeed),
      Sync(State, Platform, [this] { announceProgress(); }),
      Servers(std::make_unique<Listeners>()),
      Load(State.Log, State.Stats, StartedAt), TickTimer(Io), StopTimer(Io) {}

GatewayDaemon::~GatewayDaemon() = default;

EntryHostDescriptor GatewayDaemon::descriptor() const {
  EntryHostDescriptor Self;
  Self.Id = Settings.Host;
  Self.Region = Settings.Region;
  Self.Domain = Settings.Domain;
  Self.Run = LocalIncarnation;
  Self.Address = Settings.Traffic.Address;
  Self.LookupPort = Settings.Lookup.Port;
  Self.TrafficPort = Settings.Traffic.Port;
  Self.AdminPort = Settings.PeerPort;
  Self.GossipPort = Settings.GossipPort;
  return Self;
}

leaf::result<void> GatewayDaemon::start() {
  const std::string &Address = Settings.Traffic.Address;
  try {
    Servers->Readiness = std::make_unique<transport::HttpServer>(
        Io, Settings.Readiness, controlServerLimits(State.CallerAccounts),
        [this](const transport::HttpRequest &Request,
               const transport::HttpServer::Reply &Reply) {
          Reply(answerReadiness(Request));
        });
    Servers->Lookup = std::make_unique<transport::HttpServer>(
        Io, Settings.Lookup, controlServerLimits(State.CallerAccounts),
        [this](const transport::HttpRequest &Request,
               const transport::HttpServer::Reply &Reply) {
          Reply(answerLookup(Request));
        });
    Servers->Peers = std::make_unique<PeerExchange>(
        Io, Endpoint{Address, Settings.PeerPort},
        [this](const PeerUpdateQuery &Query) { return Sync.update(Query); });
    Servers->Peers->onFetched([this](const Endpoint &Peer, std::size_t Bytes) {
      State.Network.countPeer("tables", Peer.Address, Bytes);
    });
    if (Settings.MetricsPort != 0)
      Servers->Metrics = std::make_unique<transport::HttpServer>(
          Io, Endpoint{Address, Settings.MetricsPort},
          controlServerLimits(State.CallerAccounts),
          [this](const transport::HttpRequest &Request,
                 const transport::HttpServer::Reply &Reply) {
            Reply(answerMetrics(Request));
          });
    Servers->Traffic = std::make_unique<GatewayServer>(State, Settings.Traffic);
  } catch (const boost::system::system_error &Failure) {
    return leaf::new_error(
        Error{ErrorKind::Unavailable,
              std::string("a port cannot be bound: ") + Failure.what(),
              "free the port or set another one"});
  }
  BOOST_LEAF_CHECK(startGossip());
  State.Log.write(LogClass::Decision, "started",
                  {{"region", Settings.Region.value()},
                   {"domain", Settings.Domain.value()},
                   {"run", LocalIncarnation.Value},
                   {"traffic_port", unsigned{Settings.Traffic.Port}}});
  if (Platform.Store.OnEraRise)
    Platform.Store.OnEraRise([this](StoreEra Era) { onStoreEra(Era); });
  Sync.start(*Servers->Peers, [this] {
    return Gossip ? Gossip->members() : std::span<const MemberRecord>();
  });
  State.Crashes.setRumorSender([this](const Rumor &What, bool Urgent) {
    if (Gossip && Urgent)
      Gossip->spread(What);
    else if (Gossip)
      Gossip->share(What);
  });
  const auto CurrentMembers = [this] {
    return Gossip ? Gossip->members() : std::span<const MemberRecord>();
  };
  State.AccountLimits.setMembers(CurrentMembers);
  State.Loads.setMembers(CurrentMembers);
  scheduleTick();
  return {};
}

leaf::result<void> GatewayDaemon::startGossip() {
  Gossip.reset();
  Clock = std::make_unique<HybridClock>(LocalIncarnation, StartedAt);
  transport::GossipNodeSettings Node;
  Node.Membership.Self = descriptor();
  Node.Membership.SizeClass = sizeClass(Settings.ProcessorShare);
  for (const Endpoint &SeedHost : Settings.Seeds)
    Node.Membership.Seeds.push_back({SeedHost.Address, Settings.GossipPort});
  std::erase(Node.Membership.Seeds,
             Endpoint{Settings.Traffic.Address, Settings.GossipPort});
  // Each random generator gets a different seed, see also GatewayState.
  Node.Membership.RandomSeed = RandomSeed + 1;
  Node.Membership.Timing.Period = Settings.GossipPeriod;
  Node.Membership.Timing.DirectTimeout = Settings.GossipPeriod / 2;
  Node.Membership.Timing.TransmitFactor = TransmitFactor;
  Node.Membership.Timing.SuspicionTime =
      Settings.GossipPeriod * SuspicionPeriods;
  Node.BindAddress = Settings.Traffic.Address;
  Node.BindPort = Settings.GossipPort;
  Node.SocketBufferBytes = GossipBufferBytes;
  Node.Now = [] { return transport::now(); };
  transport::GossipCallbacks Callbacks;
  Callbacks.MemberChanged = [this](const MemberRecord &Changed) {
    onMembersChanged(Changed);
  };
  Callbacks.MemberProgressed = [this](const MemberRecord &Peer) {
    if (Peer.Host.Id != Settings.Host)
      Sync.peerProgressed(Peer);
  };
  Callbacks.Received = [this](bool SaysDead) {
    State.AccountLimits.messageReceived(SaysDead);
  };
  Callbacks.Sent = [this](const Endpoint &To, std::size_t Bytes) {
    State.Network.countPeer("gossip", To.Address, Bytes);
  };
  Callbacks.RumorLearned = [this](const TimedRumor &Learned) {
    State.Crashes.onRumor(Learned.What, State.now());
  };
  Callbacks.SelfSuperseded = [this](const MemberRecord &Newer) {
    // The wall clock was set back since this host's last start, so peers know
    // a later incarnation. Continue with a higher one: the low 16 bits are
    // random, so 1 << 16 raises its time by one millisecond.
    State.Log.write(
        LogClass::Decision, "incarnation_raised",
        {{"seen", Newer.Host.Run.Value}, {"own", LocalIncarnation.Value}});
    LocalIncarnation = Incarnation{
        std::max(LocalIncarnation.Value, Newer.Host.Run.Value) + (1U << 16)};
    asio::post(Io, [this] {
      if (Ended)
        return;
      auto Restarted = capture<bool>([this]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(startGossip());
        return true;
      });
      if (const auto *Problem = std::get_if<Error>(&Restarted))
        State.Log.write(LogClass::Decision, "gossip_failed",
                        {{"error", describe(*Problem)}});
    });
  };
  BOOST_LEAF_ASSIGN(Gossip,
                    transport::GossipNode::start(Io, std::move(Node), *Clock,
                                                 std::move(Callbacks)));
  if (Stopping)
    Gossip->planLeave();
  State.AccountLimits.membersChanged();
  State.Loads.membersChanged();
  announceProgress();
  updateHosts();
  return {};
}

void GatewayDaemon::onMembersChanged(const MemberRecord &Changed) {
  const char *Status = Changed.Status == MemberStatus::Alive     ? "alive"
                       : Changed.Status == MemberStatus::Suspect ? "suspect"
                       : Changed.Status == MemberStatus::Dead    ? "dead"
                                                                 : "left";
  if (Changed.Host.Id != Settings.Host)
    State.Log.write(LogClass::Decision, "member",
                    {{"peer", Changed.Host.Id.value()},
                     {"status", Status},
                     {"draining", Changed.Draining},
                     {"run", Changed.Host.Run.Value}});
  updateHosts();
  State.AccountLimits.membersChanged();
  State.Loads.membersChanged();
  // The list of members does not contain the change yet.
  asio::post(Io, [this] {
    if (!Ended)
      Sync.membersChanged();
  });
}

void GatewayDaemon::updateHosts() {
  if (!Gossip)
    return;
  std::vector<HostId> All;
  std::map<RegionName, unsigned> Live;
  std::vector<HostId> LocalLive;
  for (const MemberRecord &Member : Gossip->members()) {
    All.push_back(Member.Host.Id);
    if (!isLive(Member))
      continue;
    ++Live[Member.Host.Region];
    if (Member.Host.Region == Settings.Region)
      LocalLive.push_back(Member.Host.Id);
  }
  State.Network.setPeers(Gossip->members());
  State.Dispatch.setHosts(std::move(All), std::move(Live),
                          std::move(LocalLive));
}

void GatewayDaemon::announceProgress() {
  const TableProgress Now = Sync.progress();
  if (Gossip && State.Config)
    Gossip->setProgress(Now.Operator.packed(), Now.Workers.packed());
}

void GatewayDaemon::onStoreEra(StoreEra Era) {
  NewestStoreEra = Era;
  // The store's copy may lack this host's row, which is written without delay.
  NextJoinAt = std::max(State.now(), StartedAt + JoinDelay);
  Sync.onEra(Era);
}

void GatewayDaemon::catchUpWithPeers() {
  if (!Gossip)
    return;
  // Chooses the member with the latest eras and then the largest sum of its two
  // versions. A member that is ahead in one table only is also found through
  // MemberProgressed.
  const auto Rank = [](const MemberRecord &Member) {
    const TableProgress Progress = TableProgress::of(Member);
    return std::pair(unsigned{Progress.Operator.Era} + Progress.Workers.Era,
                     Progress.Operator.Version + Progress.Workers.Version);
  };
  const MemberRecord *Ahead = nullptr;
  for (const MemberRecord &Member : Gossip->members())
    if (Member.Status == MemberStatus::Alive &&
        Member.Host.Id != Settings.Host &&
        (!Ahead || Rank(Member) > Rank(*Ahead)))
      Ahead = &Member;
  if (Ahead)
    Sync.peerProgressed(*Ahead);
}

void GatewayDaemon::joinByStore() {
  if (Stopping || !Gossip || State.now() < NextJoinAt)
    return;
  const auto Members = Gossip->members();
  const bool IsAlone = std::ranges::count_if(Members, isLive) == 1;
  FeedSourceChoice Choice(Settings.Host);
  // Only readers, and a host that is alone, write their addresses: one
  // reachable host is enough for another one to join.
  const bool IsLost = AnnouncedEra && *AnnouncedEra < storeEra();
  if (IsLost || (!AnnouncedEra &&
                 (IsAlone || Choice.isReader(Members, Settings.Domain)))) {
    NextJoinAt = State.now() + JoinRetry;
    Platform.Store.AnnounceHost(Settings.Host.value(), Settings.Traffic.Address,
                                [this, Era = storeEra()](bool Done) {
                                  // An answer that states a later era may be
                                  // to a write that the restore has lost.
                                  if (Done)
                                    AnnouncedEra = Era;
                                });
  }
  if (!IsAlone)
    return;
  NextJoinAt = State.now() + JoinRetry;
  Platform.Store.Read(StoreTable::Hosts, [this](auto Answer) {
    const auto *Snapshot = std::get_if<TableSnapshot>(&Answer);
    if (!Snapshot || !Gossip || Ended)
      return;
    std::vector<Endpoint> StoreSeeds;
    for (const TableRow &Row : Snapshot->Rows)
      if (Row.Key != Settings.Host.value())
        StoreSeeds.push_back({Row.Value, Settings.GossipPort});
    State.Log.write(LogClass::Decision, "joining_by_store",
                    {{"hosts", static_cast<std::uint64_t>(StoreSeeds.size())}});
    Gossip->addSeeds(StoreSeeds);
  });
}

void GatewayDaemon::scheduleTick() {
  TickDue = State.now() + TickPeriod;
  TickTimer.expires_after(TickPeriod);
  TickTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure || Ended)
      return;
    tick();
    scheduleTick();
  });
}

void GatewayDaemon::tick() {
  if (Gossip)
    Load.endPeriod(Gossip->counters(), TickDue, State.now());
  for (const WorkerId &Id : State.Dispatch.tick(State.now()))
    State.Log.write(LogClass::Decision, "worker_gone",
                    {{"worker", Id.value()}, {"reason", "lapsed"}});
  const WorkerDirectory &Directory = State.Dispatch.directory();
  State.Connections.sweep([&](const WorkerId &Id, Incarnation Run) {
    const KnownWorker *Registered = Directory.find(Id);
    return Registered && Registered->Worker.Run == Run &&
           !Registered->Worker.Leaving;
  });
  Sync.tick();
  State.AccountLimits.tick();
  State.Loads.tick();
  catchUpWithPeers();
  joinByStore();
  State.giveBackMemory();
}

bool GatewayDaemon::isReady() const {
  // The store's copy may be older than what the other hosts have in force.
  const bool AwaitsPeers = !Settings.Seeds.empty() && !Sync.knowsHeldRows() &&
                           State.now() < StartedAt + JoinDelay;
  return State.Config && !Stopping && !AwaitsPeers &&
         !State.Dispatch.directory().workers().empty();
}

transport::HttpResponse
GatewayDaemon::answerReadiness(const transport::HttpRequest &Request) const {
  const bool KnownPath = transport::targetPath({Request.target().data(),
                                                Request.target().size()}) ==
                         Platform.Wire.ReadinessPath;
  const auto Status = !KnownPath  ? http::status::not_found
                      : isReady() ? http::status::ok
                                  : http::status::service_unavailable;
  return transport::jsonResponse(Request, Status, "{}");
}

transport::HttpResponse
GatewayDaemon::answerLookup(const transport::HttpRequest &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  if (transport::targetPath(Target) != Platform.Wire.LookupPath)
    return transport::errorResponse(Request, http::status::not_found,
                                    "not_found", "no such call");
  const LookupQuery Query = Platform.Wire.ParseLookup(Target);
  std::vector<RegionName> HomeRegions;
  if (State.Config)
    for (const Route &Candidate : State.Config->Routes)
      if (Candidate.HostName == Query.HostName)
        HomeRegions.insert(HomeRegions.end(), Candidate.HomeRegions.begin(),
                           Candidate.HomeRegions.end());
  LookupCriteria Criteria;
  Criteria.Region = Query.Region.empty() ? Settings.Region : Query.Region;
  Criteria.HomeRegions = HomeRegions;
  std::vector<std::string> Addresses;
  for (const MemberRecord *Member : lookupHosts(Gossip->members(), Criteria))
    Addresses.push_back(Member->Host.Address + ":" +
                        std::to_string(Member->Host.TrafficPort));
  State.Stats.count("lookups", Addresses.empty() ? "empty" : "answered");
  if (Addresses.empty())
    return transport::errorResponse(Request, http::status::service_unavailable,
                                    "unavailable", "no host takes callers");
  return transport::jsonResponse(
      Request, http::status::ok,
      Platform.Wire.LookupAnswer(Addresses, Settings.LookupTtl));
}

transport::HttpResponse
GatewayDaemon::answerMetrics(const transport::HttpRequest &Request) const {
  const std::string_view Path =
      transport::targetPath({Request.target().data(), Request.target().size()});
  if (Path == AccountsPath)
    return answerAccounts(State, Request);
  if (Path == ExplainPath)
    return answerExplain(State, Request);
  std::vector<std::pair<std::string, double>> Gauges{
      {"config_version", static_cast<double>(State.configVersion())},
      {"requests_in_flight", *State.InFlight},
      {"store_connected", Sync.isConnected() ? 1 : 0},
      {"store_era", storeEra()},
      {"log_lines_dropped", static_cast<double>(State.Log.dropped())},
      {"caller_connections",
       static_cast<double>(Servers->Traffic->openConnections())},
      {"worker_connections",
       static_cast<double>(State.Connections.openConnections())},
      {"worker_connections_opened",
       static_cast<double>(State.Connections.connectionsOpened())},
      {"workers_known",
       static_cast<double>(State.Dispatch.directory().workers().size())},
      {"load_exchange_active", State.Loads.isActive() ? 1 : 0},
      {"load_gatherer", State.Loads.isGatherer() ? 1 : 0},
      {"operator_behind_seconds",
       std::chrono::duration<double>(Sync.behindFor(StoreTable::Operator))
           .count()},
      {"workers_behind_seconds",
       std::chrono::duration<double>(Sync.behindFor(StoreTable::Workers))
           .count()},
      {"members", static_cast<double>(Gossip ? Gossip->members().size() : 0)}};
  transport::HttpResponse Answer = transport::jsonResponse(
      Request, http::status::ok, State.Stats.text(Gauges));
  Answer.set(http::field::content_type, "text/plain; version=0.0.4");
  return Answer;
}

void GatewayDaemon::reload() {
  auto Loaded = capture<GatewaySettings>([this] { return LoadSettings(); });
  if (const auto *Problem = std::get_if<Error>(&Loaded)) {
    State.Log.write(LogClass::Decision, "reload_failed",
                    {{"error", describe(*Problem)}});
    return;
  }
  auto &New = std::get<GatewaySettings>(Loaded);
  const bool AddressesChanged =
      New.Traffic != Settings.Traffic || New.Lookup != Settings.Lookup ||
      New.Readiness != Settings.Readiness ||
      New.GossipPort != Settings.GossipPort ||
      New.PeerPort != Settings.PeerPort ||
      New.AccountPort != Settings.AccountPort ||
      New.LoadPort != Settings.LoadPort || New.Host != Settings.Host;
  if (AddressesChanged) {
    State.Log.write(LogClass::Decision, "reload_partial",
                    {{"reason", "addresses change at the next start only"}});
    New.Traffic = Settings.Traffic;
    New.Lookup = Settings.Lookup;
    New.Readiness = Settings.Readiness;
    New.GossipPort = Settings.GossipPort;
    New.PeerPort = Settings.PeerPort;
    New.AccountPort = Settings.AccountPort;
    New.LoadPort = Settings.LoadPort;
    New.Host = Settings.Host;
  }
  Settings = std::move(New);
  State.AccountLimits.settingsChanged();
  State.Log.write(
      LogClass::Decision, "reloaded",
      {{"seeds", static_cast<std::uint64_t>(Settings.Seeds.size())}});
}

void GatewayDaemon::requestStop() {
  if (std::exchange(Stopping, true))
    return;
  State.Log.write(LogClass::Decision, "stopping",
                  {{"in_flight", *State.InFlight},
                   {"connections", static_cast<std::uint64_t>(
                                       Servers->Traffic->openConnections())}});
  // An exchange may last one TimeoutSlack longer than its request's deadline;
  // the second one is a margin before the remaining requests are ended.
  State.StopAt = State.now() + Settings.GracePeriod - StopReserve -
                 2 * Settings.TimeoutSlack;
  if (Gossip)
    Gossip->planLeave();
  State.AccountLimits.membersChanged();
  State.Loads.membersChanged();
  Servers->Traffic->closeAfterAnswers();
  StopTimer.expires_after(
      std::min(Settings.ServeCached, Settings.GracePeriod / 2));
  StopTimer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      finishRequests();
  });
}

void GatewayDaemon::finishRequests() {
  StopTimer.expires_after(
      Settings.GracePeriod -
      std::min(Settings.ServeCached, Settings.GracePeriod / 2) - StopReserve);
  StopTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure)
      return;
    State.Log.write(LogClass::Decision, "grace_over",
                    {{"in_flight", *State.InFlight}});
    Servers->Traffic->endRequests();
    StopTimer.expires_after(AnswerReserve);
    StopTimer.async_wait([this](boost::system::error_code Cancelled) {
      if (!Cancelled)
        end();
    });
  });
  Servers->Traffic->drain([this] { end(); });
}

void GatewayDaemon::end() {
  if (std::exchange(Ended, true))
    return;
  State.Log.write(LogClass::Decision, "stopped",
                  {{"log_lines_dropped", State.Log.dropped()}});
  if (Gossip)
    Gossip->leave();
  Sync.stop();
  State.AccountLimits.stop();
  State.Loads.stop();
  TickTimer.cancel();
  StopTimer.cancel();
  State.Log.stop();
  // Pending calls to the store would keep the io_context busy for seconds.
  Io.stop();
}

} // namespace masticgap::gateway
