#include "standins/store/store_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

using namespace masticgap;
using namespace masticgap::standins;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds FeedWait{200};

//! Store with one feed that waits for changes. The event loop runs only when a
//! test says so, so the test decides which events share a turn.
struct StoreWithFeed {
  StoreWithFeed() {
    const Endpoint To = Store->local();
    Feed.connect({asio::ip::make_address(To.Address), To.Port});
    const std::string Request = "GET /api/rows-feed?table=op&after=1&wait_ms=" +
                                std::to_string(FeedWait.count()) +
                                " HTTP/1.1\r\nHost: store\r\n\r\n";
    asio::write(Feed, asio::buffer(Request));
    while (Store->calls() == 0)
      Io.run_one();
  }

  asio::io_context Io{1};
  std::unique_ptr<StoreServer> Store =
      std::make_unique<StoreServer>(Io, Endpoint{"127.0.0.1", 0});
  Tcp::socket Feed{Io};
};

} // namespace

// Guards against an outage that answers a feed, and a feed answered twice.
TEST_CASE("a feed whose wait expires with a change is settled once") {
  struct Case {
    const char *Name;
    StoreMode Mode; //!< From the change on.
    std::size_t Answers;
  };
  for (const auto &C : {Case{"in an outage", StoreMode::Silent, 0},
                        Case{"otherwise", StoreMode::Serve, 1}}) {
    CAPTURE(C.Name);
    StoreWithFeed F;
    asio::steady_timer Change(F.Io, FeedWait / 2);
    bool Changed = false;
    Change.async_wait([&](boost::system::error_code) {
      F.Store->setMode(C.Mode);
      F.Store->put("op", "key", "value");
      Changed = true;
    });
    std::this_thread::sleep_for(FeedWait * 3);
    while (!Changed)
      F.Io.run_one();
    F.Io.poll();
    std::string Received(F.Feed.available(), '\0');
    asio::read(F.Feed, asio::buffer(Received));
    std::size_t Answers = 0;
    for (auto At = Received.find("HTTP/1.1 "); At != std::string::npos;
         At = Received.find("HTTP/1.1 ", At + 1))
      ++Answers;
    CHECK(Answers == C.Answers);
  }
}

// Guards against a timer whose handler uses a destroyed store.
TEST_CASE("the end of the store ends the feeds that wait for changes") {
  struct Case {
    const char *Name;
    bool Expired; //!< The wait of the feed expires in the same turn.
  };
  for (const auto &C : {Case{"waiting", false}, Case{"expired", true}}) {
    CAPTURE(C.Name);
    StoreWithFeed F;
    asio::steady_timer End(F.Io, FeedWait / 2);
    End.async_wait([&](boost::system::error_code) { F.Store.reset(); });
    if (C.Expired)
      std::this_thread::sleep_for(FeedWait * 3);
    while (F.Store)
      F.Io.run_one();
    F.Io.poll();
    CHECK(F.Io.stopped());
  }
}
