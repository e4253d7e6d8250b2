#include "masticgap/transport/http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <optional>
#include <set>

namespace masticgap::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {
class Session;
} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  Impl(asio::io_context &Io, const Endpoint &Bind, HttpServerLimits Limits,
       Handler OnRequest)
      : Limits(std::move(Limits)), OnRequest(std::move(OnRequest)),
        Acceptor(Io), AcceptTimer(Io) {
    const Tcp::endpoint Address(asio::ip::make_address(Bind.Address),
                                Bind.Port);
    Acceptor.open(Address.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Address);
    Acceptor.listen();
  }

  void accept();
  void drain();
  Endpoint local() const {
    const auto Address = Acceptor.local_endpoint();
    return {Address.address().to_string(), Address.port()};
  }

  const HttpServerLimits Limits;
  const Handler OnRequest;
  bool Draining = false;
  //! The HttpServer was destroyed, and with it what OnRequest refers to.
  bool Ended = false;
  std::set<Session *> Sessions;

private:
  void onAcceptFailure(beast::error_code Failure);
  void startSession(Tcp::socket Socket);

  Tcp::acceptor Acceptor;
  asio::steady_timer AcceptTimer;
};

namespace {

//! Maximum time to wait for the peer to close after the last answer.
constexpr std::chrono::seconds CloseTimeout{1};
//! Maximum size of unparsed bytes beyond a head.
constexpr std::size_t MaxUnparsedBytes = 64 * 1024;
constexpr std::size_t DiscardBytes = 4096;
//! Delay after a connection could not be accepted.
constexpr std::chrono::milliseconds AcceptRetry{20};

//! One connection, kept alive by the handler of its pending operation.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Server);
  ~Session();

  //! Opens the account of the connection.
  //! \returns false if the connection has to be refused.
  bool openAccount();
  void readHeader();
  void closeIfIdle() {
    if (!Busy)
      close();
  }
  void close() {
    beast::error_code Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.close();
  }

private:
  void readHeaderPart();
  void onHeader(beast::error_code Failure);
  //! Adjusts the account to the current buffers.
  //! \returns false if there is not enough memory.
  bool holdBuffers();
  void rejectForMemory();
  void onRequest(beast::error_code Failure);
  void setPeerAddress(HttpRequest &Request);
  void reject(beast::error_code Failure);
  void answer(std::uint64_t RequestNumber, HttpResponse Answer);
  void write(HttpResponse Answer);
  void closeAfterInput();
  void discardInput();

  beast::tcp_stream Stream;
  std::shared_ptr<HttpServer::Impl> Server;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::unique_ptr<CallerAccount> Account;
  HttpResponse Response;
  std::uint64_t RequestCount = 0;
  //! Number of the request that waits for its answer.
  std::optional<std::uint64_t> Unanswered;
  bool Busy = false;
};

Session::Session(Tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Server)
    : Stream(std::move(Socket)), Server(std::move(Server)) {
  // Ends chunk extensions and trailers without end.
  Buffer.max_size(this->Server->Limits.MaxHeaderBytes + MaxUnparsedBytes);
  this->Server->Sessions.insert(this);
}

Session::~Session() { Server->Sessions.erase(this); }

void Session::readHeader() {
  Parser.emplace();
  Parser->header_limit(Server->Limits.MaxHeaderBytes);
  Parser->body_limit(Server->Limits.MaxBodyBytes);
  Parser->eager(false);
  Busy = false;
  Response = {};
  // An idle connection holds no buffer.
  if (Buffer.size() == 0)
    Buffer.shrink_to_fit();
  holdBuffers();
  Stream.expires_after(Server->Limits.IdleTimeout);
  readHeaderPart();
}

void Session::readHeaderPart() {
  http::async_read_some(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
        Self->onHeader(Failure);
      });
}

bool Session::openAccount() {
  if (!Server->Limits.Accounts)
    return true;
  Account = Server->Limits.Accounts->open([Evicted = weak_from_this()] {
    if (const auto Open = Evicted.lock())
      Open->close();
  });
  return Account != nullptr;
}

bool Session::holdBuffers() {
  if (!Account)
    return true;
  // Fields are parsed when the head is complete, and the request is copied
  // once.
  const bool HasHead = Parser && Parser->is_header_done();
  const std::size_t Head = HasHead ? 2 * memoryOf(Parser->get()) : 0;
  return Account->hold(Buffer.capacity() + Head + Response.body().size());
}

void Session::rejectForMemory() {
  HttpRequest Request;
  Request.version(11);
  Request.keep_alive(false);
  Parser.reset();
  write(errorResponse(Request, http::status::service_unavailable, "no_memory",
                      "the memory for callers is in use; try again later"));
}

void Session::onHeader(beast::error_code Failure) {
  if (Failure)
    return reject(Failure);
  if (Account)
    Account->progress();
  if (!holdBuffers())
    return rejectForMemory();
  if (!Parser->is_header_done())
    return readHeaderPart();
  Busy = true;
  Stream.expires_after(Server->Limits.ReceiveTimeout);
  http::async_read(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](beast::error_code Error, std::size_t) {
        Self->onRequest(Error);
      });
}

void Session::onRequest(beast::error_code Failure) {
  if (Failure)
    return reject(Failure);
  Stream.expires_never();
  HttpRequest Request = Parser->release();
  setPeerAddress(Request);
  if (Server->Ended)
    return write(errorResponse(Request, http::status::service_unavailable,
                               "stopping", "the server is stopping"));
  Unanswered = ++RequestCount;
  Server->OnRequest(
      std::move(Request),
      [Self = shared_from_this(), Number = RequestCount](HttpResponse Answer) {
        Self->answer(Number, std::move(Answer));
      });
}

void Session::answer(std::uint64_t RequestNumber, HttpResponse Answer) {
  // The write of the first answer still refers to Response, and the connection
  // may have moved on to another request.
  if (Unanswered != RequestNumber) {
    LOG_EVERY_N(ERROR, 100)
        << "dropped a second answer to one request, with status "
        << Answer.result_int();
    return;
  }
  Unanswered.reset();
  write(std::move(Answer));
}

void Session::setPeerAddress(HttpRequest &Request) {
  if (Server->Limits.PeerAddressHeader.empty())
    return;
  beast::error_code Failure;
  const auto Peer = Stream.socket().remote_endpoint(Failure);
  Request.set(Server->Limits.PeerAddressHeader,
              Failure ? std::string() : Peer.address().to_string());
}

void Session::reject(beast::error_code Failure) {
  if (Failure == http::error::end_of_stream ||
      Failure.category() !=
          http::make_error_code(http::error::bad_method).category())
    return close();
  HttpRequest Request;
  Request.version(11);
  Request.keep_alive(false);
  const bool TooLarge = Failure == http::error::body_limit ||
                        Failure == http::error::header_limit;
  const auto Status =
      TooLarge ? http::status::payload_too_large : http::status::bad_request;
  HttpResponse Answer =
      errorResponse(Request, Status, TooLarge ? "too_large" : "malformed",
                    "the request cannot be read: " + Failure.message());
  Answer.keep_alive(false);
  write(std::move(Answer));
}

void Session::write(HttpResponse Answer) {
  Response = std::move(Answer);
  // The answer is sent in any case; its size ranks the connection.
  holdBuffers();
  if (Server->Draining)
    Response.keep_alive(false);
  Stream.expires_after(Server->Limits.ReceiveTimeout);
  http::async_write(
      Stream, Response,
      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
        if (Failure)
          return Self->close();
        if (Self->Account)
          Self->Account->progress();
        if (!Self->Response.keep_alive())
          return Self->closeAfterInput();
        Self->readHeader();
      });
}

// Discards input before closing: closing a socket with unread bytes resets the
// connection, and the reset can reach the peer before the answer.
void Session::closeAfterInput() {
  beast::error_code Ignored;
  Stream.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
  Stream.expires_after(CloseTimeout);
  discardInput();
}

void Session::discardInput() {
  Buffer.clear();
  Stream.async_read_some(
      Buffer.prepare(DiscardBytes),
      [Self = shared_from_this()](beast::error_code Failure, std::size_t) {
        if (Failure)
          return Self->close();
        Self->discardInput();
      });
}

} // namespace

void HttpServer::Impl::accept() {
  Acceptor.async_accept([Self = shared_from_this()](beast::error_code Failure,
                                                    Tcp::socket Socket) {
    if (Failure == asio::error::operation_aborted || Self->Draining)
      return;
    if (Failure)
      return Self->onAcceptFailure(Failure);
    if (Self->Sessions.size() < Self->Limits.MaxConnections)
      Self->startSession(std::move(Socket));
    Self->accept();
  });
}

void HttpServer::Impl::startSession(Tcp::socket Socket) {
  beast::error_code Ignored;
  Socket.set_option(Tcp::no_delay(true), Ignored);
  const auto New =
      std::make_shared<Session>(std::move(Socket), shared_from_this());
  if (New->openAccount())
    New->readHeader();
}

void HttpServer::Impl::onAcceptFailure(beast::error_code Failure) {
  LOG_EVERY_N(WARNING, 100)
      << "cannot accept a connection: " << Failure.message();
  if (Failure == asio::error::no_descriptors && Limits.Accounts)
    Limits.Accounts->closeOne();
  // The failed connection stays in the queue, so that the next attempt could
  // fail at once.
  AcceptTimer.expires_after(AcceptRetry);
  AcceptTimer.async_wait([Self = shared_from_this()](beast::error_code Ended) {
    if (!Ended && !Self->Draining)
      Self->accept();
  });
}

void HttpServer::Impl::drain() {
  Draining = true;
  beast::error_code Ignored;
  Acceptor.close(Ignored);
  AcceptTimer.cancel();
  const std::set<Session *> Open = Sessions;
  for (Session *OpenSession : Open)
    OpenSession->closeIfIdle();
}

HttpServer::HttpServer(asio::io_context &Io, const Endpoint &Bind,
                       HttpServerLimits Limits, Handler OnRequest)
    : Pimpl(std::make_shared<Impl>(Io, Bind, std::move(Limits),
                                   std::move(OnRequest))) {
  Pimpl->accept();
}

HttpServer::~HttpServer() {
  Pimpl->Ended = true;
  Pimpl->drain();
}

Endpoint HttpServer::local() const { return Pimpl->local(); }

void HttpServer::drain() { Pimpl->drain(); }

std::size_t HttpServer::openConnections() const {
  return Pimpl->Sessions.size();
}

} // namespace masticgap::transport
