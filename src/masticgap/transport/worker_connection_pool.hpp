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

//! Reason why no connection was obtained; in each case no byte was sent.
enum class AcquireFailure {
  LimitReached, //!< All of this host's connections, to the worker or in total,
                //!< are in use.
  Refused,      //!< The connection could not be established.
  TimedOut,
  Cancelled
};

//! Pool of keep-alive connections to workers, with a limit for each run of a
//! worker. Not thread-safe.
class WorkerConnectionPool {
  class Impl;

public:
  //! Exclusive use of one connection. The connection is closed at the end of
  //! the lease unless keep() was called.
  class Lease {
  public:
    Lease(std::shared_ptr<Impl> Owner, WorkerTarget Target,
          std::shared_ptr<WorkerConnection> Connection);
    Lease(Lease &&) noexcept;
    Lease &operator=(Lease &&) = delete;
    ~Lease();

    WorkerConnection &connection() { return *Connection; }
    const WorkerConnection &connection() const { return *Connection; }
    //! Returns shared ownership for the handler of an operation that may
    //! outlast the lease. The end of the lease still closes the connection.
    std::shared_ptr<WorkerConnection> share() const { return Connection; }

    //! Returns the connection to the pool for another request. A complete
    //! answer must have been read, with no bytes left on the connection.
    void keep(Instant Now);

  private:
    std::shared_ptr<Impl> Owner;
    WorkerTarget Target;
    std::shared_ptr<WorkerConnection> Connection;
  };
  using Acquired = std::variant<Lease, AcquireFailure>;

  //! \param Clock local clock of this process.
  //! \param Source IP address that connections are bound to, since a host may
  //! have several; any address if empty.
  WorkerConnectionPool(boost::asio::io_context &Io,
                       std::function<Instant()> Clock, std::string Source = {});
  ~WorkerConnectionPool();
  WorkerConnectionPool(const WorkerConnectionPool &) = delete;
  WorkerConnectionPool &operator=(const WorkerConnectionPool &) = delete;

  //! Limits the number of open connections to all workers; unlimited before.
  //! At the limit, an idle connection is closed for each new one.
  void setMaxConnections(std::size_t Total);

  //! Takes an idle connection or opens one.
  //! \param Repeatable whether the request may be repeated; if not, it is only
  //! given a connection that is new or recently proved alive.
  //! \param Timeout limit for opening a connection.
  boost::asio::awaitable<Acquired> acquire(WorkerTarget Target, bool Repeatable,
                                           std::chrono::nanoseconds Timeout,
                                           AttemptControl &Control);

  //! Closes connections that have been idle for too long, and all idle
  //! connections to runs for which \p StillListed returns false.
  void
  sweep(const std::function<bool(const WorkerId &, Incarnation)> &StillListed);

  //! Returns the number of open connections, idle and leased.
  std::size_t openConnections() const;
  //! Returns the number of connections opened since the start.
  std::uint64_t connectionsOpened() const;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::transport
