#include "masticgap/transport/worker_exchange.hpp"

#include "common/fake_worker.hpp"
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
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

//! Runs exchanges sequentially over one pool.
struct Exchanges {
  asio::io_context Io{1};
  Instant Time = transport::now();
  WorkerConnectionPool Pool{Io, [this] { return Time; }, "127.0.0.1"};
  std::string Body;
  std::string RequestBody = "ab";
  std::size_t MaxConnections = 4;

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
    Io.run();
    return Result;
  }

  asio::awaitable<AttemptEnd> exchange(WorkerTarget To, bool Repeatable,
                                       std::chrono::milliseconds Timeout) {
    OutgoingRequest Request;
    Request.Head.method(http::verb::post);
    Request.Head.target("/x");
    Request.Head.version(11);
    Request.Head.set("Masticgap-Request-Id", "mine");
    Request.Head.set(http::field::content_length,
                     std::to_string(RequestBody.size()));
    Request.Body = RequestBody;
    ExchangeOptions Options;
    Options.Repeatable = Repeatable;
    Options.Deadline = Time + Timeout;
    Options.ConnectTimeout = std::chrono::seconds(60);
    WorkerExchange Exchange(
        Pool, [this] { return Time; }, Options);
    AttemptControl Control;
    const auto Early = co_await Exchange.start(std::move(To), Request, Control);
    if (Early)
      co_return *Early;
    Body.clear();
    std::array<char, 1000> Part{};
    while (!Exchange.isDone()) {
      const std::size_t BytesRead = co_await Exchange.readSome(Part, Control);
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
