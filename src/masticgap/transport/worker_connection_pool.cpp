#include "masticgap/transport/worker_connection_pool.hpp"

#include "masticgap/transport/dead_peer_detection.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <limits>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>

namespace masticgap::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
using coordination::ConnectionUse;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

//! Returns whether the connection is open and has no unread input. Unexpected
//! input is the rest of an earlier answer, so the connection is not reused.
bool isOpenWithoutInput(WorkerConnection &Connection) {
  if (Connection.Buffer.size() > 0 || !Connection.Stream.socket().is_open())
    return false;
  char Byte = 0;
  const auto Read = ::recv(Connection.Stream.socket().native_handle(), &Byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  return Read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

//! Binds the connection to the local address \p Source.
beast::error_code bindTo(WorkerStream &Stream, const Tcp::endpoint &To,
                         const std::string &Source) {
  beast::error_code Failure;
  const auto Address = asio::ip::make_address(Source, Failure);
  if (Failure)
    return Failure;
  Stream.socket().open(To.protocol(), Failure);
  if (Failure)
    return Failure;
  // Defers the choice of the port to connect(), so that connections to
  // different workers can share a port. Without this option, each connection
  // occupies a port exclusively.
  const int On = 1;
  ::setsockopt(Stream.socket().native_handle(), IPPROTO_IP,
               IP_BIND_ADDRESS_NO_PORT, &On, sizeof(On));
  Stream.socket().bind({Address, 0}, Failure);
  return Failure;
}

AcquireFailure classifyConnect(beast::error_code Failure,
                               const AttemptControl &Control) {
  if (Control.isCancelled())
    return AcquireFailure::Cancelled;
  return Failure == beast::error::timeout ? AcquireFailure::TimedOut
                                          : AcquireFailure::Refused;
}

} // namespace

class WorkerConnectionPool::Impl {
public:
  Impl(asio::io_context &Io, std::function<Instant()> Clock, std::string Source)
      : Io(Io), Clock(std::move(Clock)), Source(std::move(Source)) {}

  using Key = std::pair<WorkerId, Incarnation>;
  struct Worker {
    std::vector<std::shared_ptr<WorkerConnection>> Idle;
    std::size_t Open = 0; //!< Idle and leased.
  };

  std::shared_ptr<WorkerConnection> takeIdle(Worker &W, bool Repeatable) {
    const Instant Now = Clock();
    while (!W.Idle.empty()) {
      const ConnectionUse Use = W.Idle.back()->Health.use(Now);
      // The last connection was used most recently: if it is not proved alive,
      // no other one is.
      if (Use == ConnectionUse::RepeatableOnly && !Repeatable)
        return {};
      auto Candidate = std::move(W.Idle.back());
      W.Idle.pop_back();
      if (Use != ConnectionUse::Close && isOpenWithoutInput(*Candidate))
        return Candidate;
      --W.Open;
    }
    return {};
  }

  //! Ensures capacity for a new connection, if necessary by closing the oldest
  //! idle one.
  static bool ensureCapacity(Worker &W, std::size_t MaxConnections) {
    if (W.Open < MaxConnections)
      return true;
    if (W.Idle.empty())
      return false;
    W.Idle.erase(W.Idle.begin());
    --W.Open;
    return true;
  }

  std::size_t openConnections() const {
    std::size_t Sum = 0;
    for (const auto &[Key, W] : Workers)
      Sum += W.Open;
    return Sum;
  }

  //! Ensures that one more connection may be opened in total, if necessary by
  //! closing an idle one to another worker. Entries of workers are not removed.
  bool ensureTotalCapacity() {
    if (openConnections() < MaxConnections)
      return true;
    for (auto &[Key, W] : Workers)
      if (!W.Idle.empty()) {
        W.Idle.erase(W.Idle.begin());
        --W.Open;
        return true;
      }
    return false;
  }

  void returnIdle(const Key &WorkerRun,
                  std::shared_ptr<WorkerConnection> Connection) {
    Connection->Reused = true;
    Workers[WorkerRun].Idle.push_back(std::move(Connection));
  }

  void recordClosed(const Key &WorkerRun) {
    const auto Entry = Workers.find(WorkerRun);
    if (Entry != Workers.end() && --Entry->second.Open == 0)
      Workers.erase(Entry);
  }

  asio::io_context &Io;
  std::function<Instant()> Clock;
  std::string Source;
  std::map<Key, Worker> Workers;
  std::uint64_t Opened = 0;
  std::size_t MaxConnections = std::numeric_limits<std::size_t>::max();
};

WorkerConnectionPool::Lease::Lease(std::shared_ptr<Impl> Owner,
                                   WorkerTarget Target,
                                   std::shared_ptr<WorkerConnection> Connection)
    : Owner(std::move(Owner)), Target(std::move(Target)),
      Connection(std::move(Connection)) {}

WorkerConnectionPool::Lease::Lease(Lease &&) noexcept = default;

WorkerConnectionPool::Lease::~Lease() {
  if (!Connection)
    return;
  Connection->Stream.close();
  Connection.reset();
  Owner->recordClosed({Target.Id, Target.Run});
}

void WorkerConnectionPool::Lease::keep(Instant Now) {
  Connection->Health.answered(Now);
  Connection->Stream.expires_never();
  Owner->returnIdle({Target.Id, Target.Run}, std::move(Connection));
}

WorkerConnectionPool::WorkerConnectionPool(asio::io_context &Io,
                                           std::function<Instant()> Clock,
                                           std::string Source)
    : Pimpl(std::make_shared<Impl>(Io, std::move(Clock), std::move(Source))) {}

WorkerConnectionPool::~WorkerConnectionPool() = default;

asio::awaitable<WorkerConnectionPool::Acquired>
WorkerConnectionPool::acquire(WorkerTarget Target, bool Repeatable,
                              std::chrono::nanoseconds Timeout,
                              AttemptControl &Control) {
  Impl::Worker &W = Pimpl->Workers[{Target.Id, Target.Run}];
  if (auto Idle = Pimpl->takeIdle(W, Repeatable))
    co_return Acquired(Lease(Pimpl, std::move(Target), std::move(Idle)));
  if (!Impl::ensureCapacity(W, Target.MaxConnections) ||
      !Pimpl->ensureTotalCapacity())
    co_return Acquired(AcquireFailure::LimitReached);
  ++W.Open;
  ++Pimpl->Opened;
  Lease Fresh(Pimpl, Target,
              std::make_shared<WorkerConnection>(Pimpl->Io, Pimpl->Clock()));
  WorkerStream &Stream = Fresh.connection().Stream;
  beast::error_code Failure;
  const auto Address = asio::ip::make_address(Target.Address.Address, Failure);
  if (Failure)
    co_return Acquired(AcquireFailure::Refused);
  const Tcp::endpoint To(Address, Target.Address.Port);
  if (!Pimpl->Source.empty() && bindTo(Stream, To, Pimpl->Source))
    co_return Acquired(AcquireFailure::Refused);
  Stream.expires_after(Timeout);
  Control.attach(&Stream);
  const auto [ConnectFailure] = co_await Stream.async_connect(To, AsTuple);
  Control.detach();
  if (ConnectFailure || Control.isCancelled())
    co_return Acquired(classifyConnect(ConnectFailure, Control));
  beast::error_code Ignored;
  Stream.socket().set_option(Tcp::no_delay(true), Ignored);
  detectDeadPeer(Stream.socket());
  co_return Acquired(std::move(Fresh));
}

void WorkerConnectionPool::sweep(
    const std::function<bool(const WorkerId &, Incarnation)> &StillListed) {
  const Instant Now = Pimpl->Clock();
  for (auto It = Pimpl->Workers.begin(); It != Pimpl->Workers.end();) {
    auto &[Key, W] = *It;
    const bool Listed = StillListed(Key.first, Key.second);
    const std::size_t Closed =
        std::erase_if(W.Idle, [&](const auto &Connection) {
          return !Listed || Connection->Health.use(Now) == ConnectionUse::Close;
        });
    W.Open -= Closed;
    It = W.Open == 0 ? Pimpl->Workers.erase(It) : std::next(It);
  }
}

std::size_t WorkerConnectionPool::openConnections() const {
  return Pimpl->openConnections();
}

void WorkerConnectionPool::setMaxConnections(std::size_t Total) {
  Pimpl->MaxConnections = Total;
}

std::uint64_t WorkerConnectionPool::connectionsOpened() const {
  return Pimpl->Opened;
}

} // namespace masticgap::transport
