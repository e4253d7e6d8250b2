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

namespace masticgap::gateway {

//! Newest change of each table that a gateway holds, as gossip tells it.
struct TableProgress {
  std::uint64_t Operator = 0;
  std::uint64_t Workers = 0;
};

//! Keeps configuration, evacuations and workers in step with the store, and
//! with peers that hear more of it.
class StoreSync {
public:
  //! \param OnChange runs after each change of what this host holds.
  StoreSync(GatewayState &State, const PlatformApi &Port,
            std::function<void()> OnChange);
  ~StoreSync();

  using Members = std::function<std::span<const coordination::MemberRecord>()>;

  //! \param Exchange channel to peers; it outlives the calls to this object.
  //! \param Known the members that gossip knows.
  void start(PeerExchange &Exchange, Members Known);
  void stop();
  //! A peer holds changes up to the versions that its record tells.
  void peerProgressed(const coordination::MemberRecord &Peer);
  //! A member's status changed, so another host may be the reader.
  void membersChanged();

  //! What this host holds beyond a version, for a peer.
  std::optional<PeerUpdate> update(const PeerUpdateQuery &Query) const;
  TableProgress progress() const;
  bool isConnected() const;

private:
  //! Follower of one table with its timer.
  struct Feed {
    Feed(boost::asio::io_context &Io, StoreTable Table, std::uint64_t Seed)
        : Table(Table), Follower({}, Seed), Timer(Io) {}

    StoreTable Table;
    coordination::TableFollower Follower;
    boost::asio::steady_timer Timer;
    std::uint64_t LastChange = 0;
    bool Fetching = false; //!< Catching up with a peer.
    //! Calls of earlier generations are ignored when they end.
    std::uint64_t Generation = 0;
    std::optional<HostId> Reader; //!< Asked at present, if not the store.
    bool Connected = false;       //!< As the log tells it.
  };

  void run(Feed &Of);
  void perform(Feed &Of, const coordination::FollowerCall &Call);
  void runAt(Feed &Of, Instant Time);
  void awaitStore(Feed &Of, const coordination::AwaitChanges &Call);
  void awaitReader(Feed &Of, const coordination::AwaitChanges &Call,
                   const EntryHostDescriptor &Reader);
  void readStore(Feed &Of);
  void take(Feed &Of, const PeerUpdate &Update);
  void failed(Feed &Of, coordination::StoreFailure Why);
  void settled(Feed &Of, const std::vector<coordination::RowChange> &Changes);
  void apply(Feed &Of, const std::vector<coordination::RowChange> &Changes,
             std::string_view Source, bool RemovalsMayBeLapses);
  void applyOperator(const coordination::RowChange &Change,
                     std::string_view Source);
  void applyWorker(const coordination::RowChange &Change);
  void fetchFrom(Feed &Of, const coordination::MemberRecord &Peer);
  void catchUp(Feed &Of, std::uint64_t Wanted, const Endpoint &Peer);
  const Feed &feed(StoreTable Table) const {
    return Table == StoreTable::Operator ? OperatorFeed : WorkerFeed;
  }

  GatewayState &State;
  const PlatformApi &Port;
  std::function<void()> OnChange;
  PeerExchange *Exchange = nullptr;
  Members Known;
  coordination::FeedSourceChoice Sources;
  Feed OperatorFeed;
  Feed WorkerFeed;
  std::map<std::string, FailureDomainName> Evacuations; //!< By row key.
  std::vector<WorkerId> Removed; //!< Gathered from one batch of changes.
  bool InitialWorkers = true;
  bool Stopped = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::gateway
