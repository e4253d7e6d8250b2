#include "entry/traffic_server.hpp"

#include "entry/local_answer.hpp"
#include "entry/request_check.hpp"
#include "entry/request_handler.hpp"
#include "entry/scoped_registration.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

#include <exception>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

class TrafficServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(TrafficState &State, const Endpoint &Bind)
      : State(State), Acceptor(State.Context.Io) {
    const Tcp::endpoint Address(asio::ip::make_address(Bind.Address),
                                Bind.Port);
    Acceptor.open(Address.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
  }

  void accept();
  asio::awaitable<void> session(std::shared_ptr<CallerConnection> Caller);
  asio::awaitable<bool> serveNext(CallerConnection &Caller);
  asio::awaitable<void> serveRequest(CallerConnection &Caller,
                                     CallerRequest &Request);
  asio::awaitable<void> refuse(CallerConnection &Caller, Refusal Refused);
  void onSessionEnded(const std::shared_ptr<CallerConnection> &Caller,
                      const std::exception_ptr &Failure);

  TrafficState &State;
  Tcp::acceptor Acceptor;
  std::set<std::shared_ptr<CallerConnection>> Callers;
  std::set<RequestHandler *> ActiveHandlers;
  std::function<void()> OnEmpty;
  bool Draining = false;
  bool ClosingAfterAnswers = false;
};

void TrafficServer::Impl::accept() {
  Acceptor.async_accept([Self = shared_from_this()](beast::error_code Failure,
                                                    Tcp::socket Socket) {
    if (Failure == asio::error::operation_aborted || Self->Draining)
      return;
    const EntryLimits &Limits = Self->State.Context.Settings.Limits;
    if (Failure) {
      LOG_EVERY_N(WARNING, 100) << "accept failed: " << Failure.message();
    } else if (Self->Callers.size() < Limits.MaxCallers) {
      beast::error_code Ignored;
      Socket.set_option(Tcp::no_delay(true), Ignored);
      auto Caller =
          std::make_shared<CallerConnection>(std::move(Socket), Limits);
      if (Self->ClosingAfterAnswers)
        Caller->closeAfterAnswer();
      Self->Callers.insert(Caller);
      asio::co_spawn(Self->State.Context.Io, Self->session(Caller),
                     [Self, Caller](const std::exception_ptr &Failure) {
                       Self->onSessionEnded(Caller, Failure);
                     });
    }
    Self->accept();
  });
}

void TrafficServer::Impl::onSessionEnded(
    const std::shared_ptr<CallerConnection> &Caller,
    const std::exception_ptr &Failure) {
  if (Failure) {
    try {
      std::rethrow_exception(Failure);
    } catch (const std::exception &Problem) {
      LOG_EVERY_N(ERROR, 100)
          << "a caller's session failed: " << Problem.what();
    }
    // A part of an answer may have been sent.
    Caller->abort();
  }
  Callers.erase(Caller);
  if (Draining && Callers.empty() && OnEmpty)
    std::exchange(OnEmpty, {})();
}

asio::awaitable<void>
TrafficServer::Impl::session(std::shared_ptr<CallerConnection> Caller) {
  bool More = true;
  while (More) {
    More = co_await serveNext(*Caller);
    Caller->setBusy(false);
  }
  co_await Caller->closeGracefully();
}

asio::awaitable<bool> TrafficServer::Impl::serveNext(CallerConnection &Caller) {
  CallerRequest Request;
  auto Failed = co_await Caller.readHead();
  if (!Failed) {
    Request.Head = Caller.head();
    Failed = co_await Caller.readBody(Request.Body);
  }
  if (Failed == ReadFailure::Closed) {
    Caller.close();
    co_return false;
  }
  if (Failed) {
    const bool TooLarge = Failed == ReadFailure::TooLarge;
    Refusal Refused{TooLarge ? http::status::payload_too_large
                             : http::status::bad_request,
                    TooLarge ? "too_large" : "malformed",
                    TooLarge ? "the request is above this entry host's limits; "
                               "send less"
                             : "the request is not HTTP/1.1; correct it",
                    Outcome::NotRun};
    co_await refuse(Caller, std::move(Refused));
    co_return false;
  }
  Request.Streamed = !Caller.isBodyRead();
  co_await serveRequest(Caller, Request);
  co_return Caller.isReusable();
}

asio::awaitable<void>
TrafficServer::Impl::serveRequest(CallerConnection &Caller,
                                  CallerRequest &Request) {
  const Instant ReceivedAt = State.now();
  auto Refused =
      checkRequest(Request, *State.Snapshot, State.Random, ReceivedAt);
  if (Refused) {
    State.Metrics.recordOutcome(Outcome::NotRun, State.now() - ReceivedAt);
    State.Metrics.recordRefusal(Refused->Kind);
    transport::HttpResponse Answer =
        localAnswer(Request, *Refused, State.configVersion());
    co_await Caller.write(std::move(Answer));
    co_return;
  }
  RequestHandler Handler(State, Caller, Request);
  const ScopedRegistration Registration(ActiveHandlers, Handler);
  co_await Handler.serve();
}

asio::awaitable<void> TrafficServer::Impl::refuse(CallerConnection &Caller,
                                                  Refusal Refused) {
  CallerRequest UnreadRequest;
  UnreadRequest.Head.version(11);
  UnreadRequest.Id = RequestId("none");
  State.Metrics.recordRefusal(Refused.Kind);
  Caller.closeAfterAnswer();
  transport::HttpResponse Answer =
      localAnswer(UnreadRequest, Refused, State.configVersion());
  co_await Caller.write(std::move(Answer));
}

TrafficServer::TrafficServer(TrafficState &State, const Endpoint &Bind)
    : Pimpl(std::make_shared<Impl>(State, Bind)) {
  Pimpl->accept();
}

TrafficServer::~TrafficServer() = default;

Endpoint TrafficServer::local() const {
  const auto Address = Pimpl->Acceptor.local_endpoint();
  return {Address.address().to_string(), Address.port()};
}

void TrafficServer::closeAfterAnswers() {
  Pimpl->ClosingAfterAnswers = true;
  for (const auto &Each : Pimpl->Callers)
    Each->closeAfterAnswer();
}

void TrafficServer::drain(std::function<void()> OnEmpty) {
  Pimpl->Draining = true;
  beast::error_code Ignored;
  Pimpl->Acceptor.close(Ignored);
  Pimpl->OnEmpty = std::move(OnEmpty);
  const auto Open = Pimpl->Callers;
  for (const auto &Each : Open) {
    Each->closeAfterAnswer();
    if (!Each->isBusy())
      Each->closeIfIdle();
  }
  if (Pimpl->Callers.empty() && Pimpl->OnEmpty)
    std::exchange(Pimpl->OnEmpty, {})();
}

void TrafficServer::abort() {
  const auto Open = Pimpl->Callers;
  for (const auto &Each : Open)
    Each->abort();
  for (RequestHandler *Each : Pimpl->ActiveHandlers)
    Each->abort();
}

std::size_t TrafficServer::openConnections() const {
  return Pimpl->Callers.size();
}

} // namespace masticgap::entry
