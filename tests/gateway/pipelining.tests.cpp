// Requests that callers send before earlier ones are answered.
#include "common/eventually.hpp"
#include "common/raw_caller.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace masticgap;
using namespace masticgap::tests;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

std::string idOf(const SeenRequest &Seen) {
  constexpr std::string_view Name = "Attempt-Id: ";
  const std::size_t At = Seen.Head.find(Name) + Name.size();
  return Seen.Head.substr(At, Seen.Head.find('\r', At) - At);
}

std::string request(const std::string &Path, const std::string &Id,
                    const std::string &Fields = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + Id +
         "\r\nDeadline-Milliseconds: 900\r\n" + Fields + "\r\n";
}

//! Returns the status and the request id of each answer, in their order.
std::vector<std::string> answers(const std::string &Received) {
  std::vector<std::string> Result;
  constexpr std::string_view Start = "HTTP/1.1 ";
  for (std::size_t At = Received.find(Start); At != std::string::npos;
       At = Received.find(Start, At + 1)) {
    const std::string Head =
        Received.substr(At, Received.find("\r\n\r\n", At) - At);
    constexpr std::string_view Name = "Attempt-Id: ";
    const std::size_t Id = Head.find(Name);
    Result.push_back(
        Head.substr(Start.size(), 3) +
        (Id == std::string::npos
             ? ""
             : " " + Head.substr(Id + Name.size(),
                                 Head.find('\r', Id) - Id - Name.size())));
  }
  return Result;
}

bool wasSeen(const ScriptedWorker &Worker, const std::string &Id) {
  const std::vector<SeenRequest> Seen = Worker.seen();
  return std::ranges::any_of(
      Seen, [&](const SeenRequest &One) { return idOf(One) == Id; });
}

} // namespace

// Guards against answers in another order than the requests, which callers
// would take for answers to other requests, and against requests that are
// passed on although an earlier answer closes the connection.
TEST_CASE("pipelined requests are answered in their order") {
  struct Case {
    const char *Name;
    //! Answer to the second of four requests.
    std::string Second;
    std::string SecondFields; //!< Header fields of the second request.
    std::vector<std::string> Expected;
    bool PassesOnLater; //!< Whether the later requests reach a worker.
  };
  const std::string Good = workerAnswer(200, "id-2", "whole");
  const Case Cases[] = {
      {"all answer",
       Good,
       "",
       {"200 id-1", "200 id-2", "200 id-3", "200 id-4"},
       true},
      {"one fails on all workers",
       workerAnswer(500, "id-2", "failed"),
       "",
       {"200 id-1", "500 id-2", "200 id-3", "200 id-4"},
       true},
      {"one is rejected by all workers",
       workerAnswer(503, "id-2", "", "Not-Executed: 1\r\n"),
       "",
       {"200 id-1", "503", "200 id-3", "200 id-4"},
       true},
      {"one breaks off on all workers",
       Good.substr(0, Good.size() - 2) + ScriptedWorker::Close,
       "",
       {"200 id-1", "502", "200 id-3", "200 id-4"},
       true},
      {"one is answered twice",
       Good + Good,
       "",
       {"200 id-1", "200 id-2", "200 id-3", "200 id-4"},
       true},
      {"one is never answered",
       ScriptedWorker::Silent,
       "",
       {"200 id-1", "504", "200 id-3", "200 id-4"},
       true},
      {"the caller closes after one",
       Good,
       "Connection: close\r\n",
       {"200 id-1", "200 id-2"},
       false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    // The first requests take longest, so workers answer out of order if they
    // are asked at the same time.
    const auto Script = [&](std::size_t, const SeenRequest &Seen) {
      const std::string Id = idOf(Seen);
      std::this_thread::sleep_for(Id == "id-1" ? 100ms : 0ms);
      return Id == "id-2" ? C.Second : workerAnswer(200, Id, "whole");
    };
    ScriptedWorker One(Script);
    ScriptedWorker Two(Script);
    GatewayFixture F;
    F.putWorker("w1", One.endpoint());
    F.putWorker("w2", Two.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    const auto Received = receiveUntilClosed(
        F.settings().Traffic,
        request("/safe/1", "id-1") +
            request("/safe/2", "id-2", C.SecondFields) +
            request("/safe/3", "id-3") +
            request("/safe/4", "id-4",
                    C.PassesOnLater ? "Connection: close\r\n" : ""));
    REQUIRE(Received);
    CHECK(answers(*Received) == C.Expected);
    for (const char *Later : {"id-3", "id-4"})
      CHECK((wasSeen(One, Later) || wasSeen(Two, Later)) == C.PassesOnLater);
  }
}

// Guards against workers that go on for a caller that left, because the bytes
// of its next requests hide the end of the connection.
TEST_CASE("a caller that pipelines and leaves ends its request") {
  for (const bool Resets : {false, true}) {
    CAPTURE(Resets);
    ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
      return std::string(ScriptedWorker::Silent);
    });
    GatewayFixture F;
    F.putWorker("w1", Worker.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    asio::io_context Io;
    asio::ip::tcp::socket Caller(Io);
    Caller.connect({asio::ip::make_address(F.settings().Traffic.Address),
                    F.settings().Traffic.Port});
    asio::write(Caller, asio::buffer(request("/safe/1", "id-1")));
    CHECK(eventually([&] { return Worker.seen().size() == 1; }));
    asio::write(Caller, asio::buffer(request("/safe/2", "id-2")));
    std::this_thread::sleep_for(100ms);
    if (Resets)
      Caller.set_option(asio::socket_base::linger(true, 0));
    Caller.close();
    CHECK(eventually([&] {
      const auto Text = F.get(
          {F.settings().Traffic.Address, F.settings().MetricsPort}, "/metrics");
      return Text && Text->body().find("unanswered_total") != std::string::npos;
    }));
    const auto Metrics = F.get(
        {F.settings().Traffic.Address, F.settings().MetricsPort}, "/metrics");
    REQUIRE(Metrics);
    CHECK(Metrics->body().find("kind=\"caller_left\"} 1") != std::string::npos);
    // The request did not go on until its deadline.
    CHECK(Metrics->body().find("timed_out") == std::string::npos);
    CHECK(Worker.seen().size() == 1);
  }
}

// Guards against memory for requests that a caller sends without reading the
// answers: the gateway has to stop reading.
TEST_CASE("a caller that pipelines without reading is not read further") {
  constexpr std::size_t AnswerBytes = 64 * 1024;
  constexpr std::size_t Requests = 4000;
  const std::string Body(AnswerBytes, 'x');
  ScriptedWorker Worker([&](std::size_t, const SeenRequest &Seen) {
    return workerAnswer(200, idOf(Seen), Body);
  });
  GatewayFixture F;
  F.putWorker("w1", Worker.endpoint());
  F.putConfig(1);
  F.start();
  F.awaitReady();
  asio::io_context Io;
  asio::ip::tcp::socket Caller(Io);
  Caller.connect({asio::ip::make_address(F.settings().Traffic.Address),
                  F.settings().Traffic.Port});
  Caller.non_blocking(true);
  boost::system::error_code Failure;
  std::size_t Sent = 0;
  for (; Sent < Requests && !Failure; ++Sent)
    asio::write(Caller,
                asio::buffer(request("/safe/x", "id-" + std::to_string(Sent))),
                Failure);
  std::this_thread::sleep_for(1s);
  const std::size_t Arrived = Worker.seen().size();
  std::this_thread::sleep_for(500ms);
  CHECK(Worker.seen().size() == Arrived);
  // The answers that were taken fit the socket buffers.
  CHECK(Arrived >= 1);
  CHECK(Arrived < 400);
}
