#include "entry/caller_connection.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace masticgap;
using namespace masticgap::entry;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

const std::string Request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

//! Both ends of a connection. The event loop runs only when a test says so, so
//! the test decides which events share a turn.
struct ConnectedCaller {
  ConnectedCaller() {
    Tcp::acceptor Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0});
    Caller.connect(Acceptor.local_endpoint());
    Connection = std::make_shared<CallerConnection>(Acceptor.accept(), Limits);
  }

  void send() { asio::write(Caller, asio::buffer(Request)); }

  //! Reads the next head as a session does, with a watch after each.
  void startReading() {
    Read.reset();
    asio::co_spawn(Io, Connection->readHead(),
                   [this](const std::exception_ptr &Thrown,
                          std::optional<ReadFailure> Failure) {
                     CHECK_FALSE(Thrown);
                     Read = !Failure;
                   });
    Io.restart();
    Io.poll();
  }

  asio::io_context Io{1};
  EntryLimits Limits;
  Tcp::socket Caller{Io};
  std::shared_ptr<CallerConnection> Connection;
  std::optional<bool> Read; //!< Whether a head was read, once that is known.
};

} // namespace

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
    ConnectedCaller F;
    F.Limits.IdleTimeout = std::chrono::milliseconds(50);
    if (C.Reused) {
      F.send();
      F.startReading();
      REQUIRE(F.Read == true);
      const CallerWatch Watch(*F.Connection, [] {});
      F.Io.poll();
    }
    F.Connection->setBusy(false);
    F.startReading();
    REQUIRE_FALSE(F.Read);
    if (C.Sent)
      F.send();
    std::this_thread::sleep_for(F.Limits.IdleTimeout * 2);
    F.Io.run_for(std::chrono::seconds(10));
    REQUIRE(F.Read);
    CHECK(*F.Read == C.Sent);
  }
}
