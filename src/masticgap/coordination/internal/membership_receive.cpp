#include "masticgap/coordination/gossip_size.hpp"
#include "masticgap/coordination/internal/membership_impl.hpp"
#include "masticgap/coordination/rumor_id.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Maximum number of relayed pings with an outstanding Ack.
constexpr std::size_t MaxRelayedPings = 64;
//! Maximum number of members queued for a ping because views of them differ.
constexpr std::size_t MaxToVerify = 1024;
//! A view that changes continuously is compared once per this number of sync
//! intervals.
constexpr int BusySyncFactor = 4;

//! Returns whether two records of one member tell the same about it.
bool isSameNews(const MemberRecord &Left, const MemberRecord &Right) {
  return Left.Host.Run == Right.Host.Run && Left.Revision == Right.Revision &&
         Left.Status == Right.Status && Left.Draining == Right.Draining;
}

} // namespace

void Membership::Impl::receive(const GossipReceived &Event, Instant Now) {
  const GossipMessage &Message = Event.Message;
  Clock.observe(Message.Stamp, Now);
  const Source From = std::holds_alternative<SyncPage>(Message.Body)
                          ? Source::FullView
                          : Source::Gossip;
  mergeRecord(Message.Sender, Source::Gossip, Now);
  for (const MemberRecord &Record : Message.Updates) {
    const MemberRecord *Stored = Table.find(Record.Host.Id);
    if (From == Source::Gossip && Stored && isSameNews(Record, *Stored))
      Queue.recordHeard(Record.Host.Id);
    mergeRecord(Record, From, Now);
  }
  for (const VersionHolders &Holders : Message.Versions)
    for (const std::uint64_t Key : Holders.Members) {
      if (const auto *Grown = Table.raiseVersion(Key, Holders.ConfigVersion))
        recordProgress(*Grown, true);
      else if (const auto *Known = Table.findByKey(Key);
               Known && Known->ConfigVersion == Holders.ConfigVersion)
        Queue.versionHeard(Known->Host.Id);
    }
  bool LearnedRumor = false;
  for (const TimedRumor &Item : Message.Rumors)
    LearnedRumor |= learnRumor(Item, Now);
  if (LearnedRumor && std::holds_alternative<RumorPush>(Message.Body))
    Spread.recordHeard(Now);
  std::visit([&](const auto &Body) { on(Body, Event, Now); }, Message.Body);
  compareViews(Event, Now);
}

void Membership::Impl::learn(const std::vector<MemberRecord> &Records,
                             Instant Now) {
  for (const MemberRecord &Record : Records)
    mergeRecord(Record, Source::FullView, Now);
}

void Membership::Impl::mergeSelf(const MemberRecord &Record) {
  const MemberRecord &Own = Table.self();
  if (Record.Host.Run > Own.Host.Run) {
    if (!Superseded)
      Actions.push_back(SelfSuperseded{Record});
    Superseded = true;
    return;
  }
  if (!supersedes(Record, Own))
    return;
  raiseRevision(Record.Revision);
  Queue.pushRecord(Own.Host.Id);
}

void Membership::Impl::mergeRecord(MemberRecord Record, Source From,
                                   Instant Now) {
  const HostId Id = Record.Host.Id;
  if (Id == Settings.Self.Id)
    return mergeSelf(Record);
  // Records that are not learned by gossip can be older than a partition, so
  // the member is given time to refute its death.
  if (From == Source::FullView && Record.Status == MemberStatus::Dead)
    Record.Status = MemberStatus::Suspect;
  const MemberRecord *Stored = Table.find(Id);
  const bool WasLive = Stored && isLive(*Stored);
  const std::uint64_t Version = Stored ? Stored->ConfigVersion : 0;
  if (Stored && Stored->Status == MemberStatus::Dead && isLive(Record) &&
      Record.Host.Run == Stored->Host.Run && !supersedes(Record, *Stored) &&
      ToVerify.size() < MaxToVerify &&
      std::ranges::find(ToVerify, Id) == ToVerify.end())
    ToVerify.push_back(Id);
  switch (Table.merge(Record, Now, Now + Settings.Timing.SuspicionTime)) {
  case MergeResult::Ignored:
    return;
  case MergeResult::Progressed:
    return recordProgress(*Table.find(Id),
                          Table.find(Id)->ConfigVersion > Version);
  case MergeResult::Changed:
    return recordChange(*Table.find(Id), WasLive, From, Now);
  }
}

void Membership::Impl::recordChange(const MemberRecord &Record, bool WasLive,
                                    Source From, Instant Now) {
  const HostId &Id = Record.Host.Id;
  // Until its first sync ends, a joining member reads all records from another
  // one, which has gossiped them already.
  if (From == Source::Gossip || LastSync)
    Queue.pushRecord(Id);
  LastViewChange = Now;
  Actions.push_back(MemberChanged{Record});
  if (WasLive || !isLive(Record))
    return;
  Schedule.add(Id, Random);
  Rumors.resetSends();
}

//! Configuration versions are forwarded. Epochs spread only through direct
//! contact, because all members change theirs every minute.
void Membership::Impl::recordProgress(const MemberRecord &Record,
                                      bool VersionGrew) {
  if (VersionGrew)
    Queue.pushVersion(Record.Host.Id);
  Actions.push_back(MemberProgressed{Record});
}

bool Membership::Impl::learnRumor(const TimedRumor &Item, Instant Now) {
  const auto MaxLifetime =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          Settings.Timing.RumorLifetime);
  TimedRumor Bounded = Item;
  Bounded.RemainingMs = std::min(
      Item.RemainingMs, static_cast<std::uint32_t>(MaxLifetime.count()));
  if (!Rumors.learn(Bounded, Now))
    return false;
  // Pushes and gossip bring a burst of rumors to the members. A sync while they
  // are under way would read most of them again.
  LastViewChange = Now;
  Actions.push_back(RumorLearned{Bounded});
  return true;
}

void Membership::Impl::compareViews(const GossipReceived &Event, Instant Now) {
  const GossipMessage &Message = Event.Message;
  if (ActiveSync || !isLive(Message.Sender) ||
      (Message.MembersDigest == Table.digest() &&
       Message.RumorsDigest == Rumors.digest()))
    return;
  const MembershipTiming &Timing = Settings.Timing;
  if (LastSync) {
    const Duration Since = Now - *LastSync;
    const bool Quiet = Now - LastViewChange >= Timing.SyncQuiet;
    if (Since < Timing.SyncInterval ||
        (!Quiet && Since < BusySyncFactor * Timing.SyncInterval))
      return;
  }
  ActiveSync = Sync{Event.From, SyncCursor(), 0};
  sendSyncRequest(Now);
}

void Membership::Impl::sendSyncRequest(Instant Now) {
  ++ActiveSync->Sends;
  sendPlain(ActiveSync->Peer, SyncRequest{ActiveSync->Cursor}, Now);
}

void Membership::Impl::on(const Ping &Body, const GossipReceived &Event,
                          Instant Now) {
  send(Event.From, Ack{Body.Sequence, Settings.Self.Id, Table.self().Host.Run},
       Now, &Event.Message.Sender.Host.Id);
}

void Membership::Impl::on(const PingRequest &Body, const GossipReceived &Event,
                          Instant Now) {
  if (RelayedPings.size() == MaxRelayedPings)
    RelayedPings.pop_front();
  RelayedPings.push_back(
      {++LastSequence, Event.From, Body.Sequence, Body.Target});
  send(Body.Address, Ping{LastSequence}, Now, &Body.Target);
}

void Membership::Impl::on(const Ack &Body, const GossipReceived &Event,
                          Instant Now) {
  static_cast<void>(Event);
  if (ActiveProbe && ActiveProbe->Sequence == Body.Sequence &&
      ActiveProbe->Target == Body.Target && ActiveProbe->Run == Body.Run) {
    ActiveProbe.reset();
    return;
  }
  const auto Match =
      std::ranges::find_if(RelayedPings, [&](const RelayedPing &R) {
        return R.Sequence == Body.Sequence && R.Target == Body.Target;
      });
  if (Match == RelayedPings.end())
    return;
  sendPlain(Match->Requester,
            Ack{Match->RequesterSequence, Body.Target, Body.Run}, Now);
  RelayedPings.erase(Match);
}

void Membership::Impl::on(const RumorPush &Body, const GossipReceived &Event,
                          Instant Now) {
  if (Event.Message.Rumors.empty())
    return;
  if (!Body.Relay)
    return sendPlain(
        Event.From, RumorAck{rumorId(Event.Message.Rumors.front().What), false},
        Now);
  std::vector<std::uint64_t> Pushed;
  for (const TimedRumor &Item : Event.Message.Rumors)
    Pushed.push_back(rumorId(Item.What));
  apply(Spread.relay(std::move(Pushed), Event.Message.Sender.Host.Id,
                     Table.all(), Now),
        Now);
}

void Membership::Impl::on(const RumorAck &Body, const GossipReceived &Event,
                          Instant Now) {
  apply(Spread.acknowledged(Body.Rumor, Event.Message.Sender.Host.Id,
                            Body.Covered, Now),
        Now);
}

void Membership::Impl::on(const SyncRequest &Body, const GossipReceived &Event,
                          Instant Now) {
  SyncPage Page{Body.From, Body.From, false};
  // The cursor's names are set later and their length is not known yet, so
  // space for them is reserved.
  std::size_t Budget =
      MaxGossipBytes - encodedSize(header(Page, Now)) - MaxGossipNameBytes;
  GossipMessage Message;
  if (!Page.Next.MembersDone) {
    Page.Next.MembersDone = true;
    for (const MemberRecord &Record : Table.all()) {
      if (Record.Host.Id <= Body.From.AfterMember || !isLive(Record) ||
          Record.Host.Id == Settings.Self.Id)
        continue;
      const std::size_t Size = encodedSize(Record);
      if (Size > Budget) {
        Page.Next.MembersDone = false;
        break;
      }
      Message.Updates.push_back(Record);
      Page.Next.AfterMember = Record.Host.Id;
      Budget -= Size;
    }
  }
  if (Page.Next.MembersDone)
    Page.Next.AfterRumor =
        Rumors.page(Message, Budget, Body.From.AfterRumor, Page.Last, Now);
  GossipMessage Reply = header(std::move(Page), Now);
  Reply.Updates = std::move(Message.Updates);
  Reply.Rumors = std::move(Message.Rumors);
  Actions.push_back(SendGossip{Event.From, std::move(Reply)});
}

void Membership::Impl::on(const SyncPage &Body, const GossipReceived &Event,
                          Instant Now) {
  if (!ActiveSync || ActiveSync->Peer != Event.From ||
      ActiveSync->Cursor != Body.From)
    return;
  if (Body.Last) {
    ActiveSync.reset();
    LastSync = Now;
    return;
  }
  ActiveSync->Cursor = Body.Next;
  ActiveSync->Sends = 0;
  sendSyncRequest(Now);
}

} // namespace masticgap::coordination
