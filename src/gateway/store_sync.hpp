#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/platform_api.hpp"
#include "masticgap/coordination/member_record.hpp"
#include "masticgap/coordination/replica/feed_source.hpp"
#include "masticgap/coordination/replica/table_follower.hpp"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>
#include <span>

namespace masticgap::gateway {

//! Position of the newest change of each table, as announced through gossip.
struct TableProgress {
  coordination::StorePosition Operator;
  coordination::StorePosition Workers;

  //! Returns the progress that a member announces.
  static TableProgress of(const coordination::MemberRecord &Member);
};

//! Synchronizes configuration, evacuations and workers with the store, and with
//! peers that have newer versions.
class StoreSync {
public:
  //! \param OnChange runs after each change of a local table.
  StoreSync(GatewayState &State, const PlatformApi &Platform,
            std::function<void()> OnChange);
  ~StoreSync();

  using MemberAccessor =
      std::function<std::span<const coordination::MemberRecord>()>;

  //! \param Exchange channel to peers; it outlives the calls to this object.
  //! \param Accessor returns the members known to gossip.
  void start(PeerExchange &Exchange, MemberAccessor Accessor);
  void stop();
  //! Catches up with a peer whose record announces newer versions.
  void peerProgressed(const coordination::MemberRecord &Peer);
  //! Reads the tables again if the store's era has risen.
  //! \param Era of an answer of the store.
  void onEra(coordination::StoreEra Era);
  //! Ends grace periods and asks peers, to be called periodically.
  void tick();
  //! Returns whether a peer has told what it holds from before a restore of the
  //! store, or nothing can have been lost.
  bool knowsHeldRows() const;
  //! Chooses another reader if the current one is no longer alive.
  void membersChanged();

  //! Returns the changes for a peer's query, or a complete snapshot if the
  //! changes are no longer available.
  //! \returns nothing when the table is not loaded, or a reader is required and
  //! the store is not connected.
  std::optional<PeerUpdate> update(const PeerUpdateQuery &Query) const;
  TableProgress progress() const;
  bool isConnected() const;
  //! Returns for how long this host has known that a peer has a newer version
  //! of a table; zero if it knows of none.
  Duration behindFor(StoreTable Table) const;

private:
  //! Follower of one table, with its timer.
  struct TableFeed {
    TableFeed(boost::asio::io_context &Io, StoreTable Table, std::uint64_t Seed)
        : Table(Table), Follower({}, Seed), Timer(Io) {}

    StoreTable Table;
    coordination::TableFollower Follower;
    boost::asio::steady_timer Timer;
    //! Version of the newest change, announced through gossip. It may exceed
    //! the versions of all rows after a removal.
    coordination::StorePosition NewestChangeVersion;
    //! Number of peers that are still to be asked what they hold from before a
    //! restore of the store.
    unsigned PeersToAsk = 0;
    bool PeerAnswered = true;  //!< One of those peers did.
    bool Reading = false;      //!< The current call reads the table.
    bool CallingStore = false; //!< The current call is one to the store.
    Instant NextDirectCall;    //!< See callStoreIfBehind().
    bool Fetching = false;     //!< Catching up with a peer.
    //! Results of calls from earlier generations are ignored.
    std::uint64_t Generation = 0;
    std::optional<HostId> Reader;   //!< Queried instead of the store.
    bool ReportedConnected = false; //!< State in the last log line.
    Instant CallStart;              //!< Of the last call to the store.
    unsigned FailedCalls = 0;       //!< To the store, since it answered one.
    std::string LoggedSource;       //!< In the last line about the source.
    coordination::StorePosition NewestOfPeers; //!< That gossip announced.
    std::optional<Instant> BehindSince;        //!< See behindFor().
  };

  //! Source in the log of what the store sent.
  static constexpr std::string_view StoreSource = "store";

  void startNextCall(TableFeed &Feed);
  //! Logs the source of a feed if it is another one than before.
  void logSource(TableFeed &Feed, const coordination::FeedSource &Source);
  void startCall(TableFeed &Feed, const coordination::FollowerCall &Call);
  void startNextCallAt(TableFeed &Feed, Instant Time);
  void awaitStore(TableFeed &Feed, const coordination::AwaitChanges &Call);
  void awaitReader(TableFeed &Feed, const coordination::AwaitChanges &Call,
                   const EntryHostDescriptor &Reader);
  void readStore(TableFeed &Feed);
  //! Records whether removals are definite, so that they are passed on as such.
  void recordRemovals(TableFeed &Feed,
                      std::span<const coordination::RowChange> Changes,
                      Duration LapseGrace);
  //! Records the definite removals of an update, also those that are known
  //! already as possible lapses.
  void recordDefiniteRemovals(TableFeed &Feed, const PeerUpdate &Update);
  //! \param Source for the log: "store", "reader" or "gossip".
  void applyUpdate(TableFeed &Feed, const PeerUpdate &Update,
                   std::string_view Source);
  //! Calls the store if this host has been behind its peers for long: its
  //! reader and the peers that it asked may be silent or slow.
  void callStoreIfBehind(TableFeed &Feed);
  //! Logs a call to the store without a usable answer.
  void logFailedCall(TableFeed &Feed, bool HistoryGone);
  void onStoreFailure(TableFeed &Feed, coordination::StoreFailure Failure);
  void onStoreChanges(TableFeed &Feed,
                      const std::vector<coordination::RowChange> &Changes);
  void apply(TableFeed &Feed,
             const std::vector<coordination::RowChange> &Changes,
             std::string_view Source, Duration LapseGrace);
  void applyOperator(const coordination::RowChange &Change,
                     std::string_view Source);
  //! Adopts a configuration. Its unreadable entries are logged and replaced by
  //! those of the current configuration.
  void adopt(std::shared_ptr<const TrafficConfig> New);
  void applyWorker(const coordination::RowChange &Change);
  void fetchFrom(TableFeed &Feed, const coordination::MemberRecord &Peer);
  void catchUp(TableFeed &Feed, coordination::StorePosition WantedVersion,
               const Endpoint &Peer);
  //! Asks a live peer for what it holds from before a restore.
  void askPeers();
  //! Starts the grace periods of a later era of the store.
  void startEra(TableFeed &Feed, std::string_view Source);
  //! Adds what this host holds from before a restore.
  void addHeld(PeerUpdate &Update, const PeerUpdateQuery &Query) const;
  void applyHeld(const PeerUpdate &Update, std::string_view Source);
  void updateEvacuated();
  const TableFeed &feed(StoreTable Table) const {
    return Table == StoreTable::Operator ? OperatorFeed : WorkerFeed;
  }

  GatewayState &State;
  const PlatformApi &Platform;
  std::function<void()> OnChange;
  PeerExchange *Exchange = nullptr;
  MemberAccessor KnownMembers;
  coordination::FeedSourceChoice Sources;
  TableFeed OperatorFeed;
  TableFeed WorkerFeed;
  struct EvacuationRow {
    FailureDomainName Domain;
    std::string Value; //!< Of the row, for peers.
  };
  std::map<std::string, EvacuationRow> Evacuations; //!< By row key.
  //! Until then no evacuation ends, since the operator may write its row again.
  std::optional<Instant> EvacuationsHeldUntil;
  //! Row of the configuration in force. The copy may have an older one.
  std::optional<coordination::TableRow> ConfigRow;
  std::size_t NextPeer; //!< Index of the next peer to ask.
  std::vector<WorkerId>
      RemovedWorkers;      //!< Collected from one batch of changes.
  bool EraStarted = false; //!< That batch is the first of an era.
  bool Stopped = false;
  //! Set to false by the destructor; handlers of pending calls check it.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::gateway
