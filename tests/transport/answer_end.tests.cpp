// Answers whose end is the end of their connection.
#include "masticgap/transport/boot_clock.hpp"
#include "masticgap/transport/worker_exchange.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace masticgap;
using namespace masticgap::transport;
using coordination::AttemptEnd;
using Tcp = boost::asio::ip::tcp;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds RunLimit{5};
//! More than the socket buffers hold, so that the send waits.
constexpr std::size_t LongBody = 16 * 1024 * 1024;
//! Fits into the socket buffers, but not into the window of the worker.
constexpr std::size_t QueuedBody = 200'000;
constexpr std::size_t ShortBody = 100;
constexpr std::size_t AnswerBytes = 48'000;

enum class Upload { Buffered, Length, Chunked };
enum class Ending {
  Reset,
  //! Its own side only; it reads the request no further.
  CloseSide,
  CloseSideThenRead,
  CloseSideThenReset
};

//! One exchange with a worker whose every step the test makes.
struct ManualExchange {
  asio::io_context Io{1};
  WorkerConnectionPool Pool{Io, [] { return transport::now(); }, "127.0.0.1"};
  WorkerDialect Dialect = nativeWorkerDialect();
  Tcp::acceptor Acceptor{Io};
  Tcp::socket Worker{Io};
  std::string RequestBody;
  std::string Body;
  std::optional<AttemptEnd> Result;

  explicit ManualExchange(std::size_t RequestBytes)
      : RequestBody(RequestBytes, 'r') {
    Dialect.AllowUnframedAnswers = true;
    Acceptor.open(Tcp::v4());
    Acceptor.set_option(asio::socket_base::receive_buffer_size(8 * 1024));
    Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen();
  }

  //! Sends the request until the worker has to read.
  void start(Upload Kind) {
    asio::co_spawn(Io, exchange(Kind),
                   [this](const std::exception_ptr &Thrown, AttemptEnd End) {
                     CHECK_FALSE(Thrown);
                     Result = End;
                   });
    Io.poll();
    Worker = Acceptor.accept();
    while (Io.poll() > 0)
      ;
  }

  void answer(std::string_view Text) {
    boost::system::error_code Ignored;
    asio::write(Worker, asio::buffer(Text), Ignored);
  }

  //! Closes with unread bytes, which resets the connection.
  void reset() {
    Worker.set_option(asio::socket_base::linger(true, 0));
    Worker.close();
  }

  //! Reads the whole request.
  void readOn() {
    std::string Part(1024 * 1024, '\0');
    std::size_t Read = 0;
    Worker.non_blocking(true);
    const Instant Limit = transport::now() + RunLimit;
    while (Read < RequestBody.size() && transport::now() < Limit) {
      boost::system::error_code Failure;
      Read += Worker.read_some(asio::buffer(Part), Failure);
      Io.restart();
      Io.poll();
      if (Failure && Failure != asio::error::would_block)
        return;
    }
  }

  void end(Ending How) {
    if (How != Ending::Reset)
      Worker.shutdown(Tcp::socket::shutdown_send);
    if (How == Ending::CloseSideThenRead)
      readOn();
    if (How == Ending::Reset || How == Ending::CloseSideThenReset)
      reset();
  }

  AttemptEnd finish() {
    Io.restart();
    Io.run_for(RunLimit);
    return Result.value_or(AttemptEnd::TimedOut);
  }

private:
  OutgoingRequest makeRequest(Upload Kind) {
    OutgoingRequest Request;
    Request.Head.method(http::verb::put);
    Request.Head.target("/x");
    Request.Head.version(11);
    Request.Head.set("Masticgap-Request-Id", "mine");
    if (Kind == Upload::Chunked)
      Request.Head.set(http::field::transfer_encoding, "chunked");
    else
      Request.Head.set(http::field::content_length,
                       std::to_string(RequestBody.size()));
    Request.Body = RequestBody;
    if (Kind != Upload::Buffered) {
      Request.Body = std::string_view(RequestBody).substr(0, 10);
      Request.More = [this]() -> asio::awaitable<RequestPart> {
        co_return RequestPart{std::string_view(RequestBody).substr(10), true,
                              false};
      };
    }
    return Request;
  }

  asio::awaitable<AttemptEnd> exchange(Upload Kind) {
    const OutgoingRequest Request = makeRequest(Kind);
    ExchangeOptions Options;
    Options.Deadline = transport::now() + std::chrono::minutes(1);
    Options.ConnectTimeout = std::chrono::seconds(60);
    Options.Dialect = &Dialect;
    WorkerExchange Exchange(
        Pool, [] { return transport::now(); }, Options);
    AttemptControl Control;
    WorkerTarget To{WorkerId("w"),
                    Incarnation{1},
                    {"127.0.0.1", Acceptor.local_endpoint().port()},
                    4};
    const auto Early = co_await Exchange.start(std::move(To), Request, Control);
    if (Early)
      co_return *Early;
    std::array<char, 1000> Part{};
    while (!Exchange.isDone()) {
      const std::size_t Bytes = co_await Exchange.readSome(Part, Control);
      Body.append(Part.data(), Bytes);
      if (Bytes == 0 && !Exchange.isDone())
        co_return Exchange.failure();
    }
    co_return AttemptEnd::Answered;
  }
};

struct Framing {
  std::string Name;
  std::string Head;
  std::string Body; //!< As it is sent.
  bool EndsWithConnection = false;
};

std::vector<Framing> framings() {
  const std::string Fields = "200 X\r\nMasticgap-Request-Id: mine\r\n";
  const std::string Plain(AnswerBytes, 'a');
  return {
      {"no length", "HTTP/1.1 " + Fields + "\r\n", Plain, true},
      {"no length, close", "HTTP/1.1 " + Fields + "Connection: close\r\n\r\n",
       Plain, true},
      {"no length, HTTP/1.0", "HTTP/1.0 " + Fields + "\r\n", Plain, true},
      {"length", "HTTP/1.1 " + Fields + "Content-Length: 48000\r\n\r\n", Plain},
      {"chunked", "HTTP/1.1 " + Fields + "Transfer-Encoding: chunked\r\n\r\n",
       "bb80\r\n" + Plain + "\r\n0\r\n\r\n"},
  };
}

struct RequestKind {
  std::string Name;
  std::size_t Bytes;
  Upload How;
};

const RequestKind Requests[] = {
    {"short", ShortBody, Upload::Buffered},
    {"queued", QueuedBody, Upload::Buffered},
    {"long", LongBody, Upload::Buffered},
    {"streamed, queued", QueuedBody, Upload::Length},
    {"streamed, long", LongBody, Upload::Length},
    {"chunks, long", LongBody, Upload::Chunked},
};

} // namespace

// Guards against an answer that was reset and reaches the caller as a complete
// success because the send of the request took the error of the connection.
TEST_CASE("an answer that is reset is never complete") {
  for (const RequestKind &Request : Requests) {
    CAPTURE(Request.Name);
    for (const Framing &F : framings()) {
      CAPTURE(F.Name);
      // The head alone, a part of the body, and all of an answer whose end only
      // the connection could tell.
      for (const std::size_t Missing :
           {F.Body.size(), F.Body.size() / 2, std::size_t(0)}) {
        if (Missing == 0 && !F.EndsWithConnection)
          continue;
        CAPTURE(Missing);
        ManualExchange E(Request.Bytes);
        E.start(Request.How);
        E.answer(F.Head + F.Body.substr(0, F.Body.size() - Missing));
        E.end(Ending::Reset);
        CHECK((E.finish() != AttemptEnd::Answered));
      }
      // The same while the answer is passed on.
      ManualExchange E(Request.Bytes);
      E.start(Request.How);
      E.answer(F.Head + F.Body.substr(0, 1000));
      while (E.Io.poll() > 0)
        ;
      E.answer(F.Body.substr(1000, 1000));
      E.end(Ending::Reset);
      CHECK((E.finish() != AttemptEnd::Answered));
    }
  }
}

// Guards against the loss of an answer that its worker ended in order, although
// the request was not read or its send failed.
TEST_CASE("an answer that the worker ended in order is complete") {
  for (const RequestKind &Request : Requests) {
    CAPTURE(Request.Name);
    for (const Framing &F : framings()) {
      CAPTURE(F.Name);
      for (const Ending How : {Ending::CloseSide, Ending::CloseSideThenRead,
                               Ending::CloseSideThenReset}) {
        CAPTURE(static_cast<int>(How));
        ManualExchange E(Request.Bytes);
        E.start(Request.How);
        E.answer(F.Head + F.Body);
        E.end(How);
        CHECK((E.finish() == AttemptEnd::Answered));
        CHECK(E.Body == std::string(AnswerBytes, 'a'));
      }
    }
  }
}

// Guards against the end of an upload whose worker works without reading it:
// the kernel ends a connection after that time although the worker is alive.
TEST_CASE("an upload waits for a worker that reads it late") {
  constexpr std::chrono::milliseconds Work(3200);
  std::deque<ManualExchange> All;
  for (const RequestKind &Request : Requests)
    All.emplace_back(Request.Bytes).start(Request.How);
  const Instant End = transport::now() + Work;
  while (transport::now() < End)
    for (ManualExchange &E : All) {
      E.Io.restart();
      E.Io.poll();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  std::size_t Number = 0;
  for (ManualExchange &E : All) {
    const std::string &Name = Requests[Number++].Name;
    CAPTURE(Name);
    CHECK_FALSE(E.Result);
    E.answer("HTTP/1.1 200 X\r\nMasticgap-Request-Id: mine\r\n"
             "Content-Length: 5\r\n\r\nwhole");
    E.readOn();
    CHECK((E.finish() == AttemptEnd::Answered));
    CHECK(E.Body == "whole");
  }
}
