#pragma once

#include "gateway/platform_api.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticgap::gateway {

//! Update of a table from a peer: the changes since the requested version, or a
//! complete snapshot if the peer no longer has these changes.
struct PeerUpdate {
  std::vector<coordination::RowChange> Changes;
  coordination::StorePosition Version;
  bool IsSnapshot = false; //!< Changes are all rows of the table.
  //! Time for which removals may be lapsed registrations; zero if they are
  //! definite.
  std::chrono::milliseconds LapseGrace{0};
  //! Rows that are in force at the peer although its copy has none or others,
  //! because the store was restored. They apply in any era.
  std::vector<coordination::TableRow> Held;
  //! Time for which evacuations in Held are in force.
  std::chrono::milliseconds HeldGrace{0};
  //! Incarnations that ended before the restore. They apply in any era.
  std::vector<std::pair<WorkerId, coordination::EndedIncarnation>> Ended;
};

//! Encodes an update for a peer (cereal portable binary).
std::string encodeUpdate(const PeerUpdate &Update);

//! Decodes an update of a peer.
//! \returns nothing when the bytes are truncated or malformed.
std::optional<PeerUpdate> decodeUpdate(std::string_view Bytes);

//! Query for the changes of a table after a version.
struct PeerUpdateQuery {
  StoreTable Table = StoreTable::Operator;
  coordination::StorePosition AfterVersion;
  //! How long the peer may delay its answer while it has no change.
  std::chrono::milliseconds Wait{0};
  //! Requires the answering host to be connected to the store itself.
  bool FromReader = false;
};

//! Serves this host's copies of the store's tables to peers, and fetches
//! updates from them.
class PeerExchange {
public:
  //! Returns this host's changes after a version, or nothing when the table is
  //! not loaded, or FromReader is set and the store is not connected.
  using Source =
      std::function<std::optional<PeerUpdate>(const PeerUpdateQuery &)>;
  using Handler = std::function<void(std::optional<PeerUpdate>)>;

  //! \throws boost::system::system_error if the address cannot be bound.
  PeerExchange(boost::asio::io_context &Io, const Endpoint &Bind,
               Source LocalUpdate);
  ~PeerExchange();

  //! Sets a function that gets the number of bytes of each fetch, of the
  //! query and the answer.
  void onFetched(std::function<void(const Endpoint &, std::size_t)> Count) {
    CountBytes = std::move(Count);
  }
  //! Fetches the changes that a peer has; the handler gets nothing on failure.
  void fetch(const Endpoint &Peer, const PeerUpdateQuery &Query, Handler Done);
  //! Answers the waiting peers whose queries now have a result. Equal queries
  //! are looked up and encoded once.
  void notify();

  //! Returns the address and port that peers connect to.
  Endpoint local() const { return Server.local(); }

private:
  //! Query of a peer whose answer is delayed until a change arrives.
  struct Waiter {
    Waiter(boost::asio::io_context &Io, PeerUpdateQuery Query, bool Compress,
           transport::HttpServer::Reply Reply)
        : Query(Query), Compress(Compress), Reply(std::move(Reply)), Timer(Io) {
    }

    PeerUpdateQuery Query;
    bool Compress; //!< The peer accepts a compressed answer.
    transport::HttpServer::Reply Reply;
    boost::asio::steady_timer Timer;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;

  void serve(const transport::HttpRequest &Request,
             const transport::HttpServer::Reply &Reply);
  void answer(const WaiterPtr &Due);

  boost::asio::io_context &Io;
  Source LocalUpdate;
  std::function<void(const Endpoint &, std::size_t)> CountBytes;
  transport::HttpServer Server;
  //! Queries without an answer, owned by this list only, so that none outlives
  //! this object. Whoever removes one answers it.
  std::list<WaiterPtr> Waiters;
};

} // namespace masticgap::gateway
