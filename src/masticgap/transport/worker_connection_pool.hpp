#pragma once

#include "masticgap/state/time.hpp"
#include "masticgap/transport/attempt_control.hpp"
#include "masticgap/transport/worker_connection.hpp"
#include "masticgap/transport/worker_target.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace masticgap::transport {

//! Why no connection was obtained; in each case no byte was sent.
enum class AcquireFailure {
  LimitReached, //!< All of this host's connections to the worker are in use.
  Refused,      //!< The connection was not established.
  TimedOut,
  Cancelled
};

//! Keep-alive connections to workers, bounded for each run of a worker. One
//! thread owns it.
class WorkerConnectionPool {
  class Impl;

public:
  //! Exclusive use of one connection. The connection is closed at the end of
  //! the lease unless keep() was called.
  class Lease {
  public:
    Lease(std::shared_ptr<Impl> Owner, WorkerTarget Target,
          std::unique_ptr<WorkerConnection> Connection);
    Lease(Lease &&) noexcept;
    Lease &operator=(Lease &&) = delete;
    ~Lease();

    WorkerConnection &connection() { return *Connection; }
    const WorkerConnection &connection() const { return *Connection; }

    //! A whole answer was read and nothing is left on the connection: it may
    //! carry another request.
    void keep(Instant Now);

  private:
    std::shared_ptr<Impl> Owner;
    WorkerTarget Target;
    std::unique_ptr<WorkerConnection> Connection;
  };
  using Acquired = std::variant<Lease, AcquireFailure>;

  //! \param Clock time of the own process.
  //! \param Source IP number that connections are made from, since a host may
  //! have several; any when empty.
  WorkerConnectionPool(boost::asio::io_context &Io,
                       std::function<Instant()> Clock, std::string Source = {});
  ~WorkerConnectionPool();
  WorkerConnectionPool(const WorkerConnectionPool &) = delete;
  WorkerConnectionPool &operator=(const WorkerConnectionPool &) = delete;

  //! Takes an idle connection or opens one.
  //! \param Repeatable a request that is not repeatable gets only a connection
  //! that is fresh or lately proved alive.
  //! \param Timeout limit for opening a connection.
  boost::asio::awaitable<Acquired> acquire(WorkerTarget Target, bool Repeatable,
                                           std::chrono::nanoseconds Timeout,
                                           AttemptControl &Control);

  //! Closes idle connections that were idle for too long, and all idle ones to
  //! runs for which \p StillListed is false.
  void
  sweep(const std::function<bool(const WorkerId &, Incarnation)> &StillListed);

  //! Open connections, idle and leased.
  std::size_t openConnections() const;
  //! Connections opened so far.
  std::uint64_t connectionsOpened() const;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::transport
