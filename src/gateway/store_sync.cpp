#include "gateway/store_sync.hpp"

#include "masticgap/state/error.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::gateway {

using namespace coordination;

namespace {

//! A feed of the own usually brings the change as soon as a peer's, so a peer
//! is asked only if it is still ahead after this time.
constexpr std::chrono::milliseconds PeerDelay{250};

const char *tableName(StoreTable Table) {
  return Table == StoreTable::Operator ? "operator" : "workers";
}

} // namespace

StoreSync::StoreSync(GatewayState &State, const PlatformApi &Port,
                     std::function<void()> OnChange)
    : State(State), Port(Port), OnChange(std::move(OnChange)),
      Sources(State.Settings.Host),
      OperatorFeed(State.Io, StoreTable::Operator, State.Random()),
      WorkerFeed(State.Io, StoreTable::Workers, State.Random()) {}

StoreSync::~StoreSync() { *Alive = false; }

void StoreSync::start(PeerExchange &Channel, Members Accessor) {
  Exchange = &Channel;
  Known = std::move(Accessor);
  run(OperatorFeed);
  run(WorkerFeed);
}

void StoreSync::stop() {
  Stopped = true;
  OperatorFeed.Timer.cancel();
  WorkerFeed.Timer.cancel();
}

void StoreSync::run(Feed &Of) {
  if (Stopped)
    return;
  perform(Of, Of.Follower.nextCall(State.now()));
}

void StoreSync::perform(Feed &Of, const FollowerCall &Call) {
  Of.Reader.reset();
  if (const auto *Pause = std::get_if<WaitUntil>(&Call))
    return runAt(Of, Pause->Time);
  ++Of.Generation;
  const auto *Await = std::get_if<AwaitChanges>(&Call);
  if (!Await)
    return readStore(Of);
  const FeedSource Source =
      Sources.choose(Known(), State.Settings.Domain, State.now());
  if (const auto *Reader = std::get_if<UseReader>(&Source))
    return awaitReader(Of, *Await, Reader->Reader);
  if (const auto *Later = std::get_if<RetryLater>(&Source))
    return runAt(Of, Later->Time);
  awaitStore(Of, *Await);
}

void StoreSync::runAt(Feed &Of, Instant Time) {
  Of.Timer.expires_after(Time - State.now());
  Of.Timer.async_wait([this, &Of](boost::system::error_code Failure) {
    if (!Failure)
      run(Of);
  });
}

void StoreSync::awaitStore(Feed &Of, const AwaitChanges &Call) {
  State.Stats.count("store_calls", tableName(Of.Table));
  Port.Store.Await(
      Of.Table, Call,
      [this, &Of, Keep = Alive, Current = Of.Generation](auto Answer) {
        if (!*Keep || Current != Of.Generation)
          return;
        if (const auto *Why = std::get_if<StoreFailure>(&Answer))
          return failed(Of, *Why);
        const auto &Got = std::get<TableChanges>(Answer);
        settled(Of,
                Of.Follower.onChanges(Got.Changes, Got.Version, State.now()));
      });
}

void StoreSync::readStore(Feed &Of) {
  State.Stats.count("store_calls", tableName(Of.Table));
  Port.Store.Read(Of.Table, [this, &Of, Keep = Alive,
                             Current = Of.Generation](auto Answer) {
    if (!*Keep || Current != Of.Generation)
      return;
    if (const auto *Why = std::get_if<StoreFailure>(&Answer))
      return failed(Of, *Why);
    const auto &Snapshot = std::get<TableSnapshot>(Answer);
    settled(Of, Of.Follower.onTableRead(Snapshot, State.now()));
  });
}

void StoreSync::awaitReader(Feed &Of, const AwaitChanges &Call,
                            const EntryHostDescriptor &Reader) {
  Of.Reader = Reader.Id;
  PeerUpdateQuery Query;
  Query.Table = Of.Table;
  Query.AfterVersion = Call.AfterVersion;
  Query.Wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(Call.MaxWait);
  Query.FromReader = true;
  Exchange->fetch({Reader.Address, Reader.AdminPort}, Query,
                  [this, &Of, Keep = Alive, Current = Of.Generation,
                   Id = Reader.Id](const std::optional<PeerUpdate> &Update) {
                    if (!*Keep || Current != Of.Generation)
                      return;
                    if (Update) {
                      take(Of, *Update);
                      return run(Of);
                    }
                    State.Stats.count("reader_failures", tableName(Of.Table));
                    Sources.failed(Id, State.now());
                    run(Of);
                  });
}

void StoreSync::take(Feed &Of, const PeerUpdate &Update) {
  if (!Update.IsSnapshot)
    return apply(
        Of, Of.Follower.onChanges(Update.Changes, Update.Version, State.now()),
        "peer", Update.RemovalsMayBeLapses);
  TableSnapshot Snapshot;
  Snapshot.Version = Update.Version;
  for (const RowChange &Each : Update.Changes)
    Snapshot.Rows.push_back(Each.Row);
  apply(Of, Of.Follower.onPeerSnapshot(Snapshot), "peer",
        Update.RemovalsMayBeLapses);
}

void StoreSync::membersChanged() {
  if (Stopped || !Exchange)
    return;
  for (Feed *Each : {&OperatorFeed, &WorkerFeed}) {
    if (!Each->Reader)
      continue;
    const auto Members = Known();
    const auto Found = std::ranges::find(
        Members, *Each->Reader,
        [](const MemberRecord &Member) { return Member.Host.Id; });
    if (Found == Members.end() || Found->Status != MemberStatus::Alive)
      run(*Each);
  }
}

std::optional<PeerUpdate>
StoreSync::update(const PeerUpdateQuery &Query) const {
  const Feed &Of = feed(Query.Table);
  const ReplicatedTable &Copy = Of.Follower.table();
  if (!Copy.isLoaded() || (Query.FromReader && !Of.Follower.isConnected()))
    return std::nullopt;
  PeerUpdate Update;
  Update.Version = Copy.version();
  Update.RemovalsMayBeLapses = Of.Follower.removalsMayBeLapses(State.now());
  if (auto Changes = Copy.changesSince(Query.AfterVersion)) {
    Update.Changes = std::move(*Changes);
    return Update;
  }
  Update.IsSnapshot = true;
  for (TableRow &Row : Copy.snapshot().Rows)
    Update.Changes.push_back({std::move(Row), false});
  return Update;
}

void StoreSync::failed(Feed &Of, StoreFailure Why) {
  const bool Gone = Why == StoreFailure::HistoryGone;
  Of.Follower.failed(Why, State.now());
  State.Stats.count("store_failures", Gone ? "history_gone" : "unavailable");
  if (Gone)
    State.Log.write(LogClass::Decision, "store_history_gone",
                    {{"table", tableName(Of.Table)},
                     {"version", Of.Follower.table().version()}});
  else if (Of.Connected)
    State.Log.write(LogClass::Decision, "store_lost",
                    {{"table", tableName(Of.Table)},
                     {"version", Of.Follower.table().version()}});
  Of.Connected = Gone && Of.Connected;
  // Hosts that wait for changes here have to ask elsewhere.
  Exchange->notify();
  run(Of);
}

void StoreSync::settled(Feed &Of, const std::vector<RowChange> &Changes) {
  if (!Of.Connected) {
    Of.Connected = true;
    State.Log.write(LogClass::Decision, "store_connected",
                    {{"table", tableName(Of.Table)},
                     {"version", Of.Follower.table().version()}});
  }
  apply(Of, Changes, "store", Of.Follower.removalsMayBeLapses(State.now()));
  run(Of);
}

void StoreSync::apply(Feed &Of, const std::vector<RowChange> &Changes,
                      std::string_view Source, bool RemovalsMayBeLapses) {
  if (Source == "peer" && !RemovalsMayBeLapses && !Changes.empty())
    Of.Follower.recordPeerNews(State.now());
  Removed.clear();
  for (const RowChange &Each : Changes) {
    Of.LastChange = std::max(Of.LastChange, Each.Row.Version);
    if (Of.Table == StoreTable::Operator)
      applyOperator(Each, Source);
    else
      applyWorker(Each);
  }
  if (!Removed.empty()) {
    for (const WorkerId &Id : Removed)
      State.Log.write(LogClass::Decision, "worker_unregistered",
                      {{"worker", Id.value()},
                       {"lapse", RemovalsMayBeLapses},
                       {"source", std::string(Source)},
                       {"version", Of.Follower.table().version()}});
    State.Dispatch.directory().recordRemovals(Removed, RemovalsMayBeLapses,
                                              State.now());
  }
  if (Of.Table == StoreTable::Workers && Of.Follower.table().isLoaded())
    InitialWorkers = false;
  if (Changes.empty())
    return;
  OnChange();
  Exchange->notify();
}

void StoreSync::applyOperator(const RowChange &Change,
                              std::string_view Source) {
  const std::string &Key = Change.Row.Key;
  if (Change.Removed) {
    if (Evacuations.erase(Key) == 0)
      return;
    State.Log.write(LogClass::Decision, "evacuation_ended",
                    {{"row", Key}, {"version", Change.Row.Version}});
  } else {
    const auto Read = Port.Rows.Operator(Change.Row);
    if (const auto *Problem = std::get_if<Error>(&Read)) {
      State.Log.write(LogClass::Decision, "row_unreadable",
                      {{"row", Key},
                       {"error", describe(*Problem)},
                       {"version", Change.Row.Version}});
      return;
    }
    const auto &Row = std::get<OperatorRow>(Read);
    if (const auto *New =
            std::get_if<std::shared_ptr<const TrafficConfig>>(&Row)) {
      if (State.Config && (*New)->Version <= State.Config->Version)
        return;
      State.adopt(*New);
      State.Log.write(
          LogClass::Decision, "config_adopted",
          {{"version", (*New)->Version},
           {"routes", static_cast<std::uint64_t>((*New)->Routes.size())},
           {"source", std::string(Source)}});
      return;
    }
    const auto *Emptied = std::get_if<Evacuation>(&Row);
    if (!Emptied)
      return;
    Evacuations[Key] = Emptied->Domain;
    State.Log.write(LogClass::Decision, "evacuation_started",
                    {{"domain", Emptied->Domain.value()},
                     {"source", std::string(Source)},
                     {"version", Change.Row.Version}});
  }
  std::set<FailureDomainName> Domains;
  for (const auto &[Row, Domain] : Evacuations)
    Domains.insert(Domain);
  State.Dispatch.directory().setEvacuated(
      std::move(Domains),
      [this](const ServiceName &Service) {
        return State.Dispatch.coldStartDuration(Service);
      },
      State.now());
}

void StoreSync::applyWorker(const RowChange &Change) {
  const WorkerId Id(Change.Row.Key);
  if (Change.Removed) {
    Removed.push_back(Id);
    return;
  }
  const auto Read = Port.Rows.Worker(Change.Row);
  if (const auto *Problem = std::get_if<Error>(&Read)) {
    State.Dispatch.directory().recordUnreadable(Id);
    State.Log.write(LogClass::Decision, "row_unreadable",
                    {{"row", Id.value()},
                     {"error", describe(*Problem)},
                     {"version", Change.Row.Version}});
    return;
  }
  const auto &Entry = std::get<WorkerRegistration>(Read);
  const bool Taken = State.Dispatch.directory().recordRegistration(
      Entry, State.now(), InitialWorkers);
  State.Log.write(
      LogClass::Decision, "worker_registered",
      {{"worker", Id.value()},
       {"service", Entry.Worker.Service.value()},
       {"domain", Entry.Worker.Domain.value()},
       {"leaving", Entry.Worker.Leaving},
       {"cold_ms",
        std::chrono::duration<double, std::milli>(Entry.ColdDuration).count()},
       {"taken", Taken},
       {"version", Change.Row.Version}});
}

TableProgress StoreSync::progress() const {
  return {OperatorFeed.LastChange, WorkerFeed.LastChange};
}

bool StoreSync::isConnected() const {
  return OperatorFeed.Follower.isConnected() &&
         WorkerFeed.Follower.isConnected();
}

void StoreSync::peerProgressed(const MemberRecord &Peer) {
  if (!Exchange)
    return;
  if (Peer.ConfigVersion > OperatorFeed.LastChange)
    fetchFrom(OperatorFeed, Peer);
  if (Peer.Epoch > WorkerFeed.LastChange)
    fetchFrom(WorkerFeed, Peer);
}

void StoreSync::fetchFrom(Feed &Of, const MemberRecord &Peer) {
  if (Of.Fetching || Stopped)
    return;
  Of.Fetching = true;
  auto Delay = std::make_shared<boost::asio::steady_timer>(State.Io);
  // A host that the store turns away has nothing to wait for.
  Delay->expires_after(Of.Follower.isConnected()
                           ? std::chrono::milliseconds(PeerDelay)
                           : std::chrono::milliseconds(0));
  const std::uint64_t Wanted =
      Of.Table == StoreTable::Operator ? Peer.ConfigVersion : Peer.Epoch;
  const Endpoint Address{Peer.Host.Address, Peer.Host.AdminPort};
  Delay->async_wait([this, &Of, Wanted, Address, Delay,
                     Keep = Alive](boost::system::error_code) {
    if (*Keep && !Stopped)
      catchUp(Of, Wanted, Address);
  });
}

void StoreSync::catchUp(Feed &Of, std::uint64_t Wanted, const Endpoint &Peer) {
  if (Of.LastChange >= Wanted) {
    Of.Fetching = false;
    return;
  }
  PeerUpdateQuery Query;
  Query.Table = Of.Table;
  Query.AfterVersion = Of.Follower.table().version();
  Exchange->fetch(
      Peer, Query,
      [this, &Of, Wanted, Keep = Alive](const std::optional<PeerUpdate> &Got) {
        if (!*Keep)
          return;
        Of.Fetching = false;
        if (!Got)
          return;
        State.Stats.count("caught_up_with_peer", tableName(Of.Table));
        const auto Changes = Got->Changes;
        if (Got->IsSnapshot)
          take(Of, *Got);
        else
          apply(Of, Of.Follower.onPeerChanges(Changes, Got->Version), "peer",
                Got->RemovalsMayBeLapses);
        // The versions of a peer may tell removals that its image no longer
        // dates.
        Of.LastChange = std::max(Of.LastChange, Wanted);
      });
}

} // namespace masticgap::gateway
