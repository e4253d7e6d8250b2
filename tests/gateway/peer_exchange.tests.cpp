#include "gateway/peer_exchange.hpp"

#include "masticgap/transport/compression.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/resource.h>

using namespace masticgap;
using namespace masticgap::gateway;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds PeerWait{200};

//! Table of one host, which peers query over loopback. The event loop runs only
//! within its functions, so the test decides which events share a turn.
struct QueriedHost {
  asio::io_context Io{1};
  PeerUpdate Update{{}, {0, 1}, false, {}, {}, {}, {}};
  std::unique_ptr<PeerExchange> Exchange = std::make_unique<PeerExchange>(
      Io, Endpoint{"127.0.0.1", 0}, [this](const PeerUpdateQuery &Query) {
        ++Lookups;
        PeerUpdate Result = Update;
        if (Query.AfterVersion >= Result.Version)
          Result.Changes.clear();
        return Result;
      });
  int Lookups = 0;

  //! Sends a query that waits for changes after version 1.
  //! \param Fields further fields of the head.
  Tcp::socket query(const std::string &Fields = {}) {
    Tcp::socket Peer(Io);
    const Endpoint To = Exchange->local();
    Peer.connect({asio::ip::make_address(To.Address), To.Port});
    const std::string Request =
        "GET /peer/changes?table=operator&after=1&wait_ms=" +
        std::to_string(PeerWait.count()) + " HTTP/1.1\r\nHost: peer\r\n" +
        Fields + "\r\n";
    asio::write(Peer, asio::buffer(Request));
    const int Before = Lookups;
    while (Lookups == Before)
      Io.run_one_for(std::chrono::seconds(10));
    return Peer;
  }

  void change(std::string Value = "new") {
    Update.Version = {0, 2};
    Update.Changes = {{{"config", std::move(Value), {0, 2}}, false}};
    Exchange->notify();
  }

  //! Runs the event loop until the server has closed the connection.
  std::string receiveAll(Tcp::socket &Peer) {
    std::string Received;
    bool Closed = false;
    asio::async_read(Peer, asio::dynamic_buffer(Received),
                     [&](boost::system::error_code, std::size_t) {
                       Closed = true;
                       Peer.close();
                     });
    while (!Closed && Io.run_one_for(std::chrono::seconds(10)) > 0)
      ;
    // Handlers that are still queued run here.
    Io.run_for(std::chrono::milliseconds(20));
    return Received;
  }
};

std::size_t countAnswers(const std::string &Bytes) {
  std::size_t Count = 0;
  for (auto At = Bytes.find("HTTP/1.1 "); At != std::string::npos;
       At = Bytes.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

//! Returns the largest resident size of this process so far.
long peakKilobytes() {
  rusage Usage{};
  REQUIRE(::getrusage(RUSAGE_SELF, &Usage) == 0);
  return Usage.ru_maxrss;
}

} // namespace

// Guards against a second write over the answer that is being written.
TEST_CASE("a query of a peer is answered once when its wait expires with a "
          "change") {
  enum class Order { OnlyExpiry, OnlyChange, ChangeFirst, ExpiryFirst };
  struct Case {
    const char *Name;
    std::size_t Queries;
    std::uint64_t Version; //!< Of the answer.
    Order Events; //!< Handlers of expired timers run in the order of expiry.
    //! Look-ups in the table: when a query arrives, for all waiting queries
    //! when a change is announced, and for each that expires.
    int Lookups;
  };
  const Case Cases[] = {
      {"expiry only", 1, 1, Order::OnlyExpiry, 2},
      {"change only", 1, 2, Order::OnlyChange, 2},
      {"change, then expiry", 1, 2, Order::ChangeFirst, 2},
      {"expiry, then change", 1, 1, Order::ExpiryFirst, 2},
      {"change, then many expiries", 20, 2, Order::ChangeFirst, 21}};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    QueriedHost Host;
    asio::steady_timer Change(Host.Io);
    Change.expires_after(C.Events == Order::ExpiryFirst ? PeerWait * 2
                                                        : PeerWait / 2);
    std::vector<Tcp::socket> Peers;
    for (std::size_t I = 0; I < C.Queries; ++I)
      Peers.push_back(Host.query());
    if (C.Events != Order::OnlyExpiry)
      Change.async_wait([&](boost::system::error_code) { Host.change(); });
    // All timers that expire meanwhile are ready in one turn.
    if (C.Events != Order::OnlyChange)
      std::this_thread::sleep_for(PeerWait * 3);
    for (Tcp::socket &Peer : Peers) {
      const std::string Received = Host.receiveAll(Peer);
      CHECK(countAnswers(Received) == 1);
      const auto Answer =
          decodeUpdate(Received.substr(Received.find("\r\n\r\n") + 4));
      REQUIRE(Answer);
      CHECK(Answer->Version.Version == C.Version);
      CHECK(Answer->Changes.size() == C.Version - 1);
    }
    CHECK(Host.Lookups == C.Lookups);
  }
}

// Guards against hosts that answer by an older configuration for seconds,
// because the reader of their failure domain sends each of them all of a large
// one.
TEST_CASE("a large configuration reaches the hosts of a domain over a slow "
          "link") {
  constexpr std::size_t Peers = 20;
  constexpr std::size_t Routes = 1400;
  // What a link of 10 Mbit/s carries in half of the shortest time within which
  // a configuration is to be in force, 2 s.
  constexpr std::size_t LinkBytes = 10'000'000 / 8;
  std::string Config;
  for (std::size_t I = 0; I < Routes; ++I)
    Config += "[\"route-" + std::to_string(I * 7919 % 10007) +
              "\",\"shop.example\",\"/area" + std::to_string(I) +
              "/\",\"safe\",\"1200ms\",\"600ms\",2,3,true,null,\"agenda\"],";
  struct Case {
    const char *Name;
    std::string Fields;
    bool Compressed;
  };
  const Case Cases[] = {
      {"compressed", "Accept-Encoding: zstd\r\n", true},
      {"a peer that does not decompress", "", false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    QueriedHost Host;
    std::vector<Tcp::socket> Waiting;
    for (std::size_t I = 0; I < Peers; ++I)
      Waiting.push_back(Host.query(C.Fields));
    const int Before = Host.Lookups;
    Host.change(Config);
    CHECK(Host.Lookups == Before + 1);
    std::size_t Bytes = 0;
    for (Tcp::socket &Peer : Waiting) {
      const std::string Received = Host.receiveAll(Peer);
      Bytes += Received.size();
      const std::string Body = Received.substr(Received.find("\r\n\r\n") + 4);
      const auto Plain =
          C.Compressed ? transport::decompress(Body, 1 << 20) : Body;
      REQUIRE(Plain);
      const auto Answer = decodeUpdate(*Plain);
      REQUIRE(Answer);
      CHECK(Answer->Changes.front().Row.Value == Config);
    }
    CHECK((Bytes < LinkBytes) == C.Compressed);
  }
}

// Guards against a timer whose handler uses a destroyed exchange.
TEST_CASE("the end of an exchange ends the queries that wait for it") {
  struct Case {
    const char *Name;
    bool Expired; //!< The wait of the query expires in the same turn.
  };
  for (const auto &C : {Case{"waiting", false}, Case{"expired", true}}) {
    CAPTURE(C.Name);
    QueriedHost Host;
    Tcp::socket Peer = Host.query();
    asio::steady_timer End(Host.Io, PeerWait / 2);
    End.async_wait([&](boost::system::error_code) { Host.Exchange.reset(); });
    if (C.Expired)
      std::this_thread::sleep_for(PeerWait * 3);
    while (Host.Exchange)
      Host.Io.run_one();
    CHECK(countAnswers(Host.receiveAll(Peer)) == 0);
    CHECK(Host.Io.stopped());
  }
}

// Guards against memory that is allocated because a size in a peer's answer is
// wrong, and against flags that are neither true nor false.
TEST_CASE("a malformed answer of a peer is rejected") {
  const coordination::StorePosition At{2, 9};
  const PeerUpdate Update{
      {{{"w1", std::string(100000, 'v'), At}, false}, {{"w2", "", At}, true}},
      At,
      true,
      std::chrono::milliseconds(1500),
      {{"config", "c", At}},
      std::chrono::milliseconds(2500),
      {{WorkerId("w3"), {Incarnation{5}, 1}}}};
  const std::string Good = encodeUpdate(Update);
  const auto Read = decodeUpdate(Good);
  REQUIRE(Read);
  CHECK(Read->Changes == Update.Changes);
  CHECK(Read->Version == At);
  CHECK(Read->IsSnapshot);
  CHECK(Read->LapseGrace == Update.LapseGrace);
  CHECK(Read->Held == Update.Held);
  CHECK(Read->HeldGrace == Update.HeldGrace);
  CHECK(Read->Ended == Update.Ended);
  // Hosts of earlier versions send neither held rows nor ended incarnations:
  // a row and a grace period, and an id, incarnation and era.
  constexpr std::size_t HeldBytes = 8 + (8 + 6 + 8 + 1 + 8) + 4;
  constexpr std::size_t EndedBytes = 8 + (8 + 2 + 8 + 2);
  const std::string Earlier =
      Good.substr(0, Good.size() - HeldBytes - EndedBytes);
  const auto Unheld = decodeUpdate(Earlier);
  REQUIRE(Unheld);
  CHECK(Unheld->LapseGrace == Update.LapseGrace);
  CHECK(Unheld->Held.empty());
  // Hosts of still earlier versions state only that there is a grace period.
  constexpr std::size_t GraceBytes = 4;
  const auto Unstated =
      decodeUpdate(Earlier.substr(0, Earlier.size() - GraceBytes));
  REQUIRE(Unstated);
  CHECK(Unstated->LapseGrace == std::chrono::seconds(2));

  // A byte for the byte order, then sizes of eight bytes.
  constexpr std::size_t RowsAt = 1;
  constexpr std::size_t KeySizeAt = RowsAt + 8;
  constexpr std::size_t ValueSizeAt = KeySizeAt + 8 + 2;
  struct Case {
    std::size_t At;
    std::size_t Byte; //!< Of the size, in ascending significance.
    char Value;
  };
  const Case Cases[] = {
      {RowsAt, 2, '\x40'},      {RowsAt, 7, '\x40'},
      {KeySizeAt, 3, '\x10'},   {KeySizeAt, 7, '\x40'},
      {ValueSizeAt, 3, '\x10'}, {ValueSizeAt, 5, '\x40'},
      {ValueSizeAt, 7, '\x40'},
  };
  const long Before = peakKilobytes();
  for (const auto &C : Cases) {
    CAPTURE(C.At);
    CAPTURE(C.Byte);
    std::string Changed = Good;
    Changed[C.At + C.Byte] = C.Value;
    CHECK_FALSE(decodeUpdate(Changed));
  }
  // The sizes that can be allocated are of 256 MiB and more.
  CHECK(peakKilobytes() - Before < 64 * 1024);
  for (const std::size_t FromEnd : {GraceBytes + 1, GraceBytes + 2}) {
    std::string Changed = Earlier;
    Changed[Changed.size() - FromEnd] = '\x02';
    CHECK_FALSE(decodeUpdate(Changed));
  }
  for (const std::size_t Size :
       {std::size_t(0), std::size_t(1), KeySizeAt, ValueSizeAt + 50000,
        Earlier.size() - 1, Earlier.size() + 1, Good.size() - EndedBytes,
        Good.size() - 1}) {
    CAPTURE(Size);
    CHECK_FALSE(decodeUpdate(Good.substr(0, Size)));
  }
}
