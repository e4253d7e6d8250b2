#include "entry/caller_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace masticgap::entry;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

//! Both ends of a connection on one io_context.
struct ConnectionPair {
  ConnectionPair()
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}), Client(Io),
        Accepted(Io) {
    Client.connect(Acceptor.local_endpoint());
    Acceptor.accept(Accepted);
    Caller = std::make_shared<CallerConnection>(std::move(Accepted), Limits);
  }

  void send() {
    asio::write(Client, asio::buffer(std::string(
                            "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")));
  }

  void startReading() {
    Ended = Written = false;
    asio::co_spawn(
        Io,
        [this]() -> asio::awaitable<void> {
          Result = co_await Caller->readHead();
          if (!Result) {
            masticgap::transport::HttpResponse Answer;
            Answer.prepare_payload();
            Written = co_await Caller->write(std::move(Answer));
          }
          Ended = true;
        },
        asio::detached);
  }

  asio::io_context Io{1};
  Tcp::acceptor Acceptor;
  Tcp::socket Client;
  Tcp::socket Accepted;
  EntryLimits Limits;
  std::shared_ptr<CallerConnection> Caller;
  std::optional<ReadFailure> Result;
  bool Ended = false;
  bool Written = false;
};

} // namespace

// Guards against the loss of an answer: a drain must not treat a connection as
// idle when the bytes of a request were already read from it.
TEST_CASE("a drain serves a request whose bytes were read already") {
  ConnectionPair Connection;
  Connection.send();
  Connection.startReading();
  // Runs the coroutine up to its read, which receives the bytes immediately;
  // the coroutine resumes later.
  Connection.Io.run_one();
  REQUIRE_FALSE(Connection.Ended);
  Connection.Caller->closeIfIdle();
  while (!Connection.Ended)
    Connection.Io.run_one();
  CHECK_FALSE(Connection.Result.has_value());
  CHECK(Connection.Written);
}

TEST_CASE("a drain ends the wait for a request") {
  ConnectionPair Connection;
  Connection.startReading();
  Connection.Io.run_one();
  Connection.Caller->closeIfIdle();
  while (!Connection.Ended)
    Connection.Io.run_one();
  REQUIRE(Connection.Result.has_value());
  CHECK(*Connection.Result == ReadFailure::Closed);
}

// Guards against a request that is dropped as its connection expires.
TEST_CASE("a request that arrives as its idle connection expires is read") {
  struct Case {
    const char *Name;
    bool Reused; //!< The connection has carried an earlier request.
    bool Sent;   //!< The request arrives before the connection expires.
  };
  const Case Cases[] = {{"first request", false, true},
                        {"later request", true, true},
                        {"no first request", false, false},
                        {"no later request", true, false}};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    ConnectionPair Connection;
    Connection.Limits.IdleTimeout = std::chrono::milliseconds(50);
    if (C.Reused) {
      Connection.send();
      Connection.startReading();
      while (!Connection.Ended)
        Connection.Io.run_one();
      REQUIRE(Connection.Written);
      const CallerWatch Watch(*Connection.Caller, [] {});
      Connection.Caller->setBusy(false);
    }
    Connection.startReading();
    Connection.Io.restart();
    Connection.Io.poll();
    REQUIRE_FALSE(Connection.Ended);
    if (C.Sent)
      Connection.send();
    // The request and the end of the idle time are ready in one turn.
    std::this_thread::sleep_for(Connection.Limits.IdleTimeout * 2);
    Connection.Io.run_for(std::chrono::seconds(10));
    REQUIRE(Connection.Ended);
    CHECK(Connection.Result.has_value() != C.Sent);
    CHECK(Connection.Written == C.Sent);
  }
}

// Guards against the end of a connection that unread bytes of a body hide.
TEST_CASE("a closed connection is detected behind unread bytes of a body") {
  for (const bool Resets : {false, true}) {
    CAPTURE(Resets);
    ConnectionPair Connection;
    asio::write(Connection.Client,
                asio::buffer("POST / HTTP/1.1\r\nHost: a.example\r\n"
                             "Content-Length: 100000\r\n\r\n" +
                             std::string(50000, 'x')));
    bool Gone = false;
    asio::co_spawn(
        Connection.Io,
        [&]() -> asio::awaitable<void> {
          Connection.Result = co_await Connection.Caller->readHead();
        },
        asio::detached);
    Connection.Io.run();
    REQUIRE_FALSE(Connection.Result);
    {
      const CallerWatch Watch(*Connection.Caller, [&] { Gone = true; });
      Connection.Io.restart();
      Connection.Io.run_for(std::chrono::milliseconds(50));
      CHECK_FALSE(Gone);
      if (Resets)
        Connection.Client.set_option(asio::socket_base::linger(true, 0));
      Connection.Client.close();
      Connection.Io.restart();
      Connection.Io.run_for(std::chrono::seconds(10));
      CHECK(Gone);
      CHECK_FALSE(Connection.Caller->hasWholeBody());
    }
    // Without a watch nothing keeps the io_context running.
    Connection.Io.restart();
    Connection.Io.run();
  }
}
