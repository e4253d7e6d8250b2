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
//! A route whose requests do not end at their deadline during a test.
constexpr const char *SlowRoute =
    R"(,["slow","a.example","/slow/","unsafe","60000ms","400ms",0,"svc",2,true,
[],null])";

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

//! Starts a gateway with ten workers at one address.
void start(GatewayFixture &F, const ScriptedWorker &Worker) {
  for (unsigned I = 0; I < 10; ++I)
    F.putWorker("w" + std::to_string(I), Worker.endpoint());
  F.putConfig(1, SlowRoute);
  F.start();
  F.awaitReady();
}

} // namespace

// Guards against the refusal of a body that is slow, but within every limit of
// the configuration, while memory is free.
TEST_CASE("a slow request body within the limits is served") {
  ScriptedWorker Worker(answerUpload);
  GatewayFixture F;
  start(F, Worker);
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
  start(F, Worker);
  std::deque<Uploader> Stopped;
  for (unsigned I = 0; I < 16; ++I)
    Stopped.emplace_back(F.settings().Traffic, "/slow/x", MaxBodyBytes)
        .send(std::string(StreamedBytes, 'x'));
  for (unsigned I = 0; I < 5; ++I) {
    const auto Response =
        F.send("/unsafe/x", std::string(StreamedBytes / 2, 'x'));
    REQUIRE(Response);
    CHECK(Response->result_int() == 200);
  }
  CHECK(F.metrics().find("kind=\"closed_memory\"") != std::string::npos);
  // Nothing was declared "not run" and none of the uploads was completed.
  for (const SeenRequest &Seen : Worker.seen())
    CHECK(Seen.Body.size() == StreamedBytes / 2);
}
