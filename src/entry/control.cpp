#include "entry/control.hpp"

#include "masticgap/coordination/at_most_once.hpp"
#include "masticgap/coordination/steering_table_builder.hpp"
#include "masticgap/state/captured.hpp"

#include <boost/leaf/error.hpp>
#include <glog/logging.h>

#include <utility>

namespace masticgap::entry {

using namespace coordination;

namespace {

//! Changes within this time are published together.
constexpr std::chrono::milliseconds PublishDelay{5};
//! Period of telling peers the own epoch.
constexpr std::chrono::milliseconds ProgressPeriod{1000};

ConfigFollower makeFollower(const ControlContext &Context) {
  return ConfigFollower::Builder(Context.Self.Id, Context.Self.Domain)
      .seed(Context.Seed + 1)
      .build();
}

SteeringTable makeTable(std::span<const MemberRecord> Members) {
  std::vector<SteeringHost> Hosts;
  for (const MemberRecord &Each : Members)
    // A host without a version has no configuration or no workers yet.
    if (takesCallers(Each) && Each.ConfigVersion > 0)
      Hosts.push_back({Each.Host, 1});
  auto Built = capture<SteeringTable>(
      [&] { return SteeringTableBuilder().hosts(std::move(Hosts)).build(); });
  if (auto *Table = std::get_if<SteeringTable>(&Built))
    return std::move(*Table);
  LOG(ERROR) << describe(std::get<Error>(Built));
  return {};
}

} // namespace

Control::Control(ControlContext Given)
    : Context(std::move(Given)), Hybrid(Context.Self.Run, Context.Start),
      Log(Context.Self.Id, Hybrid),
      Platform(Context.Io, Context.Settings.Platform),
      Hosts(
          Context.Io, Platform, Context.Seed + 2,
          [this](protocol::HostList List) { onHostList(std::move(List)); },
          [this] { return somePeer(); }),
      Probes(Context.Io, Context.Settings.ProbeInterval,
             [this](const WorkerDescriptor &Worker, const WorkerLoad &Load) {
               onLoad(Worker, Load);
             }),
      Config(Context.Io, Platform, makeFollower(Context),
             {[this](const std::shared_ptr<const ConfigDocument> &Document) {
                onConfig(Document);
              },
              [this](const HostId &Peer) -> std::optional<Endpoint> {
                const MemberRecord *Found = Current->liveMember(Peer);
                if (!Found)
                  return std::nullopt;
                return Endpoint{Found->Host.Address, Found->Host.AdminPort};
              },
              Context.Clock}),
      Links(Context.Io, Platform,
            LinkGrants(Context.Self.Id, Context.Self.Run, Context.Seed + 3),
            {Context.Out.Granted, Context.Out.CapSeen, Context.Clock}),
      ProgressTimer(Context.Io), PublishTimer(Context.Io),
      Current(std::make_shared<SteeringSnapshot>()), Random(Context.Seed + 6) {}

Control::~Control() = default;

const ConfigFollower &Control::follower() const { return Config.follower(); }

transport::GossipCallbacks Control::callbacks() {
  return {[this](const MemberRecord &Changed) { onMembers(Changed); },
          [this](const MemberRecord &Progressed) {
            Config.feed(PeerConfigVersion{Progressed.Host.Id,
                                          Progressed.ConfigVersion});
            publishSoon();
          },
          [this](const TimedRumor &Learned) { onRumor(Learned.What); },
          [this](const MemberRecord &Newer) {
            LOG(ERROR) << "another process runs as host " << Newer.Host.Id
                       << "; this one stops";
            Context.Out.Superseded();
          }};
}

boost::leaf::result<void> Control::start() {
  transport::GossipNodeSettings Node;
  Node.Membership.Self = Context.Self;
  Node.Membership.Seeds = Context.Settings.Seeds;
  Node.Membership.RandomSeed = Context.Seed + 4;
  Node.BindAddress = Context.Settings.Address;
  Node.BindPort = Context.Settings.GossipPort;
  Node.Now = Context.Clock;
  BOOST_LEAF_ASSIGN(Gossip,
                    transport::GossipNode::start(Context.Io, std::move(Node),
                                                 Hybrid, callbacks()));
  Context.Self.GossipPort = Gossip->port();
  Log.record(EventKind::ProcessStarted, {}, now());
  publish();
  onMembers(Gossip->self());
  Hosts.start();
  Probes.start();
  Config.feed(ConfigTick{});
  updateProgress();
  armProgress();
  return {};
}

void Control::armProgress() {
  ProgressTimer.expires_after(ProgressPeriod);
  ProgressTimer.async_wait([this](boost::system::error_code Failure) {
    if (Failure || Stopped)
      return;
    updateProgress();
    armProgress();
  });
}

void Control::updateProgress() {
  const auto Epoch =
      static_cast<std::uint64_t>((now() - Context.Start) / EpochLength);
  const ConfigDocument *Document = Config.follower().current();
  // Peers offer this host in look-ups once it announces a version, so it
  // announces none before it knows the workers.
  Gossip->setProgress(Document && Listed ? Document->Version : 0, Epoch);
}

void Control::onHostList(protocol::HostList List) {
  Listed = std::move(List);
  for (const WorkerDescriptor &Each : Listed->Workers)
    if (Each.Leaving)
      workerLeaves(Each);
  Probes.workers(Listed->Workers);
  updateProgress();
  publish();
}

std::optional<Endpoint> Control::somePeer() {
  std::vector<Endpoint> Peers;
  for (const MemberRecord &Each : Gossip->members())
    if (isLive(Each) && Each.Host.Id != Context.Self.Id)
      Peers.push_back({Each.Host.Address, Each.Host.AdminPort});
  if (Peers.empty())
    return std::nullopt;
  std::uniform_int_distribution<std::size_t> Draw(0, Peers.size() - 1);
  return Peers[Draw(Random)];
}

void Control::onLoad(const WorkerDescriptor &Worker, const WorkerLoad &Load) {
  // A report of another run says nothing about the listed one.
  if (Load.Run != Worker.Run && Load.Run.Value != 0)
    return;
  if (Load.Leaving)
    workerLeaves(Worker);
  Context.Out.Load(Worker.Service, Worker.Id, Load.Load);
}

void Control::workerLeaves(const WorkerDescriptor &Worker) {
  if (!KnownLeaving.emplace(Worker.Id, Worker.Run).second)
    return;
  const WorkerLeaving What{Worker.Id, Worker.Run};
  EventFields Fields;
  Fields.Worker = Worker.Id;
  Log.record(EventKind::WorkerLeaving, Fields, now());
  Context.Out.Learned(What);
  Gossip->spread(What);
}

void Control::onConfig(const std::shared_ptr<const ConfigDocument> &Document) {
  EventFields Fields;
  Fields.Change = Document->ChangeId;
  Fields.Detail = std::to_string(Document->Version);
  Log.record(EventKind::ConfigInForce, Fields, now());
  Links.feed(LinkConfigApplied{*Document});
  if (Announcer.recordAccepted(Document->Version))
    Gossip->spread(ConfigVersionSeen{Document->Version});
  updateProgress();
  publish();
}

void Control::onMembers(const MemberRecord &Changed) {
  EventFields Fields;
  Fields.Subject = Changed.Host.Id;
  Fields.Detail = isLive(Changed) ? "live" : "gone";
  Log.record(EventKind::MemberChanged, Fields, now());
  std::vector<LiveHost> Live;
  for (const MemberRecord &Each : Gossip->members())
    if (isLive(Each))
      Live.push_back({Each.Host.Id, Each.Host.Domain});
  Hosts.hostCount(Live.size());
  Config.feed(ConfigMembersChanged{std::move(Live)});
  if (Changed.ConfigVersion > 0)
    Config.feed(PeerConfigVersion{Changed.Host.Id, Changed.ConfigVersion});
  publishSoon();
}

void Control::onRumor(const Rumor &What) {
  if (const auto *Seen = std::get_if<ConfigVersionSeen>(&What)) {
    Announcer.recordRumor(Seen->Version);
    // The rumor does not name its origin; any peer that has the version will.
    Config.feed(ConfigNotified{Seen->Version});
    return;
  }
  if (const auto *Leaving = std::get_if<WorkerLeaving>(&What))
    KnownLeaving.emplace(Leaving->Worker, Leaving->Run);
  Context.Out.Learned(What);
}

void Control::spread(const Rumor &What, std::function<void()> Done) {
  if (const auto *Leaving = std::get_if<WorkerLeaving>(&What))
    if (!KnownLeaving.emplace(Leaving->Worker, Leaving->Run).second)
      return Done();
  if (Stopped)
    return Done();
  Gossip->spread(What,
                 [Done = std::move(Done)](const RumorSettled &) { Done(); });
}

void Control::addEvents(std::vector<TrafficEvent> Events) {
  for (TrafficEvent &Each : Events)
    Log.record(Each.Kind, std::move(Each.Fields), now());
}

void Control::addDemand(const std::vector<LinkDemand> &Demand) {
  for (const LinkDemand &Each : Demand)
    Links.feed(Each);
}

void Control::configNotified(std::uint64_t Version) {
  Config.feed(ConfigNotified{Version});
}

void Control::setDraining() {
  if (Draining)
    return;
  Draining = true;
  Gossip->planLeave();
  publish();
}

void Control::stop() {
  if (Stopped)
    return;
  Stopped = true;
  Hosts.stop();
  Probes.stop();
  Config.stop();
  Links.stop();
  ProgressTimer.cancel();
  PublishTimer.cancel();
  if (Gossip)
    Gossip->leave();
}

void Control::publishSoon() {
  if (PublishPending || Stopped)
    return;
  PublishPending = true;
  PublishTimer.expires_after(PublishDelay);
  PublishTimer.async_wait([this](boost::system::error_code Failure) {
    PublishPending = false;
    if (!Failure)
      publish();
  });
}

void Control::publish() {
  auto Next = std::make_shared<SteeringSnapshot>();
  Next->Config = Config.follower().shared();
  if (Listed) {
    Next->Workers = Listed->Workers;
    Next->EntryHosts = Listed->EntryHosts;
  }
  const auto Members = Gossip->members();
  Next->Members.assign(Members.begin(), Members.end());
  Next->Table = makeTable(Members);
  Next->Self = Context.Self;
  Next->Draining = Draining;
  Current = std::move(Next);
  Context.Out.Publish(Current);
}

} // namespace masticgap::entry
