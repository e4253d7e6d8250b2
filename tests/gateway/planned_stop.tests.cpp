// A planned stop under load, as callers at the sockets see it.
#include "common/eventually.hpp"
#include "common/raw_caller.hpp"
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace masticgap;
using namespace masticgap::tests;
using namespace std::chrono_literals;

namespace {

std::string request(const std::string &Path, const std::string &Id,
                    unsigned DeadlineMs) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + Id +
         "\r\nDeadline-Milliseconds: " + std::to_string(DeadlineMs) +
         "\r\n\r\n";
}

} // namespace

// Guards against connections that are reset because they wait at the listening
// socket when a stopping host closes it.
TEST_CASE("callers that connect as a stopping host stops listening get an "
          "answer") {
  constexpr int Callers = 8;
  ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
    return workerAnswer(200, "id-1", "whole",
                        "Response-Signature: s\r\nServer-Load: 1,0,3\r\n");
  });
  std::atomic<bool> Block = false;
  std::promise<void> Blocked;
  std::promise<void> Release;
  GatewayFixture F;
  // Blocks the thread of the gateway while callers connect.
  F.setLoadParser(
      [&](std::string_view) -> std::optional<coordination::QueueReport> {
        if (Block.exchange(false)) {
          Blocked.set_value();
          Release.get_future().wait();
        }
        return std::nullopt;
      });
  F.putWorker("w1", Worker.endpoint());
  F.putConfig(1);
  F.setGracePeriod(3000ms);
  F.start();
  F.awaitReady();
  F.requestStop();
  CHECK(eventually([&] {
    const auto Ready = F.get(F.settings().Readiness, "/api/readiness");
    return Ready && Ready->result_int() == 503;
  }));
  Block = true;
  std::thread First([&] { F.send("/safe/x"); });
  Blocked.get_future().wait();
  std::vector<std::future<std::optional<std::string>>> Received;
  for (int I = 0; I < Callers; ++I)
    Received.push_back(std::async(std::launch::async, [&F, I] {
      return receiveUntilClosed(
          F.settings().Traffic,
          request("/safe/x", "id-" + std::to_string(I), 1000));
    }));
  // The host stops listening after 1.2 s of the grace period.
  std::this_thread::sleep_for(1400ms);
  Release.set_value();
  First.join();
  for (auto &Answer : Received) {
    const std::optional<std::string> Text = Answer.get();
    REQUIRE(Text);
    CHECK(Text->starts_with("HTTP/1.1 "));
  }
}

// Guards against requests that are passed on late in the grace period and cut
// off at its end, so that nobody knows whether they were executed.
TEST_CASE("a request that may outlast a stopping host is not passed on") {
  struct Case {
    const char *Name;
    unsigned DeadlineMs;
    std::chrono::milliseconds Grace;
    unsigned Status;
    std::size_t Arrivals;
  };
  // Requests are ended 740 ms before the end of the grace period, and the
  // latency objective of the route is 400 ms.
  const Case Cases[] = {
      {"ends before the host", 500, 3000ms, 200, 1},
      {"is answered in time by far", 60000, 6000ms, 200, 1},
      {"may outlast the host", 60000, 1500ms, 503, 0},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
      return workerAnswer(200, "id-1", "whole");
    });
    GatewayFixture F;
    F.putWorker("w1", Worker.endpoint());
    F.putConfig(
        1,
        R"(,["long","a.example","/long/","unsafe","60s","400ms",1,"svc",1,true,[],null])");
    F.setGracePeriod(C.Grace);
    F.start();
    F.awaitReady();
    F.requestStop();
    CHECK(eventually([&] {
      const auto Ready = F.get(F.settings().Readiness, "/api/readiness");
      return Ready && Ready->result_int() == 503;
    }));
    const auto Answer = F.send("/long/x", "body", "id-1", C.DeadlineMs);
    REQUIRE(Answer);
    CHECK(Answer->result_int() == C.Status);
    CHECK(Worker.seen().size() == C.Arrivals);
    if (C.Status == 503)
      CHECK(Answer->count(boost::beast::http::field::retry_after) == 1);
  }
}
