#pragma once

#include "gateway/platform_port.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::gateway {

//! Encodes an image of a table for a peer (cereal portable binary).
std::string encodeImage(const coordination::TableImage &Image);

//! \returns nothing when the bytes are not a whole image.
std::optional<coordination::TableImage> decodeImage(std::string_view Bytes);

//! Gives the own copies of the store's tables to peers, and reads theirs. A
//! host that the store turns away stays up to date by it.
class PeerExchange {
public:
  using Source = std::function<coordination::TableImage(StoreTable)>;
  using Handler = std::function<void(std::optional<coordination::TableImage>)>;

  //! \throws boost::system::system_error if the address cannot be bound.
  PeerExchange(boost::asio::io_context &Io, const Endpoint &Bind,
               Source OwnImage);

  //! Reads a peer's copy.
  void fetch(const Endpoint &Peer, StoreTable Table, Handler Done);
  void drain() { Server.drain(); }

private:
  boost::asio::io_context &Io;
  Source OwnImage;
  transport::HttpServer Server;
};

} // namespace masticgap::gateway
