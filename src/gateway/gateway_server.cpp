#include "gateway/gateway_server.hpp"

#include "entry/caller_connection.hpp"
#include "entry/scoped_registration.hpp"
#include "gateway/request_flow.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <exception>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace masticgap::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using entry::CallerConnection;
using entry::ReadFailure;
using Tcp = asio::ip::tcp;

namespace {

//! Delay after a connection could not be accepted.
constexpr std::chrono::milliseconds AcceptRetry{20};

//! Time for which a stopping host waits for the first request on a connection.
constexpr std::chrono::milliseconds FirstRequestWait{300};

//! Retry-After of a request for whose body there is no memory.
constexpr std::chrono::duration<double> MinMemoryRetry{0.5};
constexpr std::chrono::duration<double> MaxMemoryRetry{1.5};

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

//! How a request that cannot be read is answered.
struct Unreadable {
  http::status Status;
  std::string_view Reason;
};

Unreadable describeFailure(ReadFailure Failure) {
  switch (Failure) {
  case ReadFailure::TooLarge:
    return {http::status::payload_too_large, "too_large"};
  case ReadFailure::TooSlow:
    return {http::status::request_timeout, "too_slow"};
  default:
    return {http::status::bad_request, "malformed"};
  }
}

} // namespace

class GatewayServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(GatewayState &State, const Endpoint &Bind)
      : State(State), Acceptor(State.Io), IdleTimer(State.Io),
        AcceptTimer(State.Io) {
    const Tcp::endpoint Address(asio::ip::make_address(Bind.Address),
                                Bind.Port);
    Acceptor.open(Address.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
  }

  void accept();
  void onAcceptFailure(beast::error_code Failure);
  void acceptWaiting();
  void closeIdle();
  void startSession(Tcp::socket Socket);
  asio::awaitable<void> session(std::shared_ptr<CallerConnection> Caller);
  asio::awaitable<bool> serveNext(CallerConnection &Caller);
  asio::awaitable<void> rejectUnreadable(CallerConnection &Caller,
                                         ReadFailure Failure);
  asio::awaitable<void> rejectForMemory(CallerConnection &Caller);
  void onSessionEnd(const std::shared_ptr<CallerConnection> &Caller,
                    const std::exception_ptr &Failure);
  void recordUnreadRequest(const CallerConnection &Caller,
                           std::string_view RequestId);

  GatewayState &State;
  Tcp::acceptor Acceptor;
  asio::steady_timer IdleTimer;
  asio::steady_timer AcceptTimer;
  std::set<std::shared_ptr<CallerConnection>> Callers;
  std::set<RequestFlow *> Running;
  std::function<void()> OnEmpty;
  bool Draining = false;
  bool ClosingAfterAnswers = false;
};

void GatewayServer::Impl::accept() {
  Acceptor.async_accept([Self = shared_from_this()](beast::error_code Failure,
                                                    Tcp::socket Socket) {
    if (Failure == asio::error::operation_aborted)
      return;
    if (Failure) {
      Self->onAcceptFailure(Failure);
      return;
    }
    if (Self->Callers.size() < Self->State.Limits.MaxCallers)
      Self->startSession(std::move(Socket));
    else
      Self->State.Stats.count("callers", "over_limit");
    // A connection may have been accepted just before drain().
    if (!Self->Draining)
      Self->accept();
  });
}

void GatewayServer::Impl::onAcceptFailure(beast::error_code Failure) {
  State.Log.write(LogClass::Decision, "accept_failed",
                  {{"error", Failure.message()}});
  if (Failure == asio::error::no_descriptors)
    State.CallerAccounts->closeOne();
  // The failed connection stays in the queue, so that the next attempt could
  // fail at once.
  AcceptTimer.expires_after(AcceptRetry);
  AcceptTimer.async_wait([Self = shared_from_this()](beast::error_code Ended) {
    if (!Ended && !Self->Draining)
      Self->accept();
  });
}

//! Accepts the connections that wait at the listening socket. Closing it would
//! reset them.
void GatewayServer::Impl::acceptWaiting() {
  beast::error_code Failure;
  Acceptor.non_blocking(true, Failure);
  while (!Failure) {
    Tcp::socket Socket = Acceptor.accept(Failure);
    if (!Failure)
      startSession(std::move(Socket));
  }
}

void GatewayServer::Impl::closeIdle() {
  const auto Open = Callers;
  for (const auto &Caller : Open)
    if (!Caller->isBusy())
      Caller->closeIfIdle();
}

void GatewayServer::Impl::startSession(Tcp::socket Socket) {
  beast::error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  auto Caller =
      std::make_shared<CallerConnection>(std::move(Socket), State.Limits);
  auto Account = State.CallerAccounts->open(
      [Evicted = std::weak_ptr<CallerConnection>(Caller)] {
        if (const auto Open = Evicted.lock())
          Open->evict();
      });
  if (!Account) {
    State.Stats.count("callers", "over_limit");
    return;
  }
  Caller->setAccount(std::move(Account));
  if (ClosingAfterAnswers)
    Caller->closeAfterAnswer();
  Callers.insert(Caller);
  asio::co_spawn(
      State.Io, session(Caller),
      [Self = shared_from_this(), Caller](const std::exception_ptr &Failure) {
        Self->onSessionEnd(Caller, Failure);
      });
}

void GatewayServer::Impl::onSessionEnd(
    const std::shared_ptr<CallerConnection> &Caller,
    const std::exception_ptr &Failure) {
  if (Failure) {
    try {
      std::rethrow_exception(Failure);
    } catch (const std::exception &Problem) {
      State.recordUnanswered({}, "session_failed", Problem.what());
    }
    // A part of an answer may have been sent.
    Caller->abort();
  }
  Callers.erase(Caller);
  if (Draining && Callers.empty() && OnEmpty)
    std::exchange(OnEmpty, {})();
}

asio::awaitable<void>
GatewayServer::Impl::session(std::shared_ptr<CallerConnection> Caller) {
  bool More = true;
  while (More) {
    More = co_await serveNext(*Caller);
    Caller->setBusy(false);
    // drain() closes only the connections that had no request at that time.
    if (Draining)
      More = false;
  }
  co_await Caller->closeGracefully();
}

asio::awaitable<bool> GatewayServer::Impl::serveNext(CallerConnection &Caller) {
  GatewayRequest Request{
      {}, {}, coordination::BufferReservation(State.Buffers), false};
  auto Failed = co_await Caller.readHead();
  if (!Failed) {
    Request.Head = Caller.takeHead();
    Failed = co_await Caller.readBody(Request.Body, &Request.Memory);
  }
  if (!Failed && !Caller.beginService())
    Failed = Caller.isEvicted() ? ReadFailure::Closed : ReadFailure::NoMemory;
  if (Failed == ReadFailure::Closed) {
    recordUnreadRequest(Caller, view(Request.Head[State.Wire.RequestIdField]));
    Caller.close();
    co_return false;
  }
  if (Failed) {
    co_await rejectUnreadable(Caller, *Failed);
    co_return false;
  }
  Request.Streamed = !Caller.isBodyRead();
  RequestFlow Flow(State, Caller, Request);
  const entry::ScopedRegistration Registration(Running, Flow);
  co_await Flow.serve();
  co_return Caller.isReusable();
}

void GatewayServer::Impl::recordUnreadRequest(const CallerConnection &Caller,
                                              std::string_view RequestId) {
  if (Caller.isBusy())
    State.recordUnanswered(RequestId, "request_incomplete");
  else if (Caller.hasUnreadBytes())
    State.recordUnanswered(RequestId,
                           Draining ? "closed_by_drain" : "closed_as_idle");
}

asio::awaitable<void>
GatewayServer::Impl::rejectUnreadable(CallerConnection &Caller,
                                      ReadFailure Failure) {
  if (Failure == ReadFailure::NoMemory)
    co_return co_await rejectForMemory(Caller);
  const Unreadable Kind = describeFailure(Failure);
  State.Log.write(LogClass::Decision, "unreadable_request",
                  {{"reason", Kind.Reason}});
  transport::HttpResponse Answer(Kind.Status, 11);
  Answer.keep_alive(false);
  Answer.body() = "{\"error\":\"" + std::string(Kind.Reason) + "\"}";
  Answer.prepare_payload();
  Caller.closeAfterAnswer();
  co_await Caller.write(std::move(Answer));
}

asio::awaitable<void>
GatewayServer::Impl::rejectForMemory(CallerConnection &Caller) {
  State.Stats.count("buffers", "request_rejected");
  State.Log.write(LogClass::Decision, "request_rejected",
                  {{"reason", "no_memory"}, {"caller", Caller.address()}});
  std::uniform_real_distribution<double> RetrySeconds(MinMemoryRetry.count(),
                                                      MaxMemoryRetry.count());
  transport::HttpResponse Answer(http::status::service_unavailable, 11);
  Answer.set(http::field::retry_after,
             LogValue(RetrySeconds(State.Random)).text());
  Answer.body() = R"({"error":"no_memory"})";
  Answer.prepare_payload();
  Caller.closeAfterAnswer();
  co_await Caller.write(std::move(Answer));
}

GatewayServer::GatewayServer(GatewayState &State, const Endpoint &Bind)
    : Pimpl(std::make_shared<Impl>(State, Bind)) {
  Pimpl->accept();
}

GatewayServer::~GatewayServer() = default;

void GatewayServer::closeAfterAnswers() {
  Pimpl->ClosingAfterAnswers = true;
  for (const auto &Caller : Pimpl->Callers)
    Caller->closeAfterAnswer();
}

void GatewayServer::drain(std::function<void()> OnEmpty) {
  Pimpl->closeIdle();
  Pimpl->Draining = true;
  Pimpl->acceptWaiting();
  beast::error_code Ignored;
  Pimpl->Acceptor.close(Ignored);
  Pimpl->OnEmpty = std::move(OnEmpty);
  for (const auto &Caller : Pimpl->Callers)
    Caller->closeAfterAnswer();
  // Callers whose connections were just accepted are about to send a request.
  Pimpl->IdleTimer.expires_after(FirstRequestWait);
  Pimpl->IdleTimer.async_wait([Self = Pimpl](beast::error_code Cancelled) {
    if (!Cancelled)
      Self->closeIdle();
  });
  if (Pimpl->Callers.empty() && Pimpl->OnEmpty)
    std::exchange(Pimpl->OnEmpty, {})();
}

void GatewayServer::endRequests() {
  const auto Open = Pimpl->Running;
  for (RequestFlow *Flow : Open)
    Flow->stop();
}

std::size_t GatewayServer::openConnections() const {
  return Pimpl->Callers.size();
}

} // namespace masticgap::gateway
