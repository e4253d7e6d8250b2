#include "common/raw_caller.hpp"
#include "entry/traffic_fixture.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <stdexcept>

using namespace masticgap;
using namespace masticgap::tests;
using namespace masticgap::coordination;
using transport::HttpRequest;
using transport::HttpResponse;
namespace http = boost::beast::http;

namespace {

std::string outcome(const HttpResponse &Answer) {
  return std::string(Answer["Masticgap-Outcome"]);
}

enum class RequestKind : std::int64_t { Get, Post, PostBare, PostNoKey };

HttpRequest makeRequest(const TrafficFixture &Fixture, RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Get:
    return makeGet();
  case RequestKind::Post:
    return makePost(Fixture.boundKey("k1"));
  case RequestKind::PostBare:
    return makePost("bare-k1");
  case RequestKind::PostNoKey:
    return makePost("");
  }
  return makeGet();
}

} // namespace

// Guards against a wrong outcome and against repeated execution: the outcome
// reported to the caller is compared with the requests that the workers
// received.
TEST_CASE("a worker's fault is retried or reported with its outcome") {
  using R = Reaction;
  struct Case {
    std::string Name;
    RequestKind Kind;
    std::vector<Reaction> Script;
    const char *DeadlineMs;
    std::size_t Status;
    const char *ReportedOutcome;
    std::size_t RequestsSeen;
  };
  const Case Cases[] = {
      {"get", RequestKind::Get, {}, "", 200, "answered", 1},
      {"post", RequestKind::Post, {}, "", 200, "answered", 1},
      {"bare key", RequestKind::PostBare, {}, "", 200, "answered", 1},
      {"no key", RequestKind::PostNoKey, {}, "", 400, "not-run", 0},
      {"bad deadline", RequestKind::Get, {}, "soon", 400, "not-run", 0},
      {"get full", RequestKind::Get, {R::RefuseFull}, "", 200, "answered", 2},
      {"post full", RequestKind::Post, {R::RefuseFull}, "", 200, "answered", 2},
      {"post leaving",
       RequestKind::Post,
       {R::RefuseLeaving},
       "",
       200,
       "answered",
       2},
      {"get reset", RequestKind::Get, {R::ResetRead}, "", 200, "answered", 2},
      {"post reset", RequestKind::Post, {R::ResetRead}, "", 502, "unknown", 1},
      {"post reset unread",
       RequestKind::Post,
       {R::ResetUnread},
       "",
       502,
       "unknown",
       0},
      {"bare reset",
       RequestKind::PostBare,
       {R::ResetRead},
       "",
       502,
       "unknown",
       1},
      {"get cut", RequestKind::Get, {R::TruncateSmall}, "", 200, "answered", 2},
      {"post cut",
       RequestKind::Post,
       {R::TruncateSmall},
       "",
       502,
       "unknown",
       1},
      {"get crossed",
       RequestKind::Get,
       {R::AnswerForOther},
       "",
       200,
       "answered",
       2},
      {"post crossed",
       RequestKind::Post,
       {R::AnswerForOther},
       "",
       502,
       "unknown",
       1},
      {"post unframed",
       RequestKind::Post,
       {R::AnswerUnframed},
       "",
       502,
       "unknown",
       1},
      {"get silent", RequestKind::Get, {R::Silent}, "150", 504, "unknown", 1},
      {"post silent", RequestKind::Post, {R::Silent}, "150", 504, "unknown", 1},
      {"all full",
       RequestKind::Post,
       {R::RefuseFull, R::RefuseFull, R::RefuseFull, R::RefuseFull,
        R::RefuseFull},
       "150",
       503,
       "not-run",
       2},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    TrafficFixture Fixture;
    Fixture.Reactions->set(C.Script);
    HttpRequest Request = makeRequest(Fixture, C.Kind);
    if (*C.DeadlineMs)
      Request.set("Masticgap-Deadline-Ms", C.DeadlineMs);
    TestCaller Caller(Fixture.local());
    const HttpResponse Answer = Caller.run(Request);
    CHECK_FALSE(Caller.Failure);
    CHECK(Answer.result_int() == C.Status);
    CHECK(outcome(Answer) == C.ReportedOutcome);
    CHECK(std::string(Answer["Masticgap-Config-Version"]) == "7");
    CHECK_FALSE(std::string(Answer["Masticgap-Request-Id"]).empty());
    CHECK(Fixture.seen() == C.RequestsSeen);
  }
}

TEST_CASE("requests that cannot be served are refused without a worker") {
  struct Case {
    std::string Name;
    std::string Bytes;
    const char *Status;
    const char *Kind;
  };
  const Case Cases[] = {
      {"no HTTP", "hello\r\n\r\n", "400", "malformed"},
      {"unknown service", "GET /nowhere/x HTTP/1.1\r\nHost: e\r\n\r\n", "404",
       "not_found"},
      {"no path", "GET * HTTP/1.1\r\nHost: e\r\n\r\n", "404", "not_found"},
      {"large head",
       "GET /agenda/x HTTP/1.1\r\nA: " + std::string(5000, 'a') + "\r\n\r\n",
       "413", "too_large"},
      {"large body", "POST /agenda/x HTTP/1.1\r\nContent-Length: 9999\r\n\r\n",
       "413", "too_large"},
      {"long id",
       "GET /agenda/x HTTP/1.1\r\nMasticgap-Request-Id: " +
           std::string(200, 'a') + "\r\n\r\n",
       "400", "invalid_request"},
  };
  entry::EntryLimits Limits;
  Limits.MaxHeaderBytes = 2048;
  Limits.MaxBodyBytes = 5000;
  TrafficFixture Fixture(Limits);
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    TestCaller Caller(Fixture.local());
    Caller.sendText(C.Bytes);
    const HttpResponse Answer = Caller.read();
    CHECK(std::to_string(Answer.result_int()) == C.Status);
    CHECK(outcome(Answer) == "not-run");
    CHECK(Answer.body().find(C.Kind) != std::string::npos);
  }
  CHECK(Fixture.seen() == 0);
}

TEST_CASE("a host without a configuration refuses requests") {
  TrafficFixture Fixture;
  Fixture.runOnForwardingThread([&] {
    Fixture.State->publish(std::make_shared<entry::SteeringSnapshot>());
  });
  TestCaller Caller(Fixture.local());
  const HttpResponse Answer = Caller.run(makeGet());
  CHECK(Answer.result_int() == 503);
  CHECK(std::string(Answer[http::field::retry_after]) == "1");
}

TEST_CASE("one connection carries several requests and their answers") {
  TrafficFixture Fixture;
  TestCaller Caller(Fixture.local());
  for (const char *Path : {"/agenda/a", "/agenda/b", "/agenda/c"})
    CHECK(Caller.run(makeGet(Path)).body() ==
          "answer to " + std::string(Path) + " ");
  // Pipelined requests are answered in their order.
  Caller.send(makeGet("/agenda/d"));
  Caller.send(makeGet("/agenda/e"));
  CHECK(Caller.read().body() == "answer to /agenda/d ");
  CHECK(Caller.read().body() == "answer to /agenda/e ");
}

TEST_CASE("hop-by-hop fields stay on their connection") {
  TrafficFixture Fixture;
  HttpRequest Request = makePost(Fixture.boundKey("k"));
  Request.set(http::field::connection, "keep-alive, X-Private");
  Request.set("X-Private", "1");
  Request.set("X-Public", "2");
  Request.set("Masticgap-Forwarded", "1");
  TestCaller Caller(Fixture.local());
  CHECK(Caller.run(Request).result_int() == 200);
  auto Seen = Fixture.First.seen();
  if (Seen.empty())
    Seen = Fixture.Second.seen();
  REQUIRE(Seen.size() == 1);
  CHECK(Seen[0].count("X-Private") == 0);
  CHECK(Seen[0].count("Masticgap-Forwarded") == 0);
  CHECK(std::string(Seen[0]["X-Public"]) == "2");
  CHECK(std::string(Seen[0]["Idempotency-Key"]) == Fixture.boundKey("k"));
  CHECK(Seen[0].count("Masticgap-Deadline-Ms") == 1);
}

TEST_CASE(
    "a large answer arrives completely, and a truncated one is an error") {
  struct Case {
    Reaction WorkerReaction;
    bool IsComplete;
  };
  const Case Cases[] = {{Reaction::AnswerLarge, true},
                        {Reaction::TruncateLarge, false}};
  for (const auto &C : Cases) {
    TrafficFixture Fixture;
    Fixture.Reactions->set({C.WorkerReaction});
    TestCaller Caller(Fixture.local());
    const HttpResponse Answer = Caller.run(makeGet());
    CHECK(!Caller.Failure == C.IsComplete);
    CHECK((Answer.body().size() == FakeWorker::LargeBytes) == C.IsComplete);
    CHECK(Fixture.seen() == 1);
  }
}

TEST_CASE("a large request body is streamed once and never sent again") {
  struct Case {
    Reaction WorkerReaction;
    unsigned Status;
    const char *ReportedOutcome;
  };
  const Case Cases[] = {{Reaction::Answer, 200, "answered"},
                        {Reaction::RefuseFull, 503, "not-run"},
                        {Reaction::ResetRead, 502, "unknown"}};
  const std::string Body(1024 * 1024, 'b');
  for (const auto &C : Cases) {
    CAPTURE(C.Status);
    TrafficFixture Fixture;
    Fixture.Reactions->set({C.WorkerReaction});
    TestCaller Caller(Fixture.local());
    const HttpResponse Answer =
        Caller.run(makePost(Fixture.boundKey("k"), Body));
    CHECK(Answer.result_int() == C.Status);
    CHECK(outcome(Answer) == C.ReportedOutcome);
    CHECK(Fixture.seen() == 1);
    for (const auto *Worker : {&Fixture.First, &Fixture.Second})
      for (const HttpRequest &Seen : Worker->seen())
        CHECK(Seen.body() == Body);
  }
}

TEST_CASE("a leaving worker is reported to the peers and gets no new request") {
  TrafficFixture Fixture;
  Fixture.Reactions->set({Reaction::RefuseLeaving});
  TestCaller Caller(Fixture.local());
  Caller.run(makeGet());
  const auto Rumors = Fixture.spread();
  REQUIRE(Rumors.size() == 1);
  const auto *Leaving = std::get_if<WorkerLeaving>(&Rumors[0]);
  REQUIRE(Leaving);
  const bool FirstLeaves = Leaving->Worker == WorkerId("w1");
  const FakeWorker &Left = FirstLeaves ? Fixture.First : Fixture.Second;
  for (int I = 0; I < 20; ++I)
    CHECK(Caller.run(makeGet()).result_int() == 200);
  CHECK(Left.seen().size() == 1);
}

TEST_CASE("a request that kills each worker reaches at most two") {
  TrafficFixture Fixture;
  Fixture.First.stopProbes();
  Fixture.Second.stopProbes();
  Fixture.Reactions->set({Reaction::ResetRead, Reaction::ResetRead,
                          Reaction::ResetRead, Reaction::ResetRead});
  TestCaller Caller(Fixture.local());
  CHECK(outcome(Caller.run(makeGet("/agenda/deadly"))) == "unknown");
  const HttpResponse Again = Caller.run(makeGet("/agenda/deadly"));
  CHECK(Again.result_int() == 503);
  CHECK(Again.body().find("quarantined") != std::string::npos);
  CHECK(Fixture.seen() == 2);
  // Suspicion and quarantine are reported to the peers.
  CHECK(Fixture.spread().size() >= 2);
}

// Guards against a connection that stays open, and against pointers to the
// request that outlive it, when serving the request ends by an exception.
TEST_CASE("a request that fails by an exception ends its connection") {
  TrafficFixture Fixture;
  Fixture.Reactions->set({Reaction::RefuseLeaving});
  Fixture.runOnForwardingThread([&] {
    Fixture.State->Context.Control.Spread = [](const Rumor &,
                                               const std::function<void()> &) {
      throw std::runtime_error("cannot spread");
    };
  });
  const auto Received = receiveUntilClosed(
      Fixture.local(), "GET /agenda/x HTTP/1.1\r\nHost: entry\r\n\r\n");
  REQUIRE(Received);
  CHECK(Received->empty());
  Fixture.runOnForwardingThread(
      [&] { CHECK(Fixture.Server->openConnections() == 0); });
}
