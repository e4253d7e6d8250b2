#pragma once

#include "entry/caller_connection.hpp"
#include "entry/traffic_state.hpp"
#include "masticgap/state/endpoint.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace masticgap::entry {

//! Traffic port: accepts callers and serves the requests of each connection one
//! after the other.
class TrafficServer {
public:
  //! Binds and starts to accept; port 0 selects a free port.
  //! \throws boost::system::system_error if the address cannot be bound.
  TrafficServer(TrafficState &State, const Endpoint &Bind);
  ~TrafficServer();
  TrafficServer(const TrafficServer &) = delete;
  TrafficServer &operator=(const TrafficServer &) = delete;

  Endpoint local() const;

  //! Closes each connection after its next answer, so that callers open their
  //! next connection to another host. New connections are still accepted.
  void closeAfterAnswers();

  //! Stops accepting connections. Requests in progress are finished, and each
  //! connection is closed after its answer.
  //! \param OnEmpty runs once, when the last connection is closed.
  void drain(std::function<void()> OnEmpty);

  //! Resets all connections and cancels their requests.
  void abort();

  std::size_t openConnections() const;

  class Impl;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::entry
