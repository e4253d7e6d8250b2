// Exchanges rows with peers, and what hosts hold from before a restore of the
// store.
#include "gateway/store_sync.hpp"

#include "gateway/table_name.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::gateway {

using namespace coordination;

namespace {

//! This host's feed usually delivers a change as soon as a peer's does, so a
//! peer is queried only if it is still ahead after this time.
constexpr std::chrono::milliseconds PeerDelay{250};

std::chrono::milliseconds milliseconds(Duration Time) {
  return std::chrono::ceil<std::chrono::milliseconds>(Time);
}

//! Time after a restore of the store for which evacuations stay in force that
//! it lost, so that the operator can write them again.
constexpr std::chrono::seconds EvacuationGrace{3};
//! Number of peers that are asked after a restore what they hold from before.
//! A single one may itself have just started.
constexpr unsigned PeersAsked = 3;
//! Time behind a peer after which a host calls the store itself. A change is to
//! be in force everywhere within 2 s on the strictest platform.
constexpr std::chrono::milliseconds MaxBehindTime{1000};
//! Source in the log of what a peer sent that gossip showed to be ahead.
constexpr std::string_view CaughtUp = "gossip";

} // namespace

TableProgress TableProgress::of(const MemberRecord &Member) {
  // A member's gossip record carries two numbers; a gateway announces the
  // newest changes of its two tables in them.
  return {StorePosition::unpack(Member.ConfigVersion),
          StorePosition::unpack(Member.Epoch)};
}

void StoreSync::recordDefiniteRemovals(TableFeed &Feed,
                                       const PeerUpdate &Update) {
  if (Update.IsSnapshot || Update.LapseGrace > Duration(0) ||
      Update.Version.Era != Feed.Follower.table().version().Era)
    return;
  recordRemovals(Feed, Update.Changes, Update.LapseGrace);
  if (Feed.Table != StoreTable::Workers)
    return;
  for (const RowChange &Change : Update.Changes)
    if (Change.Removed)
      State.Dispatch.directory().recordDefiniteRemoval(
          WorkerId(Change.Row.Key));
}

void StoreSync::applyUpdate(TableFeed &Feed, const PeerUpdate &Update,
                            std::string_view Source) {
  recordDefiniteRemovals(Feed, Update);
  if (!Update.IsSnapshot) {
    apply(Feed,
          Feed.Follower.onChanges(Update.Changes, Update.Version, State.now()),
          Source, Update.LapseGrace);
    return applyHeld(Update, Source);
  }
  TableSnapshot Snapshot;
  Snapshot.Version = Update.Version;
  for (const RowChange &Change : Update.Changes)
    Snapshot.Rows.push_back(Change.Row);
  apply(Feed,
        Feed.Follower.onPeerSnapshot(Snapshot, Update.LapseGrace, State.now()),
        Source, Update.LapseGrace);
  applyHeld(Update, Source);
}

void StoreSync::applyHeld(const PeerUpdate &Update, std::string_view Source) {
  for (const TableRow &Row : Update.Held)
    applyOperator({Row, false}, Source);
  if (!Update.Held.empty() && Update.HeldGrace > Duration(0))
    EvacuationsHeldUntil = std::max(EvacuationsHeldUntil.value_or(State.now()),
                                    State.now() + Update.HeldGrace);
  for (const auto &[Id, Ended] : Update.Ended) {
    if (!State.Dispatch.directory().recordEnded(Id, Ended))
      continue;
    State.Crashes.workerEnded(Id, std::nullopt, State.now());
    State.Log.write(LogClass::Decision, "worker_gone",
                    {{"worker", Id.value()},
                     {"reason", "ended before a restore of the store"},
                     {"run", Ended.Run.Value}});
  }
  if (!Update.Held.empty() || !Update.Ended.empty())
    OnChange();
}

void StoreSync::addHeld(PeerUpdate &Update,
                        const PeerUpdateQuery &Query) const {
  const ReplicatedTable &Table = feed(Query.Table).Follower.table();
  const StoreEra Era = Table.version().Era;
  // A peer in a later era has read a copy of the store that may lack everything
  // that is known here.
  const bool PeerIsAhead = Query.AfterVersion.Era > Era;
  if (Query.Table == StoreTable::Workers) {
    for (const auto &[Id, Ended] : State.Dispatch.directory().ended())
      if (PeerIsAhead || (Ended.Era < Era && Table.find(Id.value())))
        Update.Ended.emplace_back(Id, Ended);
    return;
  }
  const auto IsHeld = [&](const std::string &Key, const std::string &Value) {
    const TableRow *Row = Table.find(Key);
    return PeerIsAhead || !Row || Row->Value != Value;
  };
  // A row that differs in the era in which it was adopted has not been lost: a
  // later one could not be read.
  if (ConfigRow && (PeerIsAhead || ConfigRow->Version.Era < Era) &&
      IsHeld(ConfigRow->Key, ConfigRow->Value))
    Update.Held.push_back(*ConfigRow);
  const Duration Grace = PeerIsAhead ? Duration(EvacuationGrace)
                         : EvacuationsHeldUntil
                             ? *EvacuationsHeldUntil - State.now()
                             : Duration(0);
  if (Grace <= Duration(0))
    return;
  for (const auto &[Key, Held] : Evacuations)
    if (IsHeld(Key, Held.Value))
      Update.Held.push_back({Key, Held.Value, Table.version()});
  Update.HeldGrace = milliseconds(Grace);
}

void StoreSync::startEra(TableFeed &Feed, std::string_view Source) {
  const StorePosition Position = Feed.Follower.table().version();
  // Announces the era, also if no row differs.
  Feed.NewestChangeVersion = Position;
  Feed.PeersToAsk = PeersAsked;
  Feed.PeerAnswered = false;
  if (Feed.Table == StoreTable::Workers)
    State.Dispatch.directory().setEra(Position.Era);
  else if (const auto Start = Feed.Follower.eraStart())
    EvacuationsHeldUntil = *Start + EvacuationGrace;
  State.Stats.count("store_eras", tableName(Feed.Table));
  State.Log.write(LogClass::Decision, "store_era",
                  {{"table", tableName(Feed.Table)},
                   {"era", unsigned{Position.Era}},
                   {"version", Position.Version},
                   {"source", std::string(Source)}});
}

bool StoreSync::knowsHeldRows() const {
  return OperatorFeed.PeerAnswered && WorkerFeed.PeerAnswered;
}

void StoreSync::callStoreIfBehind(TableFeed &Feed) {
  if (behindFor(Feed.Table) < MaxBehindTime || Feed.CallingStore ||
      State.now() < Feed.NextDirectCall)
    return;
  Feed.NextDirectCall = State.now() + MaxBehindTime;
  Feed.Timer.cancel();
  ++Feed.Generation;
  Feed.Reader.reset();
  State.Stats.count("store_calls_behind", tableName(Feed.Table));
  logSource(Feed, UseStore{});
  awaitStore(Feed, AwaitChanges{Feed.Follower.table().version(), Duration(0),
                                Duration(0)});
}

void StoreSync::tick() {
  if (Stopped || !Exchange)
    return;
  askPeers();
  callStoreIfBehind(OperatorFeed);
  callStoreIfBehind(WorkerFeed);
  if (!EvacuationsHeldUntil || State.now() < *EvacuationsHeldUntil)
    return;
  EvacuationsHeldUntil.reset();
  const std::size_t Ended = std::erase_if(Evacuations, [&](const auto &Entry) {
    if (OperatorFeed.Follower.table().find(Entry.first))
      return false;
    State.Log.write(LogClass::Decision, "evacuation_ended",
                    {{"row", Entry.first},
                     {"reason", "not written again after a restore"}});
    return true;
  });
  if (Ended > 0)
    updateEvacuated();
}

void StoreSync::askPeers() {
  if (OperatorFeed.PeersToAsk == 0 && WorkerFeed.PeersToAsk == 0)
    return;
  std::vector<const MemberRecord *> Peers;
  for (const MemberRecord &Member : KnownMembers())
    if (Member.Status == MemberStatus::Alive &&
        Member.Host.Id != State.Settings.Host)
      Peers.push_back(&Member);
  if (Peers.empty())
    return;
  const MemberRecord &Peer = *Peers[NextPeer++ % Peers.size()];
  for (TableFeed *Feed : {&OperatorFeed, &WorkerFeed})
    if (Feed->PeersToAsk > 0)
      fetchFrom(*Feed, Peer);
}

std::optional<PeerUpdate>
StoreSync::update(const PeerUpdateQuery &Query) const {
  const TableFeed &Feed = feed(Query.Table);
  const ReplicatedTable &Table = Feed.Follower.table();
  if (!Table.isLoaded() || (Query.FromReader && !Feed.Follower.isConnected()))
    return std::nullopt;
  PeerUpdate Update;
  Update.Version = Table.version();
  addHeld(Update, Query);
  if (auto Changes = Table.changesSince(Query.AfterVersion)) {
    Update.Changes = std::move(*Changes);
    Update.LapseGrace =
        milliseconds(Feed.Follower.passedOnGrace(Update.Changes, State.now()));
    return Update;
  }
  Update.LapseGrace = milliseconds(Feed.Follower.lapseGrace(State.now()));
  Update.IsSnapshot = true;
  for (TableRow &Row : Table.snapshot().Rows)
    Update.Changes.push_back({std::move(Row), false});
  return Update;
}

TableProgress StoreSync::progress() const {
  return {OperatorFeed.NewestChangeVersion, WorkerFeed.NewestChangeVersion};
}

void StoreSync::peerProgressed(const MemberRecord &Peer) {
  if (!Exchange)
    return;
  const TableProgress Progress = TableProgress::of(Peer);
  const auto Compare = [&](TableFeed &Feed, StorePosition Known) {
    if (!Feed.Follower.isBehind(Known))
      return;
    Feed.NewestOfPeers = std::max(Feed.NewestOfPeers, Known);
    if (!Feed.BehindSince)
      Feed.BehindSince = State.now();
    fetchFrom(Feed, Peer);
  };
  Compare(OperatorFeed, Progress.Operator);
  Compare(WorkerFeed, Progress.Workers);
}

Duration StoreSync::behindFor(StoreTable Table) const {
  const std::optional<Instant> &Since = feed(Table).BehindSince;
  return Since ? State.now() - *Since : Duration(0);
}

void StoreSync::fetchFrom(TableFeed &Feed, const MemberRecord &Peer) {
  if (Feed.Fetching || Stopped)
    return;
  Feed.Fetching = true;
  auto Delay = std::make_shared<boost::asio::steady_timer>(State.Io);
  // A host without a connection to the store has no feed to wait for.
  Delay->expires_after(Feed.Follower.isConnected() && Feed.PeersToAsk == 0
                           ? std::chrono::milliseconds(PeerDelay)
                           : std::chrono::milliseconds(0));
  const TableProgress Progress = TableProgress::of(Peer);
  const StorePosition WantedVersion =
      Feed.Table == StoreTable::Operator ? Progress.Operator : Progress.Workers;
  const Endpoint Address{Peer.Host.Address, Peer.Host.AdminPort};
  Delay->async_wait([this, &Feed, WantedVersion, Address, Delay,
                     StillAlive = Alive](boost::system::error_code) {
    if (*StillAlive && !Stopped)
      catchUp(Feed, WantedVersion, Address);
  });
}

void StoreSync::catchUp(TableFeed &Feed, StorePosition WantedVersion,
                        const Endpoint &Peer) {
  if (!Feed.Follower.isBehind(WantedVersion) && Feed.PeersToAsk == 0) {
    Feed.Fetching = false;
    return;
  }
  PeerUpdateQuery Query;
  Query.Table = Feed.Table;
  Query.AfterVersion = Feed.Follower.table().version();
  Exchange->fetch(
      Peer, Query,
      [this, &Feed,
       StillAlive = Alive](const std::optional<PeerUpdate> &Result) {
        if (!*StillAlive)
          return;
        Feed.Fetching = false;
        if (!Result)
          return;
        Feed.PeersToAsk -= std::min(Feed.PeersToAsk, 1U);
        Feed.PeerAnswered = true;
        State.Stats.count("caught_up_with_peer", tableName(Feed.Table));
        if (Result->IsSnapshot) {
          applyUpdate(Feed, *Result, CaughtUp);
        } else {
          recordDefiniteRemovals(Feed, *Result);
          apply(Feed,
                Feed.Follower.onPeerChanges(Result->Changes, Result->Version),
                CaughtUp, Result->LapseGrace);
          applyHeld(*Result, CaughtUp);
        }
      });
}

} // namespace masticgap::gateway
