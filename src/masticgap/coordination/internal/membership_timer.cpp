#include "masticgap/coordination/internal/membership_impl.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Maximum number of pings per period to members of which views differ.
constexpr std::size_t VerifyPerPeriod = 8;
//! Maximum number of requests for one page before a sync is aborted.
constexpr unsigned MaxSyncSends = 5;
//! Interval between removals of members that ended long ago.
constexpr std::chrono::seconds ForgetInterval{10};

} // namespace

void Membership::Impl::tick(Instant Now) {
  // If this process was paused, time limits have expired while it could not
  // receive messages from other members. They are restarted.
  if (Now - NextPeriod > Settings.Timing.SuspicionTime) {
    ActiveProbe.reset();
    Table.extendSuspicions(Now + Settings.Timing.SuspicionTime);
  }
  Rumors.expire(Now);
  expireSuspicions(Now);
  if (ActiveProbe && !ActiveProbe->IndirectSent &&
      Now >= ActiveProbe->DirectUntil)
    sendIndirect(Now);
  if (Now >= NextPeriod)
    startPeriod(Now);
  const auto IsStored = [this](std::uint64_t Id) {
    return Rumors.find(Id) != nullptr;
  };
  apply(Spread.tick(Table.all(), IsStored, Now), Now);
}

void Membership::Impl::startPeriod(Instant Now) {
  NextPeriod = std::max(NextPeriod + Settings.Timing.Period, Now);
  if (NextPeriod == Now)
    NextPeriod += Settings.Timing.Period;
  endProbe(Now);
  retrySync(Now);
  verifyMembers(Now);
  probeEndedMembers(Now);
  if (Now >= NextForget) {
    Table.forget(Now - Settings.Timing.ForgetDeadAfter,
                 Settings.Timing.MaxDeadMembers);
    NextForget = Now + ForgetInterval;
  }
  const MemberRecord *Target =
      Schedule.next(Table.all(), Settings.Self.Id, Random);
  if (!Target)
    return;
  ActiveProbe = Probe{++LastSequence, Target->Host.Id, Target->Host.Run,
                      Now + Settings.Timing.DirectTimeout, false};
  send(gossipEndpoint(*Target), Ping{LastSequence}, Now, &ActiveProbe->Target);
}

void Membership::Impl::endProbe(Instant Now) {
  if (!ActiveProbe)
    return;
  const MemberRecord *Target = Table.find(ActiveProbe->Target);
  if (Target && Target->Host.Run == ActiveProbe->Run &&
      Target->Status == MemberStatus::Alive)
    setStatus(ActiveProbe->Target, MemberStatus::Suspect, Now);
  ActiveProbe.reset();
}

void Membership::Impl::sendIndirect(Instant Now) {
  ActiveProbe->IndirectSent = true;
  const MemberRecord *Target = Table.find(ActiveProbe->Target);
  if (!Target)
    return;
  const Endpoint Address = gossipEndpoint(*Target);
  std::vector<const MemberRecord *> Helpers;
  for (const MemberRecord &Member : Table.all())
    if (Member.Status == MemberStatus::Alive &&
        Member.Host.Id != Settings.Self.Id &&
        Member.Host.Id != ActiveProbe->Target)
      Helpers.push_back(&Member);
  std::vector<const MemberRecord *> Chosen;
  std::ranges::sample(Helpers, std::back_inserter(Chosen),
                      Settings.Timing.IndirectProbes, Random);
  for (const MemberRecord *Helper : Chosen)
    send(gossipEndpoint(*Helper),
         PingRequest{ActiveProbe->Sequence, ActiveProbe->Target, Address}, Now,
         &Helper->Host.Id);
}

void Membership::Impl::setStatus(const HostId &Id, MemberStatus Status,
                                 Instant Now) {
  MemberRecord Record = *Table.find(Id);
  Record.Status = Status;
  const Instant Until = Now + Settings.Timing.SuspicionTime;
  if (Table.merge(Record, Now, Until) == MergeResult::Changed)
    recordChange(*Table.find(Id), true, Source::Gossip, Now);
}

void Membership::Impl::expireSuspicions(Instant Now) {
  std::vector<HostId> Due;
  for (const auto &[Id, End] : Table.suspicions())
    if (End <= Now)
      Due.push_back(Id);
  for (const HostId &Id : Due)
    setStatus(Id, MemberStatus::Dead, Now);
}

void Membership::Impl::probeEndedMembers(Instant Now) {
  const bool Alone = Table.liveCount() == 1;
  if (!Alone && Now < NextDeadProbe)
    return;
  NextDeadProbe = Now + Settings.Timing.DeadProbeInterval;
  std::vector<std::pair<Endpoint, HostId>> Candidates;
  for (const auto &[Id, Since] : Table.ended())
    if (const MemberRecord *Member = Table.find(Id);
        Member->Status == MemberStatus::Dead)
      Candidates.emplace_back(gossipEndpoint(*Member), Id);
  for (const Endpoint &Seed : Settings.Seeds)
    if (std::ranges::none_of(Table.all(), [&](const MemberRecord &Member) {
          return gossipEndpoint(Member) == Seed;
        }))
      Candidates.emplace_back(Seed, HostId());
  if (Candidates.empty())
    return;
  std::uniform_int_distribution<std::size_t> Pick(0, Candidates.size() - 1);
  const auto &[To, Id] = Candidates[Pick(Random)];
  send(To, Ping{++LastSequence}, Now, &Id);
}

void Membership::Impl::verifyMembers(Instant Now) {
  for (std::size_t I = 0; I < VerifyPerPeriod && !ToVerify.empty(); ++I) {
    const HostId Id = std::move(ToVerify.back());
    ToVerify.pop_back();
    const MemberRecord *Member = Table.find(Id);
    if (Member && Member->Status == MemberStatus::Dead)
      send(gossipEndpoint(*Member), Ping{++LastSequence}, Now, &Id);
  }
}

void Membership::Impl::retrySync(Instant Now) {
  if (!ActiveSync)
    return;
  if (ActiveSync->Sends < MaxSyncSends)
    return sendSyncRequest(Now);
  ActiveSync.reset();
  LastSync = Now;
}

} // namespace masticgap::coordination
