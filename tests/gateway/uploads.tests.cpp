// Request bodies that arrive slowly or are not completed.
#include "common/eventually.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <deque>
#include <string>
#include <thread>

#include <sys/socket.h>

using namespace masticgap;
using namespace masticgap::tests;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

//! Bodies above 256 KiB are streamed to a worker.
constexpr std::size_t StreamedBytes = 300'000;
constexpr std::size_t MaxBodyBytes = 1'000'000; //!< max_body_bytes
//! Routes whose requests do not end at their deadline during a test.
constexpr const char *SlowRoutes =
    R"(,["slow","a.example","/slow/","unsafe","60000ms","400ms",0,"svc",2,true,
[],null],["slow-safe","a.example","/slow-safe/","safe","60000ms","400ms",0,
"svc",2,true,[],null])";

//! A connection that takes no byte for this time has stalled.
constexpr std::chrono::milliseconds StallTime{500};

//! Caller that sends a request in parts.
class Uploader {
public:
  Uploader(const Endpoint &To, const std::string &Target, std::size_t BodyBytes)
      : Socket(Io) {
    Socket.connect({asio::ip::make_address(To.Address), To.Port});
    send("POST " + Target +
         " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: upload\r\n"
         "Deadline-Milliseconds: 60000\r\nContent-Length: " +
         std::to_string(BodyBytes) + "\r\n\r\n");
  }

  void send(const std::string &Bytes) {
    asio::write(Socket, asio::buffer(Bytes), Failure);
  }
  //! Sends as long as the gateway takes bytes.
  //! \returns the number of bytes sent.
  std::size_t sendUntilStalled() {
    const std::string Part(16 * 1024, 'x');
    std::size_t Sent = 0;
    auto Limit = std::chrono::steady_clock::now() + StallTime;
    while (std::chrono::steady_clock::now() < Limit) {
      const ssize_t Taken = ::send(Socket.native_handle(), Part.data(),
                                   Part.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (Taken > 0) {
        Sent += static_cast<std::size_t>(Taken);
        Limit = std::chrono::steady_clock::now() + StallTime;
      } else {
        std::this_thread::sleep_for(1ms);
      }
    }
    return Sent;
  }
  void close() { Socket.close(); }
  void reset() {
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
  }
  //! Returns the status of the response; 0 if there is none.
  unsigned status() {
    boost::beast::flat_buffer Buffer;
    http::response<http::string_body> Response;
    http::read(Socket, Buffer, Response, Failure);
    return Failure ? 0 : Response.result_int();
  }

private:
  asio::io_context Io{1};
  Tcp::socket Socket;
  boost::system::error_code Failure;
};

std::string answerUpload(std::size_t, const SeenRequest &Request) {
  const std::size_t At = Request.Head.find("Attempt-Id: ") + 12;
  return workerAnswer(
      200, Request.Head.substr(At, Request.Head.find('\r', At) - At), "whole");
}

//! Worker that accepts a connection and reads only when it is told to.
class StalledWorker {
public:
  StalledWorker() : Acceptor(Io), Connection(Io) {
    Acceptor.open(Tcp::v4());
    Acceptor.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen();
  }
  Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }
  //! Waits for a connection on which bytes have arrived.
  void accept() {
    Acceptor.accept(Connection);
    Connection.wait(Tcp::socket::wait_read);
  }
  //! Reads what has been sent.
  //! \returns whether the gateway ended the connection.
  bool hasEnded() {
    Connection.non_blocking(true);
    boost::system::error_code Failure;
    std::string Part(64 * 1024, '\0');
    while (!Failure)
      Connection.read_some(asio::buffer(Part), Failure);
    return Failure != asio::error::would_block;
  }

private:
  asio::io_context Io{1};
  Tcp::acceptor Acceptor;
  Tcp::socket Connection;
};

bool has(GatewayFixture &F, const char *Metric) {
  return F.metrics().find(Metric) != std::string::npos;
}

//! Starts a gateway with ten workers at one address.
void start(GatewayFixture &F, const Endpoint &Worker) {
  for (unsigned I = 0; I < 10; ++I)
    F.putWorker("w" + std::to_string(I), Worker);
  F.putConfig(1, SlowRoutes);
  F.start();
  F.awaitReady();
}

} // namespace

// Guards against the refusal of a body that is slow, but within every limit of
// the configuration, while memory is free.
TEST_CASE("a slow request body within the limits is served") {
  ScriptedWorker Worker(answerUpload);
  GatewayFixture F;
  start(F, Worker.endpoint());
  constexpr unsigned Parts = 9;
  Uploader Caller(F.settings().Traffic, "/unsafe/x", Parts);
  // 2 bytes a second for longer than header_timeout, which is 3 s.
  for (unsigned I = 0; I < Parts; ++I) {
    std::this_thread::sleep_for(500ms);
    Caller.send("x");
  }
  CHECK(Caller.status() == 200);
}

// Guards against streamed bodies that stop and keep ordinary callers out: a
// connection is closed when memory is short, also while a worker waits for it.
TEST_CASE("streamed bodies that stop give way when memory is short") {
  ScriptedWorker Worker(answerUpload);
  GatewayFixture F;
  // Callers get 2.3 MiB; each of the uploads holds 256 KiB.
  F.setMemory(16);
  start(F, Worker.endpoint());
  std::deque<Uploader> Stopped;
  for (unsigned I = 0; I < 16; ++I) {
    Stopped.emplace_back(F.settings().Traffic, "/slow/x", MaxBodyBytes)
        .send(std::string(StreamedBytes, 'x'));
    // Each one reaches a worker before the next one needs memory, and has made
    // no progress for longer than the ordinary requests.
    std::this_thread::sleep_for(50ms);
  }
  for (unsigned I = 0; I < 5; ++I) {
    const auto Response =
        F.send("/unsafe/x", std::string(StreamedBytes / 2, 'x'));
    REQUIRE(Response);
    CHECK(Response->result_int() == 200);
  }
  CHECK(F.metrics().find("kind=\"closed_memory\"") != std::string::npos);
  // Guards against the end of a request at a worker without an answer.
  CHECK(Stopped.front().status() == 502);
  // Nothing was declared "not run" and none of the uploads was completed.
  for (const SeenRequest &Seen : Worker.seen())
    CHECK(Seen.Body.size() == StreamedBytes / 2);
}

// Guards against workers that hold a slot for a caller that left while they did
// not read, and against a request that such a worker received and that is
// declared "not run" or sent to another worker.
TEST_CASE("a caller that leaves while the worker does not read ends the "
          "exchange") {
  for (const char *Target : {"/slow-safe/x", "/slow/x"}) {
    CAPTURE(Target);
    StalledWorker Worker;
    GatewayFixture F;
    constexpr std::size_t Huge = 64'000'000;
    F.setMaxBodyBytes(Huge);
    start(F, Worker.endpoint());
    Uploader Caller(F.settings().Traffic, Target, Huge);
    REQUIRE(Caller.sendUntilStalled() < Huge);
    Worker.accept();
    Caller.reset();
    CHECK(eventually([&] { return has(F, "kind=\"caller_left\"} 1"); }));
    CHECK(eventually([&] { return Worker.hasEnded(); }));
    // Nothing is held against the worker.
    CHECK_FALSE(has(F, "kind=\"connection_lost\""));
    CHECK_FALSE(has(F, "kind=\"no_connection\""));
    CHECK_FALSE(has(F, "kind=\"answer_lost\""));
  }
}

// Guards against workers that go on with a repeatable upload whose caller left,
// and against the end of one that may not be repeated: it would be unknown
// whether it was executed.
TEST_CASE("a caller that leaves after its upload ends a repeatable request") {
  for (const bool Repeatable : {true, false}) {
    CAPTURE(Repeatable);
    ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
      return std::string(ScriptedWorker::Silent);
    });
    GatewayFixture F;
    start(F, Worker.endpoint());
    Uploader Caller(F.settings().Traffic,
                    Repeatable ? "/slow-safe/x" : "/slow/x", StreamedBytes);
    Caller.send(std::string(StreamedBytes, 'x'));
    REQUIRE(eventually([&] { return Worker.seen().size() == 1; }));
    Caller.close();
    if (Repeatable) {
      CHECK(eventually([&] { return has(F, "kind=\"caller_left\"} 1"); }));
    } else {
      std::this_thread::sleep_for(500ms);
      CHECK_FALSE(has(F, "kind=\"caller_left\""));
      Worker.sendUnasked(workerAnswer(200, "upload", "whole"));
      CHECK(eventually(
          [&] { return has(F, "requests_total{kind=\"answered\"} 1"); }));
    }
    CHECK(Worker.seen().size() == 1);
  }
}

// Guards against a caller that leaves in the middle of a body being held
// against the worker, as a lost connection that suggests a crash.
TEST_CASE("a caller that leaves during its upload is not held against the "
          "worker") {
  for (const char *Target : {"/slow-safe/x", "/slow/x"}) {
    CAPTURE(Target);
    StalledWorker Worker;
    GatewayFixture F;
    start(F, Worker.endpoint());
    Uploader Caller(F.settings().Traffic, Target, MaxBodyBytes);
    Caller.send(std::string(StreamedBytes, 'x'));
    Worker.accept();
    Caller.close();
    CHECK(eventually([&] { return Worker.hasEnded(); }));
    CHECK(eventually([&] { return has(F, "kind=\"caller_left\"} 1"); }));
    CHECK_FALSE(has(F, "kind=\"connection_lost\""));
  }
}
