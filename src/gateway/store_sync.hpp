#pragma once

#include "gateway/gateway_state.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/platform_port.hpp"
#include "masticgap/coordination/member_record.hpp"
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
  StoreSync(GatewayState &State, const PlatformPort &Port,
            std::function<void()> OnChange);
  ~StoreSync();

  void start();
  void stop();
  //! A peer holds changes up to these versions.
  void peerProgressed(const coordination::MemberRecord &Peer,
                      PeerExchange &Exchange);

  coordination::TableImage image(StoreTable Table) const;
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
    bool Fetching = false;  //!< From a peer.
    bool Connected = false; //!< As the log tells it.
  };

  void run(Feed &Of);
  void perform(Feed &Of, const coordination::FollowerCall &Call);
  void failed(Feed &Of, coordination::StoreFailure Why);
  void settled(Feed &Of, const std::vector<coordination::RowChange> &Changes,
               std::string_view Source);
  void apply(Feed &Of, const std::vector<coordination::RowChange> &Changes,
             std::string_view Source);
  void applyOperator(const coordination::RowChange &Change,
                     std::string_view Source);
  void applyWorker(const coordination::RowChange &Change);
  void fetchFrom(Feed &Of, const coordination::MemberRecord &Peer,
                 PeerExchange &Exchange);
  bool afterOutage(const Feed &Of) const;

  GatewayState &State;
  const PlatformPort &Port;
  std::function<void()> OnChange;
  Feed OperatorFeed;
  Feed WorkerFeed;
  std::map<std::string, FailureDomainName> Evacuations; //!< By row key.
  std::vector<WorkerId> Removed; //!< Gathered from one batch of changes.
  bool InitialWorkers = true;
  bool Stopped = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::gateway
