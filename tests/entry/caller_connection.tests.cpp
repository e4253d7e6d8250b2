#include "entry/caller_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace masticgap::entry;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

//! Two ends of a connection on one io_context.
struct Pair {
  Pair()
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}), Client(Io),
        Accepted(Io) {
    Client.connect(Acceptor.local_endpoint());
    Acceptor.accept(Accepted);
    Caller = std::make_shared<CallerConnection>(std::move(Accepted), Limits);
  }

  void startReading() {
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

// Guards against a request that was taken from the connection and then loses
// its answer, because a drain took the connection for idle.
TEST_CASE("a drain serves a request whose bytes were read already") {
  Pair P;
  asio::write(P.Client, asio::buffer(std::string(
                            "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")));
  P.startReading();
  // Runs the coroutine up to its read, which takes the bytes at once; the
  // coroutine goes on later.
  P.Io.run_one();
  REQUIRE_FALSE(P.Ended);
  P.Caller->closeIfIdle();
  while (!P.Ended)
    P.Io.run_one();
  CHECK_FALSE(P.Result.has_value());
  CHECK(P.Written);
}

TEST_CASE("a drain ends the wait for a request") {
  Pair P;
  P.startReading();
  P.Io.run_one();
  P.Caller->closeIfIdle();
  while (!P.Ended)
    P.Io.run_one();
  REQUIRE(P.Result.has_value());
  CHECK(*P.Result == ReadFailure::Closed);
}
