#include "masticgap/coordination/internal/membership_impl.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Maximum number of pings per period to members of which views differ.
constexpr std::size_t VerifyPerPeriod = 8;
//! Maximum number of requests for one page before a sync is aborted.
constexpr unsigned MaxSyncSends = 5;
constexpr std::chrono::seconds ForgetInterval{10};

} // namespace

void Membership::Impl::tick(Instant Now) {
  // If this process was paused, time limits have expired while it could not
  // receive messages from other members. They are restarted.
  if (Now - NextPeriod > Settings.Timing.SuspicionTime) {
    Current.reset();
    Table.extendSuspicions(Now + Settings.Timing.SuspicionTime);
  }
  Rumors.expire(Now);
  expireSuspicions(Now);
  if (Current && !Current->IndirectSent && Now >= Current->DirectUntil)
    sendIndirect(Now);
  if (Now >= NextPeriod)
    startPeriod(Now);
  apply(Spread.tick(Table.all(), Now), Now);
}

void Membership::Impl::startPeriod(Instant Now) {
  NextPeriod = std::max(NextPeriod + Settings.Timing.Period, Now);
  if (NextPeriod == Now)
    NextPeriod += Settings.Timing.Period;
  endProbe(Now);
  retrySync(Now);
  verify(Now);
  probeEnded(Now);
  if (Now >= NextForget) {
    Table.forget(Now - Settings.Timing.ForgetDeadAfter,
                 Settings.Timing.MaxDeadMembers);
    NextForget = Now + ForgetInterval;
  }
  const MemberRecord *Target =
      Schedule.next(Table.all(), Settings.Self.Id, Random);
  if (!Target)
    return;
  Current = Probe{++LastSequence, Target->Host.Id, Target->Host.Run,
                  Now + Settings.Timing.DirectTimeout, false};
  send(gossipEndpoint(*Target), Ping{LastSequence}, Now, &Current->Target);
}

void Membership::Impl::endProbe(Instant Now) {
  if (!Current)
    return;
  const MemberRecord *Target = Table.find(Current->Target);
  if (Target && Target->Host.Run == Current->Run &&
      Target->Status == MemberStatus::Alive)
    setStatus(Current->Target, MemberStatus::Suspect, Now);
  Current.reset();
}

void Membership::Impl::sendIndirect(Instant Now) {
  Current->IndirectSent = true;
  const MemberRecord *Target = Table.find(Current->Target);
  if (!Target)
    return;
  const Endpoint Address = gossipEndpoint(*Target);
  std::vector<const MemberRecord *> Helpers;
  for (const MemberRecord &Member : Table.all())
    if (Member.Status == MemberStatus::Alive &&
        Member.Host.Id != Settings.Self.Id && Member.Host.Id != Current->Target)
      Helpers.push_back(&Member);
  std::vector<const MemberRecord *> Chosen;
  std::ranges::sample(Helpers, std::back_inserter(Chosen),
                      Settings.Timing.IndirectProbes, Random);
  for (const MemberRecord *Helper : Chosen)
    send(gossipEndpoint(*Helper),
         PingRequest{Current->Sequence, Current->Target, Address}, Now,
         &Helper->Host.Id);
}

void Membership::Impl::setStatus(const HostId &Id, MemberStatus Status,
                                 Instant Now) {
  MemberRecord Record = *Table.find(Id);
  Record.Status = Status;
  const Instant Until = Now + Settings.Timing.SuspicionTime;
  if (Table.merge(Record, Now, Until) == MergeResult::Changed)
    noteChange(*Table.find(Id), true, Source::Gossip, Now);
}

void Membership::Impl::expireSuspicions(Instant Now) {
  std::vector<HostId> Due;
  for (const auto &[Id, End] : Table.suspicions())
    if (End <= Now)
      Due.push_back(Id);
  for (const HostId &Id : Due)
    setStatus(Id, MemberStatus::Dead, Now);
}

void Membership::Impl::probeEnded(Instant Now) {
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

void Membership::Impl::verify(Instant Now) {
  for (std::size_t I = 0; I < VerifyPerPeriod && !ToVerify.empty(); ++I) {
    const HostId Id = std::move(ToVerify.back());
    ToVerify.pop_back();
    const MemberRecord *Member = Table.find(Id);
    if (Member && Member->Status == MemberStatus::Dead)
      send(gossipEndpoint(*Member), Ping{++LastSequence}, Now, &Id);
  }
}

void Membership::Impl::retrySync(Instant Now) {
  if (!Syncing)
    return;
  if (Syncing->Sends < MaxSyncSends)
    return sendSyncRequest(Now);
  Syncing.reset();
  LastSync = Now;
}

} // namespace masticgap::coordination
