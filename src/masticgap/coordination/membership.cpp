#include "masticgap/coordination/membership.hpp"

#include "masticgap/coordination/gossip_size.hpp"
#include "masticgap/coordination/internal/membership_impl.hpp"
#include "masticgap/coordination/rumor_id.hpp"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Bytes of a message that are reserved for rumors while member updates are
//! queued.
constexpr std::size_t RumorReserveBytes = 256;
//! Maximum number of members that are notified directly when this member
//! leaves.
constexpr std::size_t LeaveMessages = 32;

MemberRecord initialRecord(const MembershipSettings &Settings) {
  MemberRecord Record;
  Record.Host = Settings.Self;
  Record.SizeClass = Settings.SizeClass;
  return Record;
}

} // namespace

Membership::Impl::Impl(MembershipSettings Initial, HybridClock &Stamps,
                       Instant Now)
    : Settings(std::move(Initial)), Clock(Stamps), Random(Settings.RandomSeed),
      Table(initialRecord(Settings)), Rumors(Settings.Timing.MaxRumors),
      Spread(Settings.Self.Id, Settings.Timing, Random()), NextPeriod(Now),
      NextDeadProbe(Now + Settings.Timing.DeadProbeInterval),
      NextForget(Now + Settings.Timing.DeadProbeInterval), LastViewChange(Now) {
}

unsigned Membership::Impl::transmitLimit() const {
  const auto Rounds = static_cast<unsigned>(std::bit_width(Table.liveCount()));
  return Settings.Timing.TransmitFactor * std::max(1U, Rounds);
}

GossipMessage Membership::Impl::header(GossipBody Body, Instant Now) {
  GossipMessage Message;
  Message.Sender = Table.self();
  Message.Stamp = Clock.stamp(Now);
  Message.MembersDigest = Table.digest();
  Message.RumorsDigest = Rumors.digest();
  Message.Body = std::move(Body);
  return Message;
}

void Membership::Impl::sendPlain(const Endpoint &To, GossipBody Body,
                                 Instant Now) {
  Actions.push_back(SendGossip{To, header(std::move(Body), Now)});
}

void Membership::Impl::send(const Endpoint &To, GossipBody Body, Instant Now,
                            const HostId *Receiver) {
  GossipMessage Message = header(std::move(Body), Now);
  std::size_t Budget = MaxGossipBytes - encodedSize(Message);
  const MemberRecord *Stored = Receiver ? Table.find(*Receiver) : nullptr;
  // The receiver can refute a suspicion only when it is informed of it.
  if (Stored && Stored->Status != MemberStatus::Alive) {
    Budget -= encodedSize(*Stored);
    Message.Updates.push_back(*Stored);
  }
  const std::size_t Reserve =
      Rumors.size() == 0 ? 0 : std::min(Budget, RumorReserveBytes);
  const unsigned Limit = transmitLimit();
  Budget -= Reserve;
  Queue.fillRecords(Message, Budget, Table, Limit);
  Budget += Reserve;
  Rumors.fill(Message, Budget, Limit, Now);
  Queue.fillVersions(Message, Budget, Table, Limit);
  Actions.push_back(SendGossip{To, std::move(Message)});
}

void Membership::Impl::apply(const SpreadStep &Step, Instant Now) {
  for (const RumorPushTo &Push : Step.Pushes) {
    const MemberRecord *To = Table.find(Push.To);
    // The receiver acknowledges the first rumor of the message.
    if (!To || !Rumors.find(Push.Rumors.front()))
      continue;
    GossipMessage Message = header(RumorPush{Push.Relay}, Now);
    for (const std::uint64_t Id : Push.Rumors)
      if (Rumors.find(Id))
        Message.Rumors.push_back(Rumors.timed(Id, Now));
    Actions.push_back(SendGossip{gossipEndpoint(*To), std::move(Message)});
  }
  for (const RelayCovered &Covered : Step.Covered)
    if (const MemberRecord *Origin = Table.find(Covered.Origin))
      sendPlain(gossipEndpoint(*Origin), RumorAck{Covered.Rumor, true}, Now);
  for (const SpreadEnded &Ended : Step.Ended) {
    const auto What = Spreading.extract(Ended.Rumor);
    Actions.push_back(
        RumorSettled{What.mapped(), Ended.AllAcknowledged, Ended.Missing});
  }
}

void Membership::Impl::share(const Rumor &What, Instant Now) {
  const auto Life = std::chrono::duration_cast<std::chrono::milliseconds>(
      Settings.Timing.RumorLifetime);
  if (fitsGossip(What))
    Rumors.learn({What, static_cast<std::uint32_t>(Life.count())}, Now);
}

void Membership::Impl::spread(const Rumor &What, Instant Now) {
  share(What, Now);
  const std::uint64_t Id = rumorId(What);
  if (Table.liveCount() == 1) {
    Actions.push_back(RumorSettled{What, true, {}});
    return;
  }
  if (Rumors.find(Id)) {
    Spreading.try_emplace(Id, What);
    apply(Spread.start(Id, Now), Now);
    return;
  }
  // The name is too long for a message, or a larger configuration version is
  // known, which all members receive instead.
  const bool Obsolete = std::holds_alternative<ConfigVersionSeen>(What);
  Actions.push_back(RumorSettled{What, Obsolete, {}});
}

void Membership::Impl::raiseRevision(std::uint32_t Above) {
  MemberRecord Own = Table.self();
  Own.Revision = std::max(Own.Revision, Above) + 1;
  Table.replaceSelf(Own);
}

void Membership::Impl::planLeave() {
  if (Table.self().Draining)
    return;
  MemberRecord Own = Table.self();
  Own.Draining = true;
  ++Own.Revision;
  Table.replaceSelf(Own);
  Queue.pushRecord(Own.Host.Id);
}

void Membership::Impl::leave(Instant Now) {
  MemberRecord Own = Table.self();
  Own.Status = MemberStatus::Left;
  ++Own.Revision;
  Table.replaceSelf(Own);
  std::vector<Endpoint> Receivers;
  for (const MemberRecord &Member : Table.all())
    if (isLive(Member))
      Receivers.push_back(gossipEndpoint(Member));
  std::ranges::shuffle(Receivers, Random);
  Receivers.resize(std::min(Receivers.size(), LeaveMessages));
  // Each message carries the sender's record. No ping has the number 0, so the
  // Ack has no other effect.
  for (const Endpoint &To : Receivers)
    sendPlain(To, Ack{0, Own.Host.Id, Own.Host.Run}, Now);
  Stopped = true;
}

void Membership::Impl::setProgress(std::uint64_t ConfigVersion,
                                   std::uint64_t Epoch) {
  MemberRecord Own = Table.self();
  Own.ConfigVersion = std::max(Own.ConfigVersion, ConfigVersion);
  Own.Epoch = std::max(Own.Epoch, Epoch);
  Table.replaceSelf(Own);
}

void Membership::Impl::addSeeds(std::span<const Endpoint> Seeds) {
  for (const Endpoint &Seed : Seeds)
    if (std::ranges::find(Settings.Seeds, Seed) == Settings.Seeds.end())
      Settings.Seeds.push_back(Seed);
}

Instant Membership::Impl::nextDeadline() const {
  if (Stopped)
    return Instant::max();
  Instant Next = NextPeriod;
  if (ActiveProbe && !ActiveProbe->IndirectSent)
    Next = std::min(Next, ActiveProbe->DirectUntil);
  for (const auto &[Id, End] : Table.suspicions())
    Next = std::min(Next, End);
  return std::min(Next, Spread.nextDeadline().value_or(Next));
}

std::size_t Membership::Impl::stateBytes() const {
  constexpr std::size_t RumorBytes = 128;
  constexpr std::size_t QueueEntryBytes = 48;
  constexpr std::size_t ProbeOrderBytes = sizeof(HostId);
  return sizeof(Impl) + Table.stateBytes() + Rumors.size() * RumorBytes +
         Queue.size() * QueueEntryBytes + Table.all().size() * ProbeOrderBytes;
}

Membership::Membership(MembershipSettings Settings, HybridClock &Clock,
                       Instant Now)
    : State(std::make_unique<Impl>(std::move(Settings), Clock, Now)) {}

Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;

std::vector<MembershipAction> Membership::handle(const MembershipEvent &Event,
                                                 Instant Now) {
  if (State->stopped())
    return {};
  if (const auto *Received = std::get_if<GossipReceived>(&Event))
    State->receive(*Received, Now);
  else if (const auto *Learned = std::get_if<MembersLearned>(&Event))
    State->learn(Learned->Records, Now);
  else
    State->tick(Now);
  return State->take();
}

Instant Membership::nextDeadline() const { return State->nextDeadline(); }

void Membership::share(const Rumor &What, Instant Now) {
  State->share(What, Now);
}

std::vector<MembershipAction> Membership::spread(const Rumor &What,
                                                 Instant Now) {
  State->spread(What, Now);
  return State->take();
}

std::vector<MembershipAction> Membership::planLeave(Instant Now) {
  State->planLeave();
  static_cast<void>(Now);
  return State->take();
}

std::vector<MembershipAction> Membership::leave(Instant Now) {
  if (!State->stopped())
    State->leave(Now);
  return State->take();
}

void Membership::setProgress(std::uint64_t ConfigVersion, std::uint64_t Epoch) {
  State->setProgress(ConfigVersion, Epoch);
}

void Membership::addSeeds(std::span<const Endpoint> Seeds) {
  State->addSeeds(Seeds);
}

std::span<const MemberRecord> Membership::members() const {
  return State->table().all();
}

const MemberRecord &Membership::self() const { return State->table().self(); }

std::vector<TimedRumor> Membership::rumors(Instant Now) const {
  return State->rumors().all(Now);
}

std::size_t Membership::stateBytes() const { return State->stateBytes(); }

} // namespace masticgap::coordination
