#include "common/fake_worker.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace masticgap::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using transport::HttpRequest;
using transport::HttpResponse;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds WaitLimit{60};

constexpr const char *RequestIdField = "Masticgap-Request-Id";

//! Returns an empty answer with the request id.
HttpResponse emptyAnswer(http::status Status, const HttpRequest &Request) {
  HttpResponse Answer(Status, 11);
  if (const auto Id = Request[RequestIdField]; !Id.empty())
    Answer.set(RequestIdField, Id);
  return Answer;
}

HttpResponse answerTo(const HttpRequest &Request) {
  HttpResponse Answer = emptyAnswer(http::status::ok, Request);
  Answer.set("Worker-Load", "1/4");
  Answer.body() = "answer to " + std::string(Request.target()) + " " +
                  std::string(Request["Idempotency-Key"]);
  Answer.prepare_payload();
  if (Request.method() == http::verb::head)
    Answer.body().clear();
  return Answer;
}

HttpResponse refusal(const HttpRequest &Request, const char *Reason) {
  HttpResponse Answer = emptyAnswer(http::status::service_unavailable, Request);
  Answer.set("Worker-Refused", Reason);
  Answer.body() = "refused";
  Answer.prepare_payload();
  return Answer;
}

void reset(Tcp::socket &Connection) {
  Connection.set_option(asio::socket_base::linger(true, 0));
  Connection.close();
}

std::string truncated(std::size_t Announced) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Announced) +
         "\r\n\r\n" + std::string(Announced / 2, 'x');
}

std::string chunked(const HttpRequest &Request) {
  constexpr std::size_t Chunk = 64 * 1024;
  std::string Text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  if (const auto Id = Request[RequestIdField]; !Id.empty())
    Text += std::string(RequestIdField) + ": " + std::string(Id) + "\r\n";
  Text += "\r\n";
  for (std::size_t Sent = 0; Sent < FakeWorker::LargeBytes; Sent += Chunk)
    // 10000 is Chunk in hexadecimal.
    Text += "10000\r\n" + std::string(Chunk, 'y') + "\r\n";
  return Text + "0\r\n\r\n";
}

} // namespace

FakeWorker::FakeWorker(std::vector<Reaction> Initial)
    : FakeWorker(std::make_shared<Script>()) {
  Reactions->set(std::move(Initial));
}

FakeWorker::FakeWorker(std::shared_ptr<Script> Shared)
    : Acceptor(Io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      Reactions(std::move(Shared)) {
  asio::co_spawn(Io, accept(), asio::detached);
  Thread = std::thread([this] { Io.run(); });
}

FakeWorker::~FakeWorker() {
  Io.stop();
  Thread.join();
}

Endpoint FakeWorker::endpoint() const {
  return {"127.0.0.1", Acceptor.local_endpoint().port()};
}

void FakeWorker::release() {
  asio::post(Io, [this] {
    Released = true;
    for (asio::steady_timer *Timer : Holding)
      Timer->cancel();
  });
}

void FakeWorker::stopProbes() {
  const std::lock_guard<std::mutex> Guard(Lock);
  ProbesStopped = true;
}

std::vector<HttpRequest> FakeWorker::seen() const {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Requests;
}

std::size_t FakeWorker::connections() const {
  const std::lock_guard<std::mutex> Guard(Lock);
  return Connections;
}

void FakeWorker::awaitSeen(std::size_t Count) const {
  std::unique_lock<std::mutex> Guard(Lock);
  Changed.wait_for(Guard, WaitLimit, [&] { return Requests.size() >= Count; });
}

void FakeWorker::awaitCancelled() const {
  std::unique_lock<std::mutex> Guard(Lock);
  Changed.wait_for(Guard, WaitLimit, [&] { return Cancelled > 0; });
}

void FakeWorker::awaitSendFailure() const {
  std::unique_lock<std::mutex> Guard(Lock);
  Changed.wait_for(Guard, WaitLimit, [&] { return SendFailures > 0; });
}

asio::awaitable<void> FakeWorker::accept() {
  while (true) {
    auto [Failure, Connection] = co_await Acceptor.async_accept(AsTuple);
    if (Failure)
      co_return;
    asio::co_spawn(Io, serve(std::move(Connection)), asio::detached);
  }
}

asio::awaitable<void> FakeWorker::serve(Socket Connection) {
  beast::flat_buffer Buffer;
  bool Counted = false;
  while (Connection.is_open()) {
    if (Reactions->next(true) == Reaction::ResetUnread) {
      co_await Connection.async_wait(Tcp::socket::wait_read, AsTuple);
      Reactions->next();
      reset(Connection);
      co_return;
    }
    http::request_parser<http::string_body> Parser;
    Parser.body_limit(boost::none);
    const auto [Failure, Bytes] =
        co_await http::async_read(Connection, Buffer, Parser, AsTuple);
    if (Failure)
      co_return;
    const HttpRequest Request = Parser.release();
    if (Request.target() == "/_load") {
      const bool Dead = [&] {
        const std::lock_guard<std::mutex> Guard(Lock);
        return ProbesStopped;
      }();
      HttpResponse Load(http::status::ok, 11);
      Load.body() = R"({"in_use":0,"slots":4,"leaving":false,"incarnation":1})";
      Load.prepare_payload();
      if (!Dead)
        co_await send(Connection, std::move(Load));
      co_return;
    }
    const Reaction Requested = Reactions->next();
    {
      const std::lock_guard<std::mutex> Guard(Lock);
      Requests.push_back(Request);
      Connections += Counted ? 0 : 1;
    }
    Counted = true;
    Changed.notify_all();
    const bool More = co_await react(Connection, Requested, Request);
    if (!More)
      co_return;
  }
}

asio::awaitable<bool> FakeWorker::react(Socket &Connection, Reaction Requested,
                                        const HttpRequest &Request) {
  HttpResponse Answer = answerTo(Request);
  switch (Requested) {
  case Reaction::Answer:
    break;
  case Reaction::RefuseFull:
    Answer = refusal(Request, "full");
    break;
  case Reaction::RefuseLeaving:
    Answer = refusal(Request, "leaving");
    break;
  case Reaction::ResetUnread:
  case Reaction::ResetRead:
    reset(Connection);
    co_return false;
  case Reaction::TruncateSmall:
    co_await sendText(Connection, truncated(100));
    co_return false;
  case Reaction::TruncateLarge:
    co_await sendText(Connection, truncated(LargeBytes));
    co_return false;
  case Reaction::AnswerUnframed:
    co_await sendText(Connection, "HTTP/1.1 200 OK\r\n\r\nhello");
    co_return false;
  case Reaction::AnswerLarge:
    co_await sendText(Connection, chunked(Request));
    co_return true;
  case Reaction::Silent:
  case Reaction::Hold: {
    const bool Answers = co_await hold(Connection);
    if (!Answers || Requested == Reaction::Silent)
      co_return false;
    break;
  }
  case Reaction::AnswerTwice: {
    HttpResponse First = Answer;
    co_await send(Connection, std::move(First));
    Answer.erase(RequestIdField);
    Answer.body() = "stray";
    Answer.prepare_payload();
    break;
  }
  case Reaction::AnswerWithoutId:
    Answer.erase(RequestIdField);
    break;
  case Reaction::AnswerForOther:
    Answer.set(RequestIdField, "another");
    break;
  case Reaction::CloseAfterKeepAlive:
    co_await send(Connection, std::move(Answer));
    co_return false;
  }
  co_await send(Connection, std::move(Answer));
  co_return true;
}

asio::awaitable<bool> FakeWorker::hold(Socket &Connection) {
  asio::steady_timer Timer(Io);
  Timer.expires_at(asio::steady_timer::time_point::max());
  Holding.insert(&Timer);
  bool Closed = false;
  Connection.async_wait(Tcp::socket::wait_read,
                        [&](boost::system::error_code Failure) {
                          Closed = !Failure;
                          Timer.cancel();
                        });
  if (!Released)
    co_await Timer.async_wait(AsTuple);
  Holding.erase(&Timer);
  if (!Closed) {
    Connection.cancel();
    // The handler refers to this frame, so let it run before returning.
    co_await asio::post(Io, asio::use_awaitable);
    co_return true;
  }
  const std::lock_guard<std::mutex> Guard(Lock);
  ++Cancelled;
  Changed.notify_all();
  co_return false;
}

asio::awaitable<void> FakeWorker::send(Socket &Connection,
                                       HttpResponse Answer) {
  co_await http::async_write(Connection, Answer, AsTuple);
}

asio::awaitable<void> FakeWorker::sendText(Socket &Connection,
                                           std::string Bytes) {
  const auto [Failure, Sent] =
      co_await asio::async_write(Connection, asio::buffer(Bytes), AsTuple);
  const std::lock_guard<std::mutex> Guard(Lock);
  SendFailures += Failure ? 1 : 0;
  Changed.notify_all();
}

} // namespace masticgap::tests
