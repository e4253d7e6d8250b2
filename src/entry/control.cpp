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

//! Changes within this time are combined into one snapshot.
constexpr std::chrono::milliseconds PublishDelay{5};
//! Period of announcing this host's epoch to the peers.
constexpr std::chrono::milliseconds ProgressPeriod{1000};

ConfigFollower makeFollower(const ControlContext &Context) {
  return ConfigFollower::Builder(Context.Self.Id, Context.Self.Domain)
      .seed(Context.Seed + 1)
      .build();
}

SteeringTable makeTable(std::span<const MemberRecord> Members) {
  std::vector<SteeringHost> Hosts;
  for (const MemberRecord &Each : Members)
    // A host that announces no version has no configuration or no host list.
    if (takesCallers(Each) && Each.ConfigVersion > 0)
      Hosts.push_back({Each.Host, 1});
  auto Built = capture<SteeringTable>(
      [&] { return SteeringTableBuilder().hosts(std::move(Hosts)).build(); });
  if (auto *Table = std::get_if<SteeringTable>(&Built))
    return std::move(*Table);
  LOG(ERROR) << "steering table not built, look-ups find no host: "
             << describe(std::get<Error>(Built));
  return {};
}

} // namespace

Control::Control(ControlContext Parameters)
    : Context(std::move(Parameters)),
      EventClock(Context.Self.Run, Context.Start),
      Log(Context.Self.Id, EventClock),
      Platform(Context.Io, Context.Settings.Platform),
      Hosts(
          Context.Io, Platform, Context.Seed + 2,
          [this](protocol::HostList List) { onHostList(std::move(List)); },
          [this] { return randomPeer(); }),
      Probes(Context.Io, Context.Settings.ProbeInterval,
             [this](const WorkerDescriptor &Worker, const WorkerLoad &Load) {
               onLoad(Worker, Load);
             }),
      Config(Context.Io, Platform, makeFollower(Context),
             {[this](const std::shared_ptr<const ConfigDocument> &Document) {
                onConfig(Document);
              },
              [this](const HostId &Peer) -> std::optional<Endpoint> {
                const MemberRecord *Found = CurrentSnapshot->liveMember(Peer);
                if (!Found)
                  return std::nullopt;
                return Endpoint{Found->Host.Address, Found->Host.AdminPort};
              },
              Context.Clock}),
      Links(Context.Io, Platform,
            LinkGrants(Context.Self.Id, Context.Self.Run, Context.Seed + 3),
            {Context.Out.Granted, Context.Out.CapSeen, Context.Clock}),
      ProgressTimer(Context.Io), PublishTimer(Context.Io),
      CurrentSnapshot(std::make_shared<SteeringSnapshot>()),
      Random(Context.Seed + 6) {}

Control::~Control() = default;

const ConfigFollower &Control::follower() const { return Config.follower(); }

transport::GossipCallbacks Control::callbacks() {
  return {[this](const MemberRecord &Changed) { onMemberChanged(Changed); },
          [this](const MemberRecord &Progressed) {
            Config.handleEvent(PeerConfigVersion{Progressed.Host.Id,
                                                 Progressed.ConfigVersion});
            publishSoon();
          },
          [this](const TimedRumor &Learned) { onRumor(Learned.What); },
          [this](const MemberRecord &Newer) {
            LOG(ERROR) << "another process runs with host id " << Newer.Host.Id
                       << "; this process stops";
            Context.Out.Superseded();
          },
          {},
          {}};
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
                                                 EventClock, callbacks()));
  Context.Self.GossipPort = Gossip->port();
  Log.record(EventKind::ProcessStarted, {}, now());
  publish();
  onMemberChanged(Gossip->self());
  Hosts.start();
  Probes.start();
  Config.handleEvent(ConfigTick{});
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
  // Peers include this host in look-up answers once it announces a version, so
  // it announces none before it has received the list of workers.
  Gossip->setProgress(Document && NewestHostList ? Document->Version : 0,
                      Epoch);
}

void Control::onHostList(protocol::HostList List) {
  NewestHostList = std::move(List);
  for (const WorkerDescriptor &Each : NewestHostList->Workers)
    if (Each.Leaving)
      recordLeavingWorker(Each);
  Probes.setWorkers(NewestHostList->Workers);
  updateProgress();
  publish();
}

std::optional<Endpoint> Control::randomPeer() {
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
  // The report of another run does not apply to the listed run.
  if (Load.Run != Worker.Run && Load.Run.Value != 0)
    return;
  if (Load.Leaving)
    recordLeavingWorker(Worker);
  Context.Out.LoadReported(Worker.Service, Worker.Id, Load.Load);
}

void Control::recordLeavingWorker(const WorkerDescriptor &Worker) {
  if (!LeavingWorkers.emplace(Worker.Id, Worker.Run).second)
    return;
  const WorkerLeaving NewRumor{Worker.Id, Worker.Run};
  EventFields Fields;
  Fields.Worker = Worker.Id;
  Log.record(EventKind::WorkerLeaving, Fields, now());
  Context.Out.RumorReceived(NewRumor);
  Gossip->spread(NewRumor);
}

void Control::onConfig(const std::shared_ptr<const ConfigDocument> &Document) {
  EventFields Fields;
  Fields.Change = Document->ChangeId;
  Fields.Detail = std::to_string(Document->Version);
  Log.record(EventKind::ConfigInForce, Fields, now());
  Links.handleEvent(LinkConfigApplied{*Document});
  if (Announcer.recordAccepted(Document->Version))
    Gossip->spread(ConfigVersionSeen{Document->Version});
  updateProgress();
  publish();
}

void Control::onMemberChanged(const MemberRecord &Changed) {
  EventFields Fields;
  Fields.Subject = Changed.Host.Id;
  Fields.Detail = isLive(Changed) ? "live" : "gone";
  Log.record(EventKind::MemberChanged, Fields, now());
  std::vector<LiveHost> Live;
  for (const MemberRecord &Each : Gossip->members())
    if (isLive(Each))
      Live.push_back({Each.Host.Id, Each.Host.Domain});
  Hosts.setHostCount(Live.size());
  Config.handleEvent(ConfigMembersChanged{std::move(Live)});
  if (Changed.ConfigVersion > 0)
    Config.handleEvent(
        PeerConfigVersion{Changed.Host.Id, Changed.ConfigVersion});
  publishSoon();
}

void Control::onRumor(const Rumor &NewRumor) {
  if (const auto *Seen = std::get_if<ConfigVersionSeen>(&NewRumor)) {
    Announcer.recordRumor(Seen->Version);
    // The rumor does not name its origin; the version can be fetched from any
    // peer that has it.
    Config.handleEvent(ConfigNotified{Seen->Version});
    return;
  }
  if (const auto *Leaving = std::get_if<WorkerLeaving>(&NewRumor))
    LeavingWorkers.emplace(Leaving->Worker, Leaving->Run);
  Context.Out.RumorReceived(NewRumor);
}

void Control::spread(const Rumor &NewRumor, std::function<void()> Done) {
  if (const auto *Leaving = std::get_if<WorkerLeaving>(&NewRumor))
    if (!LeavingWorkers.emplace(Leaving->Worker, Leaving->Run).second)
      return Done();
  if (Stopped)
    return Done();
  Gossip->spread(NewRumor,
                 [Done = std::move(Done)](const RumorSettled &) { Done(); });
}

void Control::addEvents(std::vector<TrafficEvent> Events) {
  for (TrafficEvent &Each : Events)
    Log.record(Each.Kind, std::move(Each.Fields), now());
}

void Control::addDemand(const std::vector<LinkDemand> &Demand) {
  for (const LinkDemand &Each : Demand)
    Links.handleEvent(Each);
}

void Control::configNotified(std::uint64_t Version) {
  Config.handleEvent(ConfigNotified{Version});
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
  if (NewestHostList) {
    Next->Workers = NewestHostList->Workers;
    Next->EntryHosts = NewestHostList->EntryHosts;
  }
  const auto Members = Gossip->members();
  Next->Members.assign(Members.begin(), Members.end());
  Next->Table = makeTable(Members);
  Next->Self = Context.Self;
  Next->Draining = Draining;
  CurrentSnapshot = std::move(Next);
  Context.Out.Publish(CurrentSnapshot);
}

} // namespace masticgap::entry
