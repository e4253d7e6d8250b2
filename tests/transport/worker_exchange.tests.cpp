#include "masticgap/transport/worker_exchange.hpp"

#include "common/fake_worker.hpp"
#include "common/scripted_worker.hpp"
#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::transport;
using coordination::AttemptEnd;
using tests::FakeWorker;
using tests::Reaction;
using tests::ScriptedWorker;
using tests::SeenRequest;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

//! Ends an exchange that exceeds each deadline of the tests.
constexpr std::chrono::seconds RunLimit{70};

//! Runs exchanges sequentially over one pool.
struct Exchanges {
  asio::io_context Io{1};
  Instant Time = transport::now();
  WorkerConnectionPool Pool{Io, [this] { return Time; }, "127.0.0.1"};
  static constexpr std::size_t MaxBodyBytes = 1024 * 1024;
  std::string Body; //!< At most about MaxBodyBytes of it.
  std::string RequestBody = "ab";
  std::size_t MaxConnections = 4;
  std::string RequestId = "mine";
  http::verb Method = http::verb::post;
  const WorkerDialect *Dialect = &nativeWorkerDialect();
  bool ClockRuns = false;          //!< Else the clock stays at Time.
  std::uint64_t BytesReceived = 0; //!< By the latest exchange.

  WorkerTarget target(const Endpoint &To) const {
    return {WorkerId("w"), Incarnation{1}, To, MaxConnections};
  }

  AttemptEnd run(const Endpoint &To, bool Repeatable = true,
                 std::chrono::milliseconds Timeout = std::chrono::seconds(60)) {
    AttemptEnd Result = AttemptEnd::Cancelled;
    asio::co_spawn(Io, exchange(target(To), Repeatable, Timeout),
                   [&](const std::exception_ptr &Thrown, AttemptEnd End) {
                     CHECK_FALSE(Thrown);
                     Result = End;
                   });
    Io.restart();
    Io.run_for(RunLimit);
    return Result;
  }

  asio::awaitable<AttemptEnd> exchange(WorkerTarget To, bool Repeatable,
                                       std::chrono::milliseconds Timeout) {
    OutgoingRequest Request;
    Request.Head.method(Method);
    Request.Head.target("/x");
    Request.Head.version(11);
    Request.Head.set("Masticgap-Request-Id", RequestId);
    if (Method == http::verb::post) {
      Request.Head.set(http::field::content_length,
                       std::to_string(RequestBody.size()));
      Request.Body = RequestBody;
    }
    ExchangeOptions Options;
    Options.Repeatable = Repeatable;
    const auto Clock = [this] { return ClockRuns ? transport::now() : Time; };
    Options.Deadline = Clock() + Timeout;
    Options.ConnectTimeout = std::chrono::seconds(60);
    Options.Dialect = Dialect;
    WorkerExchange Exchange(Pool, Clock, Options);
    AttemptControl Control;
    const auto Early = co_await Exchange.start(std::move(To), Request, Control);
    BytesReceived = Exchange.bytesReceived();
    if (Early)
      co_return *Early;
    Body.clear();
    std::array<char, 1000> Part{};
    while (!Exchange.isDone()) {
      const std::size_t BytesRead = co_await Exchange.readSome(Part, Control);
      if (Body.size() < MaxBodyBytes)
        Body.append(Part.data(), BytesRead);
      if (BytesRead == 0 && !Exchange.isDone())
        co_return Exchange.failure();
    }
    co_return AttemptEnd::Answered;
  }
};

//! Returns an endpoint on which no process listens.
Endpoint closedPort() {
  asio::io_context Io;
  asio::ip::tcp::acceptor Unused(Io, {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Unused.local_endpoint().port()};
}

//! Reads all bytes that have arrived.
void drain(asio::ip::tcp::socket &Connection) {
  std::vector<char> Part(1024 * 1024);
  boost::system::error_code Failure;
  Connection.non_blocking(true);
  while (!Failure)
    Connection.read_some(asio::buffer(Part), Failure);
}

//! Returns the head of a refusal up to its last header field.
std::string refusalHead(std::string_view Id, std::string_view Kind) {
  std::string Head = "HTTP/1.1 503 X\r\n";
  if (!Id.empty())
    Head.append("Masticgap-Request-Id: ").append(Id).append("\r\n");
  return Head.append("Worker-Refused: ").append(Kind).append("\r\n");
}

//! Rest of an answer, after its last header field but one.
constexpr const char *NoBody = "Content-Length: 0\r\n\r\n";
constexpr const char *ShortBody = "Content-Length: 5\r\n\r\nsorry";
constexpr const char *ChunkedBody =
    "Transfer-Encoding: chunked\r\n\r\n5\r\nsorry\r\n0\r\n\r\n";

} // namespace

// Guards against wrong classifications: a request that is wrongly taken as not
// run may run twice, and one that may be sent again may be lost.
TEST_CASE("an attempt ends as attempt_result.hpp defines") {
  struct Case {
    const char *Name;
    Reaction What;
    AttemptEnd End;
    std::chrono::milliseconds Timeout;
  };
  const std::chrono::milliseconds Long = std::chrono::seconds(60);
  const std::chrono::milliseconds Short(50);
  const Case Cases[] = {
      {"answer", Reaction::Answer, AttemptEnd::Answered, Long},
      {"chunked answer", Reaction::AnswerLarge, AttemptEnd::Answered, Long},
      {"full", Reaction::RefuseFull, AttemptEnd::RefusedFull, Long},
      {"leaving", Reaction::RefuseLeaving, AttemptEnd::RefusedLeaving, Long},
      {"reset unread", Reaction::ResetUnread, AttemptEnd::ConnectionLost, Long},
      {"reset read", Reaction::ResetRead, AttemptEnd::ConnectionLost, Long},
      {"truncated", Reaction::TruncateSmall, AttemptEnd::Truncated, Long},
      {"cut large", Reaction::TruncateLarge, AttemptEnd::Truncated, Long},
      {"unframed", Reaction::AnswerUnframed, AttemptEnd::Truncated, Long},
      {"crossed", Reaction::AnswerForOther, AttemptEnd::ConnectionLost, Long},
      {"silent", Reaction::Silent, AttemptEnd::TimedOut, Short},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    FakeWorker Worker({C.What});
    Exchanges E;
    CHECK((E.run(Worker.endpoint(), true, C.Timeout) == C.End));
    // The connection is kept only after complete answers and refusals.
    const bool Kept =
        C.End == AttemptEnd::Answered || coordination::provedNotRun(C.End);
    CHECK(E.Pool.openConnections() == (Kept ? 1 : 0));
  }
}

TEST_CASE("only an attempt without a connection is proved not to have run") {
  Exchanges E;
  CHECK((E.run(closedPort()) == AttemptEnd::ConnectFailed));
  CHECK(E.Pool.openConnections() == 0);
}

// A worker may close an idle connection at any time. A request sent on such a
// connection may have left this host, so it must not count as proved not to
// have run, unless the close was detected before.
TEST_CASE("a connection that the worker closed is not reused") {
  FakeWorker Worker({Reaction::CloseAfterKeepAlive});
  Exchanges E;
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::Answered));
  const AttemptEnd Second = E.run(Worker.endpoint());
  const bool EndIsValid =
      Second == AttemptEnd::Answered || Second == AttemptEnd::ConnectionLost;
  CHECK(EndIsValid);
}

TEST_CASE("the rest of an earlier answer never becomes the next answer") {
  FakeWorker Worker({Reaction::AnswerTwice});
  Exchanges E;
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::Answered));
  CHECK(E.Body == "answer to /x ");
  Worker.awaitSeen(1);
  const AttemptEnd Second = E.run(Worker.endpoint());
  if (Second == AttemptEnd::Answered)
    CHECK(E.Body == "answer to /x ");
}

// Guards against taking a late answer to an earlier request as the answer to
// the next one, which is possible if answers have no request id.
TEST_CASE("connections to a worker that echoes no request id are not reused") {
  FakeWorker Worker({Reaction::AnswerWithoutId});
  Exchanges E;
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::Answered));
  CHECK(E.Pool.openConnections() == 0);
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::Answered));
  CHECK(Worker.connections() == 2);
}

// Covers a late answer that arrives after the check for unread input.
TEST_CASE("an answer without an id on a reused connection is not accepted") {
  FakeWorker Worker({Reaction::Answer, Reaction::AnswerWithoutId});
  Exchanges E;
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::Answered));
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::ConnectionLost));
  CHECK(E.Pool.openConnections() == 0);
}

TEST_CASE("connections are reused only while they count as alive") {
  struct Case {
    const char *Name;
    std::chrono::seconds Idle;
    bool Repeatable;
    std::size_t Connections;
  };
  const Case Cases[] = {
      {"fresh, not repeatable", std::chrono::seconds(1), false, 1},
      {"stale, not repeatable", std::chrono::seconds(3), false, 2},
      {"stale, repeatable", std::chrono::seconds(3), true, 1},
      {"idle too long", std::chrono::seconds(31), true, 2},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    FakeWorker Worker;
    Exchanges E;
    E.run(Worker.endpoint());
    E.Time += C.Idle;
    CHECK((E.run(Worker.endpoint(), C.Repeatable) == AttemptEnd::Answered));
    CHECK(Worker.connections() == C.Connections);
  }
}

TEST_CASE("no connection is opened beyond the worker's limit") {
  FakeWorker Worker;
  Exchanges E;
  E.MaxConnections = 0;
  CHECK((E.run(Worker.endpoint()) == AttemptEnd::ConnectFailed));
  CHECK(Worker.seen().empty());
}

TEST_CASE("sweep closes connections to runs that are no longer listed") {
  FakeWorker Worker;
  Exchanges E;
  E.run(Worker.endpoint());
  E.Pool.sweep([](const WorkerId &, Incarnation) { return true; });
  CHECK(E.Pool.openConnections() == 1);
  E.Pool.sweep([](const WorkerId &, Incarnation) { return false; });
  CHECK(E.Pool.openConnections() == 0);
}

// Guards against a send that continues on a destroyed connection.
TEST_CASE("a send that makes progress as its request is refused ends cleanly") {
  Exchanges E;
  // Several times the size of the socket buffers.
  E.RequestBody.assign(64 * 1024 * 1024, 'x');
  asio::ip::tcp::acceptor Acceptor(E.Io,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint To{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::optional<AttemptEnd> Result;
  asio::co_spawn(E.Io, E.exchange(E.target(To), true, std::chrono::hours(1)),
                 [&](const std::exception_ptr &Thrown, AttemptEnd End) {
                   CHECK_FALSE(Thrown);
                   Result = End;
                 });
  E.Io.poll();
  asio::ip::tcp::socket Worker = Acceptor.accept();
  // Until the socket buffers are full and the send waits.
  while (E.Io.poll() > 0)
    ;
  asio::write(Worker,
              asio::buffer(std::string(
                  "HTTP/1.1 503 X\r\nMasticgap-Request-Id: mine\r\n"
                  "Worker-Refused: full\r\nContent-Length: 0\r\n\r\n")));
  drain(Worker);
  // Runs after the event loop has seen that the connection can be read and
  // written, and before it reports that, so the next part is sent at once.
  asio::post(E.Io, [&] { drain(Worker); });
  E.Io.poll();
  REQUIRE(Result);
  CHECK((*Result == AttemptEnd::RefusedFull));
  CHECK(E.Pool.openConnections() == 0);
}

// Guards against a request that is reported as not run, or that is sent to a
// second worker, although the worker executed it.
TEST_CASE("a repeated refusal of an earlier request refuses no later one") {
  enum class Arrival { WithFirst, Idle, HalfIdle, BeforeAnswer };
  struct Case {
    std::string Name;
    Arrival When;
    int Copies;
    const char *CopyId;
    const char *Rest; //!< Of the copy, after the field of the refusal.
    const char *SecondId = "second";
    http::verb Method = http::verb::post;
    bool Split = false;
  };
  const Case Cases[] = {
      {"in the same segment", Arrival::WithFirst, 1, "first", NoBody},
      {"in the same segment, no id", Arrival::WithFirst, 1, "", NoBody},
      {"while idle", Arrival::Idle, 1, "first", NoBody},
      {"while idle, no id", Arrival::Idle, 1, "", NoBody},
      {"while idle, same id", Arrival::Idle, 1, "same", NoBody, "same"},
      {"begins while idle", Arrival::HalfIdle, 1, "first", ShortBody},
      {"after the request", Arrival::BeforeAnswer, 1, "first", NoBody},
      {"after the request, no id", Arrival::BeforeAnswer, 1, "", NoBody},
      {"after the request, same id", Arrival::BeforeAnswer, 1, "same", NoBody,
       "same"},
      {"body", Arrival::BeforeAnswer, 1, "first", ShortBody},
      {"chunked body", Arrival::BeforeAnswer, 1, "first", ChunkedBody},
      {"chunked body, same id", Arrival::BeforeAnswer, 1, "same", ChunkedBody,
       "same"},
      {"split", Arrival::BeforeAnswer, 1, "first", ShortBody, "second",
       http::verb::post, true},
      {"HEAD", Arrival::BeforeAnswer, 1, "first", NoBody, "second",
       http::verb::head},
      {"HEAD, no id", Arrival::BeforeAnswer, 1, "", NoBody, "second",
       http::verb::head},
      {"HEAD and a body", Arrival::BeforeAnswer, 1, "first", ShortBody,
       "second", http::verb::head},
      {"many", Arrival::BeforeAnswer, 10, "first", ShortBody},
      {"many, same id", Arrival::BeforeAnswer, 10, "same", NoBody, "same"},
  };
  WorkerDialect Skipping = nativeWorkerDialect();
  Skipping.SkipMismatchedAnswers = true;
  Skipping.AllowUnframedAnswers = true;
  for (const auto &C : Cases) {
    for (const bool Skips : {false, true}) {
      for (const char *Kind : {"full", "leaving"}) {
        CAPTURE(C.Name);
        CAPTURE(Skips);
        CAPTURE(Kind);
        const bool SameId = std::string_view(C.SecondId) == "same";
        const char *FirstId = SameId ? C.SecondId : "first";
        const std::string First = refusalHead(FirstId, Kind) + NoBody;
        std::string Copies;
        for (int I = 0; I < C.Copies; ++I)
          Copies.append(refusalHead(C.CopyId, Kind))
              .append(C.Split ? ScriptedWorker::Split : "")
              .append(C.Rest);
        const std::string Executed =
            std::string("HTTP/1.1 200 X\r\nMasticgap-Request-Id: ") +
            C.SecondId + "\r\nContent-Length: 5\r\n\r\n" +
            (C.Method == http::verb::head ? "" : "whole");
        ScriptedWorker Worker([&](std::size_t Number, const SeenRequest &) {
          if (Number == 0)
            return C.When == Arrival::WithFirst ? First + Copies : First;
          return C.When == Arrival::BeforeAnswer ? Copies + Executed : Executed;
        });
        Exchanges E;
        E.Dialect = Skips ? &Skipping : &nativeWorkerDialect();
        E.Method = C.Method;
        E.RequestId = FirstId;
        REQUIRE(coordination::provedNotRun(E.run(Worker.endpoint(), false)));
        if (C.When == Arrival::Idle)
          Worker.sendUnasked(Copies);
        if (C.When == Arrival::HalfIdle)
          Worker.sendUnasked(Copies.substr(0, Copies.size() / 2));
        E.RequestId = C.SecondId;
        const AttemptEnd Second = E.run(Worker.endpoint(), false);
        CHECK_FALSE(coordination::provedNotRun(Second));
        CHECK(Worker.seen().size() == 2);
        if (C.When != Arrival::BeforeAnswer)
          CHECK((Second == AttemptEnd::Answered));
      }
    }
  }
}

// Guards against an answer of a worker that executed the request being read as
// a part of a refusal that was cut off before it.
TEST_CASE("a refusal that is joined with a later answer is not accepted") {
  const char *const CutRefusals[] = {
      "HTTP/1.1 503 X\r\nWorker-Refused: full\r\nX-Note: cut",
      "HTTP/1.1 503 X\r\nWorker-Refused: leaving\r\nX-Note:",
  };
  for (const char *Cut : CutRefusals) {
    CAPTURE(Cut);
    ScriptedWorker Worker([&](std::size_t Number, const SeenRequest &) {
      const std::string Answer = "HTTP/1.1 200 X\r\nMasticgap-Request-Id: mine"
                                 "\r\nContent-Length: 5\r\n\r\nwhole";
      return Number == 0 ? Answer : Cut + Answer;
    });
    Exchanges E;
    REQUIRE((E.run(Worker.endpoint(), false) == AttemptEnd::Answered));
    CHECK((E.run(Worker.endpoint(), false) == AttemptEnd::ConnectionLost));
    CHECK(E.Pool.openConnections() == 0);
  }
}

// Covers a refusal without an id that follows an answer to another request.
TEST_CASE("a refusal without an id proves nothing after a skipped answer") {
  ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
    return refusalHead("other", "full") + NoBody + refusalHead("", "full") +
           NoBody;
  });
  WorkerDialect Skipping = nativeWorkerDialect();
  Skipping.SkipMismatchedAnswers = true;
  Exchanges E;
  E.Dialect = &Skipping;
  CHECK((E.run(Worker.endpoint(), false) == AttemptEnd::ConnectionLost));
}

// Guards against a worker that keeps a request, its connection and memory
// beyond the deadline by sending bytes without end.
TEST_CASE("an answer without end is ended by its size or by the deadline") {
  struct Case {
    std::string Name;
    std::string Answer;
    AttemptEnd End;
    bool EndedBySize = true;
  };
  const std::string Endless = ScriptedWorker::Endless;
  const std::string Ok = "HTTP/1.1 200 X\r\nMasticgap-Request-Id: ";
  const std::string Chunked = "\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Case Cases[] = {
      {"status line", Endless + "x", AttemptEnd::ConnectionLost},
      {"header value", Ok + Endless + "x", AttemptEnd::ConnectionLost},
      {"header fields", "HTTP/1.1 200 X\r\n" + Endless + "A: b\r\n",
       AttemptEnd::ConnectionLost},
      {"interim answers", Endless + "HTTP/1.1 102 X\r\n\r\n",
       AttemptEnd::ConnectionLost},
      {"answers to other requests",
       Endless + Ok + "other\r\nContent-Length: 1\r\n\r\nx",
       AttemptEnd::ConnectionLost},
      {"body of another answer",
       Ok + "other" + Chunked + Endless + "1\r\nx\r\n",
       AttemptEnd::ConnectionLost},
      {"long body of another answer",
       Ok + "other\r\nContent-Length: 99999999999\r\n\r\n" + Endless + "x",
       AttemptEnd::ConnectionLost},
      {"body of another answer, no length",
       Ok + "other\r\n\r\n" + Endless + "x", AttemptEnd::ConnectionLost},
      {"body of a refusal",
       refusalHead("mine", "full") + Chunked.substr(2) + Endless + "1\r\nx\r\n",
       AttemptEnd::RefusedFull},
      {"body of a refusal, no length",
       refusalHead("mine", "full") + "\r\n" + Endless + "x",
       AttemptEnd::RefusedFull},
      {"chunk extension", Ok + "mine" + Chunked + "1;a=" + Endless + "x",
       AttemptEnd::Truncated},
      {"trailer", Ok + "mine" + Chunked + "0\r\n" + Endless + "A: b\r\n",
       AttemptEnd::Truncated},
      {"chunks", Ok + "mine" + Chunked + Endless + "1\r\nx\r\n",
       AttemptEnd::TimedOut, false},
      {"body, no length", Ok + "mine\r\n\r\n" + Endless + "x",
       AttemptEnd::TimedOut, false},
  };
  const std::chrono::milliseconds BySize = std::chrono::seconds(60);
  const std::chrono::milliseconds ByTime(300);
  // The machine may be busy.
  const std::chrono::seconds Late(5);
  constexpr std::uint64_t MaxBytes = 2 * 1024 * 1024;
  WorkerDialect Skipping = nativeWorkerDialect();
  Skipping.SkipMismatchedAnswers = true;
  Skipping.AllowUnframedAnswers = true;
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    ScriptedWorker Worker(
        [&](std::size_t, const SeenRequest &) { return C.Answer; });
    Exchanges E;
    E.ClockRuns = true;
    E.Dialect = &Skipping;
    const Instant Before = transport::now();
    const auto Timeout = C.EndedBySize ? BySize : ByTime;
    CHECK((E.run(Worker.endpoint(), false, Timeout) == C.End));
    CHECK(transport::now() - Before < Timeout + Late);
    CHECK(E.Pool.openConnections() == 0);
    if (C.EndedBySize)
      CHECK(E.BytesReceived < MaxBytes);
  }
}
