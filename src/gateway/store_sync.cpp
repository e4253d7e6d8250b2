#include "gateway/store_sync.hpp"

#include "masticgap/state/error.hpp"
#include "masticgap/transport/boot_clock.hpp"

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

const char *tableName(StoreTable Table) {
  return Table == StoreTable::Operator ? "operator" : "workers";
}

} // namespace

StoreSync::StoreSync(GatewayState &State, const PlatformApi &Platform,
                     std::function<void()> OnChange)
    : State(State), Platform(Platform), OnChange(std::move(OnChange)),
      Sources(State.Settings.Host),
      OperatorFeed(State.Io, StoreTable::Operator, State.Random()),
      WorkerFeed(State.Io, StoreTable::Workers, State.Random()),
      NextPeer(State.Random()) {}

TableProgress TableProgress::of(const MemberRecord &Member) {
  // A member's gossip record carries two numbers; a gateway announces the
  // newest changes of its two tables in them.
  return {StorePosition::unpack(Member.ConfigVersion),
          StorePosition::unpack(Member.Epoch)};
}

StoreSync::~StoreSync() { *Alive = false; }

void StoreSync::start(PeerExchange &Channel, MemberAccessor Accessor) {
  Exchange = &Channel;
  KnownMembers = std::move(Accessor);
  startNextCall(OperatorFeed);
  startNextCall(WorkerFeed);
}

void StoreSync::stop() {
  Stopped = true;
  OperatorFeed.Timer.cancel();
  WorkerFeed.Timer.cancel();
}

void StoreSync::startNextCall(TableFeed &Feed) {
  if (Stopped)
    return;
  startCall(Feed, Feed.Follower.nextCall(State.now()));
}

void StoreSync::startCall(TableFeed &Feed, const FollowerCall &Call) {
  Feed.Reader.reset();
  Feed.Reading = false;
  if (const auto *Wait = std::get_if<WaitUntil>(&Call))
    return startNextCallAt(Feed, Wait->Time);
  ++Feed.Generation;
  const auto *Await = std::get_if<AwaitChanges>(&Call);
  if (!Await)
    return readStore(Feed);
  const FeedSource Source =
      Sources.choose(KnownMembers(), State.Settings.Domain, State.now());
  if (const auto *Reader = std::get_if<UseReader>(&Source))
    return awaitReader(Feed, *Await, Reader->Reader);
  if (const auto *Later = std::get_if<RetryLater>(&Source))
    return startNextCallAt(Feed, Later->Time);
  awaitStore(Feed, *Await);
}

void StoreSync::startNextCallAt(TableFeed &Feed, Instant Time) {
  Feed.Timer.expires_after(Time - State.now());
  Feed.Timer.async_wait([this, &Feed](boost::system::error_code Failure) {
    if (!Failure)
      startNextCall(Feed);
  });
}

void StoreSync::awaitStore(TableFeed &Feed, const AwaitChanges &Call) {
  State.Stats.count("store_calls", tableName(Feed.Table));
  Platform.Store.Await(
      Feed.Table, Call,
      [this, &Feed, StillAlive = Alive,
       Generation = Feed.Generation](auto Answer) {
        if (!*StillAlive || Generation != Feed.Generation)
          return;
        if (const auto *Failure = std::get_if<StoreFailure>(&Answer))
          return onStoreFailure(Feed, *Failure);
        const auto &Result = std::get<TableChanges>(Answer);
        onStoreChanges(Feed, Feed.Follower.onChanges(
                                 Result.Changes, Result.Version, State.now()));
      });
}

void StoreSync::readStore(TableFeed &Feed) {
  Feed.Reading = true;
  State.Stats.count("store_calls", tableName(Feed.Table));
  Platform.Store.Read(Feed.Table, [this, &Feed, StillAlive = Alive,
                                   Generation = Feed.Generation](auto Answer) {
    if (!*StillAlive || Generation != Feed.Generation)
      return;
    if (const auto *Failure = std::get_if<StoreFailure>(&Answer))
      return onStoreFailure(Feed, *Failure);
    const auto &Snapshot = std::get<TableSnapshot>(Answer);
    onStoreChanges(Feed, Feed.Follower.onTableRead(Snapshot, State.now()));
  });
}

void StoreSync::awaitReader(TableFeed &Feed, const AwaitChanges &Call,
                            const EntryHostDescriptor &Reader) {
  Feed.Reader = Reader.Id;
  PeerUpdateQuery Query;
  Query.Table = Feed.Table;
  Query.AfterVersion = Call.AfterVersion;
  Query.Wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.MaxReaderWait);
  Query.FromReader = true;
  Exchange->fetch({Reader.Address, Reader.AdminPort}, Query,
                  [this, &Feed, StillAlive = Alive,
                   Generation = Feed.Generation,
                   Id = Reader.Id](const std::optional<PeerUpdate> &Update) {
                    if (!*StillAlive || Generation != Feed.Generation)
                      return;
                    if (Update) {
                      Sources.answered(Id);
                      applyUpdate(Feed, *Update);
                      return startNextCall(Feed);
                    }
                    State.Stats.count("reader_failures", tableName(Feed.Table));
                    Sources.failed(Id, State.now());
                    startNextCall(Feed);
                  });
}

void StoreSync::recordRemovals(TableFeed &Feed,
                               std::span<const RowChange> Changes,
                               Duration LapseGrace) {
  for (const RowChange &Change : Changes)
    if (Change.Removed && LapseGrace > Duration(0))
      Feed.Follower.recordPossibleLapses(State.now() + LapseGrace);
    else if (Change.Removed)
      Feed.Follower.recordDefiniteRemovals(Change.Row.Version);
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

void StoreSync::applyUpdate(TableFeed &Feed, const PeerUpdate &Update) {
  recordDefiniteRemovals(Feed, Update);
  if (!Update.IsSnapshot) {
    apply(Feed,
          Feed.Follower.onChanges(Update.Changes, Update.Version, State.now()),
          "peer", Update.LapseGrace);
    return applyHeld(Update);
  }
  TableSnapshot Snapshot;
  Snapshot.Version = Update.Version;
  for (const RowChange &Change : Update.Changes)
    Snapshot.Rows.push_back(Change.Row);
  apply(Feed,
        Feed.Follower.onPeerSnapshot(Snapshot, Update.LapseGrace, State.now()),
        "peer", Update.LapseGrace);
  applyHeld(Update);
}

void StoreSync::applyHeld(const PeerUpdate &Update) {
  for (const TableRow &Row : Update.Held)
    applyOperator({Row, false}, "peer");
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

void StoreSync::onEra(StoreEra Era) {
  if (Stopped || !Exchange)
    return;
  for (TableFeed *Feed : {&OperatorFeed, &WorkerFeed}) {
    if (!Feed->Follower.onEra(Era, State.now()))
      continue;
    State.Log.write(
        LogClass::Decision, "store_restored",
        {{"table", tableName(Feed->Table)},
         {"era", unsigned{Era}},
         {"known_era", unsigned{Feed->Follower.table().version().Era}},
         {"version", Feed->Follower.table().version().Version}});
    // A read that is under way continues; the follower repeats it if its answer
    // is of the earlier era.
    if (Feed->Reading)
      continue;
    Feed->Timer.cancel();
    startNextCall(*Feed);
  }
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

void StoreSync::tick() {
  if (Stopped || !Exchange)
    return;
  askPeers();
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

void StoreSync::membersChanged() {
  if (Stopped || !Exchange)
    return;
  if (!knowsHeldRows())
    askPeers();
  for (TableFeed *Feed : {&OperatorFeed, &WorkerFeed}) {
    if (!Feed->Reader)
      continue;
    const auto Members = KnownMembers();
    const auto ReaderRecord = std::ranges::find(
        Members, *Feed->Reader,
        [](const MemberRecord &Member) { return Member.Host.Id; });
    if (ReaderRecord == Members.end() ||
        ReaderRecord->Status != MemberStatus::Alive)
      startNextCall(*Feed);
  }
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

void StoreSync::onStoreFailure(TableFeed &Feed, StoreFailure Failure) {
  const bool HistoryGone = Failure == StoreFailure::HistoryGone;
  Feed.Follower.failed(Failure, State.now());
  if (HistoryGone)
    Sources.storeAnswered();
  else
    Sources.storeFailed(State.now());
  State.Stats.count("store_failures",
                    HistoryGone ? "history_gone" : "unavailable");
  if (HistoryGone)
    State.Log.write(LogClass::Decision, "store_history_gone",
                    {{"table", tableName(Feed.Table)},
                     {"version", Feed.Follower.table().version().Version}});
  else if (Feed.ReportedConnected)
    State.Log.write(LogClass::Decision, "store_lost",
                    {{"table", tableName(Feed.Table)},
                     {"version", Feed.Follower.table().version().Version}});
  // HistoryGone is an answer of the store, so the store is still connected.
  Feed.ReportedConnected = HistoryGone && Feed.ReportedConnected;
  // Hosts that wait for changes here have to query another host.
  Exchange->notify();
  startNextCall(Feed);
}

void StoreSync::onStoreChanges(TableFeed &Feed,
                               const std::vector<RowChange> &Changes) {
  Sources.storeAnswered();
  if (!Feed.ReportedConnected) {
    Feed.ReportedConnected = true;
    State.Log.write(LogClass::Decision, "store_connected",
                    {{"table", tableName(Feed.Table)},
                     {"version", Feed.Follower.table().version().Version}});
  }
  apply(Feed, Changes, "store", Feed.Follower.lapseGrace(State.now()));
  startNextCall(Feed);
}

void StoreSync::apply(TableFeed &Feed, const std::vector<RowChange> &Changes,
                      std::string_view Source, Duration LapseGrace) {
  // A peer with a stable connection to the store sent changes, so the store is
  // available to it.
  if (Source == "peer" && LapseGrace == Duration(0) && !Changes.empty())
    Feed.Follower.recordPeerChanges(State.now());
  recordRemovals(Feed, Changes, LapseGrace);
  RemovedWorkers.clear();
  EraStarted =
      Feed.Follower.table().version().Era > Feed.NewestChangeVersion.Era;
  if (EraStarted)
    startEra(Feed, Source);
  for (const RowChange &Change : Changes) {
    Feed.NewestChangeVersion =
        std::max(Feed.NewestChangeVersion, Change.Row.Version);
    if (Feed.Table == StoreTable::Operator)
      applyOperator(Change, Source);
    else
      applyWorker(Change);
  }
  if (!RemovedWorkers.empty()) {
    for (const WorkerId &Id : RemovedWorkers) {
      if (LapseGrace == Duration(0))
        State.Crashes.workerEnded(Id, std::nullopt, State.now());
      State.Log.write(LogClass::Decision, "worker_unregistered",
                      {{"worker", Id.value()},
                       {"lapse", LapseGrace > Duration(0)},
                       {"grace_ms", milliseconds(LapseGrace).count()},
                       {"source", std::string(Source)},
                       {"version", Feed.Follower.table().version().Version}});
    }
    State.Dispatch.directory().recordRemovals(RemovedWorkers, LapseGrace,
                                              State.now());
  }
  if (Changes.empty() && !EraStarted)
    return;
  OnChange();
  Exchange->notify();
}

void StoreSync::applyOperator(const RowChange &Change,
                              std::string_view Source) {
  const std::string &Key = Change.Row.Key;
  if (Change.Removed) {
    if (EvacuationsHeldUntil && State.now() < *EvacuationsHeldUntil)
      return; // tick() ends it if the operator does not write it again.
    if (Evacuations.erase(Key) == 0)
      return;
    State.Log.write(LogClass::Decision, "evacuation_ended",
                    {{"row", Key}, {"version", Change.Row.Version.Version}});
  } else {
    const Instant DecodeStart = State.now();
    const auto Decoded = Platform.Rows.Operator(Change.Row);
    if (const auto *Problem = std::get_if<Error>(&Decoded)) {
      State.Log.write(LogClass::Decision, "row_unreadable",
                      {{"row", Key},
                       {"error", describe(*Problem)},
                       {"version", Change.Row.Version.Version}});
      return;
    }
    const auto &Row = std::get<OperatorRow>(Decoded);
    if (const auto *NewConfig =
            std::get_if<std::shared_ptr<const TrafficConfig>>(&Row)) {
      if (State.Config && (*NewConfig)->Version <= State.Config->Version)
        return;
      adopt(*NewConfig);
      ConfigRow = Change.Row;
      State.Log.write(
          LogClass::Decision, "config_adopted",
          {{"version", (*NewConfig)->Version},
           {"routes", static_cast<std::uint64_t>((*NewConfig)->Routes.size())},
           {"bytes", static_cast<std::uint64_t>(Change.Row.Value.size())},
           {"decode_ms",
            std::chrono::duration<double, std::milli>(State.now() - DecodeStart)
                .count()},
           {"source", std::string(Source)}});
      return;
    }
    const auto *Evacuated = std::get_if<Evacuation>(&Row);
    if (!Evacuated)
      return;
    Evacuations[Key] = {Evacuated->Domain, Change.Row.Value};
    State.Log.write(LogClass::Decision, "evacuation_started",
                    {{"domain", Evacuated->Domain.value()},
                     {"source", std::string(Source)},
                     {"version", Change.Row.Version.Version}});
  }
  updateEvacuated();
}

void StoreSync::updateEvacuated() {
  std::set<FailureDomainName> Domains;
  for (const auto &[Key, Row] : Evacuations)
    Domains.insert(Row.Domain);
  State.Dispatch.directory().setEvacuated(
      std::move(Domains),
      [this](const ServiceName &Service) {
        return State.Dispatch.coldStartDuration(Service);
      },
      State.now());
}

void StoreSync::adopt(std::shared_ptr<const TrafficConfig> New) {
  if (!New->Unreadable.empty() && State.Config) {
    auto Completed = std::make_shared<TrafficConfig>(*New);
    keepFormerEntries(*Completed, *State.Config);
    New = std::move(Completed);
  }
  for (const UnreadableEntry &Entry : New->Unreadable) {
    State.Stats.count("entries_unreadable", toString(Entry.Part));
    State.Log.write(LogClass::Decision, "entry_unreadable",
                    {{"part", std::string(toString(Entry.Part))},
                     {"name", Entry.Name},
                     {"error", Entry.Problem},
                     {"version", New->Version}});
  }
  State.adopt(std::move(New));
}

void StoreSync::applyWorker(const RowChange &Change) {
  const WorkerId Id(Change.Row.Key);
  if (Change.Removed) {
    RemovedWorkers.push_back(Id);
    return;
  }
  const auto Decoded = Platform.Rows.Worker(Change.Row);
  if (const auto *Problem = std::get_if<Error>(&Decoded)) {
    State.Dispatch.directory().recordUnreadable(Id);
    State.Log.write(LogClass::Decision, "row_unreadable",
                    {{"row", Id.value()},
                     {"error", describe(*Problem)},
                     {"version", Change.Row.Version.Version}});
    return;
  }
  const auto &Registration = std::get<WorkerRegistration>(Decoded);
  const Duration Age =
      Registration.StartTime
          ? std::chrono::milliseconds(transport::unixMilliseconds()) -
                *Registration.StartTime
          : Duration(0);
  const bool Accepted = State.Dispatch.directory().recordRegistration(
      Registration, State.now(), Age);
  if (Accepted)
    State.Crashes.workerEnded(Id, Registration.Worker.Run, State.now());
  const KnownWorker *Known = State.Dispatch.directory().find(Id);
  // The registration of the known incarnation is missing in the store's copy.
  if (EraStarted && Known && Registration.Worker.Run < Known->Worker.Run)
    RemovedWorkers.push_back(Id);
  State.Log.write(LogClass::Decision, "worker_registered",
                  {{"worker", Id.value()},
                   {"service", Registration.Worker.Service.value()},
                   {"domain", Registration.Worker.Domain.value()},
                   {"leaving", Registration.Worker.Leaving},
                   {"cold_ms", std::chrono::duration<double, std::milli>(
                                   Registration.ColdDuration)
                                   .count()},
                   {"taken", Accepted},
                   {"version", Change.Row.Version.Version}});
}

TableProgress StoreSync::progress() const {
  return {OperatorFeed.NewestChangeVersion, WorkerFeed.NewestChangeVersion};
}

bool StoreSync::isConnected() const {
  return OperatorFeed.Follower.isConnected() &&
         WorkerFeed.Follower.isConnected();
}

void StoreSync::peerProgressed(const MemberRecord &Peer) {
  if (!Exchange)
    return;
  const TableProgress Progress = TableProgress::of(Peer);
  if (OperatorFeed.Follower.isBehind(Progress.Operator))
    fetchFrom(OperatorFeed, Peer);
  if (WorkerFeed.Follower.isBehind(Progress.Workers))
    fetchFrom(WorkerFeed, Peer);
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
          applyUpdate(Feed, *Result);
        } else {
          recordDefiniteRemovals(Feed, *Result);
          apply(Feed,
                Feed.Follower.onPeerChanges(Result->Changes, Result->Version),
                "peer", Result->LapseGrace);
          applyHeld(*Result);
        }
      });
}

} // namespace masticgap::gateway
