#pragma once

#include "gateway/platform_api.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::gateway {

//! What a peer tells of a table: changes, or all rows when it cannot tell the
//! changes since the version asked for.
struct PeerUpdate {
  std::vector<coordination::RowChange> Changes;
  std::uint64_t Version = 0;
  bool IsSnapshot = false; //!< Changes are all rows of the table.
  //! The peer has no connection to the store, or has it again only since a
  //! moment, so removals may be registrations that lapsed.
  bool RemovalsMayBeLapses = false;
};

//! Encodes an update for a peer (cereal portable binary).
std::string encodeUpdate(const PeerUpdate &Update);

//! \returns nothing when the bytes are not a whole update.
std::optional<PeerUpdate> decodeUpdate(std::string_view Bytes);

//! Question for the changes of a table.
struct PeerUpdateQuery {
  StoreTable Table = StoreTable::Operator;
  std::uint64_t AfterVersion = 0;
  std::chrono::milliseconds Wait{0}; //!< For the first change.
  //! Asks a reader, which must have a connection to the store itself.
  bool FromReader = false;
};

//! Gives what this host holds of the store's tables to peers, and reads what
//! they hold.
class PeerExchange {
public:
  //! What this host holds beyond a version; nothing when it has no table, or
  //! no connection to the store and FromReader is set.
  using Source =
      std::function<std::optional<PeerUpdate>(const PeerUpdateQuery &)>;
  using Handler = std::function<void(std::optional<PeerUpdate>)>;

  //! \throws boost::system::system_error if the address cannot be bound.
  PeerExchange(boost::asio::io_context &Io, const Endpoint &Bind,
               Source OwnUpdate);
  ~PeerExchange();

  //! Reads a peer's changes.
  void fetch(const Endpoint &Peer, const PeerUpdateQuery &Query, Handler Done);
  //! Answers the peers that wait for changes, now that there are some.
  void notify();

private:
  //! Peer whose answer waits for a change.
  struct Waiter {
    Waiter(boost::asio::io_context &Io, PeerUpdateQuery Query,
           transport::HttpServer::Reply Reply)
        : Query(Query), Reply(std::move(Reply)), Timer(Io) {}

    PeerUpdateQuery Query;
    transport::HttpServer::Reply Reply;
    boost::asio::steady_timer Timer;
  };
  using WaiterPtr = std::shared_ptr<Waiter>;

  void serve(const transport::HttpRequest &Request,
             const transport::HttpServer::Reply &Reply);
  void answer(const WaiterPtr &To);

  boost::asio::io_context &Io;
  Source OwnUpdate;
  transport::HttpServer Server;
  std::list<WaiterPtr> Waiting;
};

} // namespace masticgap::gateway
