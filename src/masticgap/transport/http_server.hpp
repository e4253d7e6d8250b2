#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/caller_registry.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace masticgap::transport {

//! Limits that protect a server from slow and large requests.
struct HttpServerLimits {
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024 * 1024;
  std::size_t MaxConnections = 4096;
  //! Maximum time to receive a request body, and to send an answer.
  std::chrono::seconds ReceiveTimeout{10};
  //! Maximum time to wait for the header of the next request on a connection.
  std::chrono::seconds IdleTimeout{60};
  //! Request header that is set to the sender's IP address, replacing any value
  //! from the sender; no header is set if empty.
  std::string PeerAddressHeader;
  //! Accounts for connections and their memory, common to several servers; null
  //! if they are not counted.
  std::shared_ptr<CallerRegistry> Accounts;
};

//! HTTP/1.1 server for small messages: look-up, admin, peers and stand-ins.
//! Runs on one thread. Each request is answered before the next one on the same
//! connection is read.
class HttpServer {
public:
  //! Answers one request. Calls after the first one have no effect.
  using Reply = std::function<void(HttpResponse)>;
  //! Called once per request; the Reply is to be called once, immediately or
  //! later, on the thread of the io_context.
  using Handler = std::function<void(HttpRequest, Reply)>;

  //! Binds and starts to accept connections; port 0 selects a free port.
  //! \throws boost::system::system_error if the address cannot be bound.
  HttpServer(boost::asio::io_context &Io, const Endpoint &Bind,
             HttpServerLimits Limits, Handler OnRequest);
  //! Drains the server. The handler is not called any more: requests that are
  //! received completely after this are answered with status 503.
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  //! Returns the address and port that the server is bound to.
  Endpoint local() const;

  //! Stops accepting connections and closes idle ones. Requests in progress are
  //! answered with "Connection: close".
  void drain();

  std::size_t openConnections() const;

  class Impl;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::transport
