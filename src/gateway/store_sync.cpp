#include "gateway/store_sync.hpp"

#include "gateway/table_name.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace masticgap::gateway {

using namespace coordination;

StoreSync::StoreSync(GatewayState &State, const PlatformApi &Platform,
                     std::function<void()> OnChange)
    : State(State), Platform(Platform), OnChange(std::move(OnChange)),
      Sources(State.Settings.Host),
      OperatorFeed(State.Io, StoreTable::Operator, State.Random()),
      WorkerFeed(State.Io, StoreTable::Workers, State.Random()),
      NextPeer(State.Random()) {}

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
  Feed.CallingStore = false;
  if (const auto *Wait = std::get_if<WaitUntil>(&Call))
    return startNextCallAt(Feed, Wait->Time);
  ++Feed.Generation;
  const auto *Await = std::get_if<AwaitChanges>(&Call);
  if (!Await)
    return readStore(Feed);
  const FeedSource Source =
      Sources.choose(KnownMembers(), State.Settings.Domain, State.now());
  logSource(Feed, Source);
  if (const auto *Reader = std::get_if<UseReader>(&Source))
    return awaitReader(Feed, *Await, Reader->Reader);
  if (const auto *Later = std::get_if<RetryLater>(&Source))
    return startNextCallAt(Feed, Later->Time);
  awaitStore(Feed, *Await);
}

void StoreSync::logSource(TableFeed &Feed, const FeedSource &Source) {
  const auto *Reader = std::get_if<UseReader>(&Source);
  std::string Name = Reader ? Reader->Reader.Id.value()
                     : std::holds_alternative<UseStore>(Source)
                         ? std::string(StoreSource)
                         : "none";
  if (Name == Feed.LoggedSource)
    return;
  State.Log.write(LogClass::Decision, "feed_source",
                  {{"table", tableName(Feed.Table)},
                   {"source", Name},
                   {"before", Feed.LoggedSource},
                   {"version", Feed.Follower.table().version().Version}});
  Feed.LoggedSource = std::move(Name);
}

void StoreSync::startNextCallAt(TableFeed &Feed, Instant Time) {
  Feed.Timer.expires_after(Time - State.now());
  Feed.Timer.async_wait([this, &Feed](boost::system::error_code Failure) {
    if (!Failure)
      startNextCall(Feed);
  });
}

void StoreSync::awaitStore(TableFeed &Feed, const AwaitChanges &Call) {
  Feed.CallStart = State.now();
  Feed.CallingStore = true;
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
  Feed.CallingStore = true;
  Feed.CallStart = State.now();
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
                      applyUpdate(Feed, *Update, "reader");
                      return startNextCall(Feed);
                    }
                    State.Stats.count("reader_failures", tableName(Feed.Table));
                    Sources.failed(Id, State.now());
                    startNextCall(Feed);
                  });
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
  logFailedCall(Feed, HistoryGone);
  // HistoryGone is an answer of the store, so the store is still connected.
  Feed.ReportedConnected = HistoryGone && Feed.ReportedConnected;
  // Hosts that wait for changes here have to query another host.
  Exchange->notify();
  startNextCall(Feed);
}

void StoreSync::logFailedCall(TableFeed &Feed, bool HistoryGone) {
  if (HistoryGone) {
    Feed.FailedCalls = 0;
    return;
  }
  // Of a long series, the first calls and then fewer and fewer are logged.
  if (!std::has_single_bit(++Feed.FailedCalls))
    return;
  State.Log.write(LogClass::Decision, "store_call_failed",
                  {{"table", tableName(Feed.Table)},
                   {"call", Feed.Reading ? "read" : "changes"},
                   {"ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                              State.now() - Feed.CallStart)
                              .count()},
                   {"failures", Feed.FailedCalls},
                   {"version", Feed.Follower.table().version().Version}});
}

void StoreSync::onStoreChanges(TableFeed &Feed,
                               const std::vector<RowChange> &Changes) {
  Sources.storeAnswered();
  Feed.FailedCalls = 0;
  if (!Feed.ReportedConnected) {
    Feed.ReportedConnected = true;
    State.Log.write(LogClass::Decision, "store_connected",
                    {{"table", tableName(Feed.Table)},
                     {"version", Feed.Follower.table().version().Version}});
  }
  apply(Feed, Changes, StoreSource, Feed.Follower.lapseGrace(State.now()));
  startNextCall(Feed);
}

bool StoreSync::isConnected() const {
  return OperatorFeed.Follower.isConnected() &&
         WorkerFeed.Follower.isConnected();
}

} // namespace masticgap::gateway
