#include "masticgap/transport/gossip_node.hpp"

#include "masticgap/state/error.hpp"
#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <string>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::transport;
using namespace std::chrono_literals;

namespace {

constexpr auto MaxWait = 20s;

GossipNodeSettings settings(unsigned Number, std::vector<Endpoint> Seeds) {
  GossipNodeSettings S;
  S.Membership.Self = {HostId("entry-" + std::to_string(Number)),
                       RegionName("luzon"),
                       FailureDomainName("luz-a"),
                       makeIncarnation(1000, 1),
                       "127.0.0.1",
                       7000,
                       7001,
                       7002,
                       0};
  S.Membership.Seeds = std::move(Seeds);
  S.Membership.RandomSeed = Number;
  S.BindAddress = "127.0.0.1";
  S.Now = now;
  return S;
}

//! Gossip nodes on one io_context. Each callback stops it, so that waitUntil()
//! checks its condition.
struct Fleet {
  boost::asio::io_context Io{1};
  HybridClock Clock{makeIncarnation(1000, 1), now()};
  std::vector<std::unique_ptr<GossipNode>> Nodes;
  std::vector<TimedRumor> Learned;

  std::unique_ptr<GossipNode> start(GossipNodeSettings Settings) {
    GossipCallbacks Callbacks;
    Callbacks.MemberChanged = [this](const MemberRecord &) { Io.stop(); };
    Callbacks.RumorLearned = [this](const TimedRumor &Item) {
      Learned.push_back(Item);
      Io.stop();
    };
    return boost::leaf::try_handle_all(
        [&] {
          return GossipNode::start(Io, std::move(Settings), Clock, Callbacks);
        },
        [](const Error &E) {
          FAIL(describe(E));
          return std::unique_ptr<GossipNode>();
        },
        [] { return std::unique_ptr<GossipNode>(); });
  }

  void startAll(unsigned Count) {
    std::vector<Endpoint> Seeds;
    for (unsigned I = 0; I < Count; ++I) {
      Nodes.push_back(start(settings(I, Seeds)));
      Seeds = {{"127.0.0.1", Nodes[0]->port()}};
    }
  }

  template <class Condition> bool waitUntil(Condition Done) {
    boost::asio::steady_timer Limit(Io, MaxWait);
    bool TimedOut = false;
    Limit.async_wait([&](boost::system::error_code Failed) {
      TimedOut = !Failed;
      Io.stop();
    });
    while (!Done() && !TimedOut) {
      Io.restart();
      Io.run();
    }
    Limit.cancel();
    Io.restart();
    Io.poll();
    return Done();
  }

  bool allSee(std::size_t Live) const {
    for (const auto &Node : Nodes) {
      std::size_t Count = 0;
      for (const MemberRecord &M : Node->members())
        Count += isLive(M) ? 1 : 0;
      if (Count != Live)
        return false;
    }
    return true;
  }
};

std::string startError(const GossipNodeSettings &Settings) {
  boost::asio::io_context Io;
  HybridClock Clock(makeIncarnation(1, 1), now());
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(GossipNode::start(Io, Settings, Clock, {}));
        return std::string();
      },
      [](const Error &E) { return describe(E); },
      [] { return std::string("not typed"); });
}

} // namespace

TEST_CASE("nodes join, spread a rumor and see a planned leave over UDP") {
  Fleet F;
  F.startAll(4);
  REQUIRE(F.waitUntil([&] { return F.allSee(4); }));
  const Rumor What = WorkerLeaving{WorkerId("agenda-1"), Incarnation{4}};
  std::vector<RumorSettled> Settled;
  F.Nodes[2]->spread(What, [&](const RumorSettled &Ended) {
    Settled.push_back(Ended);
    F.Io.stop();
  });
  REQUIRE(
      F.waitUntil([&] { return !Settled.empty() && F.Learned.size() >= 3; }));
  CHECK(Settled[0].What == What);
  CHECK(F.Learned.size() == 3);
  F.Nodes[3]->leave();
  F.Nodes.pop_back();
  CHECK(F.waitUntil([&] { return F.allSee(3); }));
  CHECK(F.Nodes[0]->counters().MessagesSent > 0);
  CHECK(F.Nodes[0]->counters().DecodeErrors == 0);
}

TEST_CASE("a datagram that is not gossip is counted and changes nothing") {
  Fleet F;
  F.startAll(1);
  boost::asio::ip::udp::socket OtherSender(F.Io, boost::asio::ip::udp::v4());
  const boost::asio::ip::udp::endpoint To(
      boost::asio::ip::make_address("127.0.0.1"), F.Nodes[0]->port());
  OtherSender.send_to(boost::asio::buffer(std::string("hello")), To);
  OtherSender.send_to(boost::asio::buffer(std::string(1300, 'x')), To);
  while (F.Nodes[0]->counters().MessagesReceived < 2)
    F.Io.run_one();
  CHECK(F.Nodes[0]->counters().DecodeErrors == 2);
  CHECK(F.Nodes[0]->members().size() == 1);
}

TEST_CASE("invalid settings are rejected with a remedy") {
  GossipNodeSettings NoAddress = settings(1, {});
  NoAddress.BindAddress = "localhost";
  CHECK(startError(NoAddress) == "gossip bind address \"localhost\" is not an "
                                 "IP address; set an IP address of this host");
  GossipNodeSettings LongName = settings(1, {});
  LongName.Membership.Self.Id = HostId(std::string(65, 'x'));
  CHECK(startError(LongName).ends_with(
      "set host, region, failure domain and address to names of 1 to 64 "
      "bytes"));
  Fleet F;
  F.startAll(1);
  GossipNodeSettings PortInUse = settings(2, {});
  PortInUse.BindPort = F.Nodes[0]->port();
  CHECK(startError(PortInUse).ends_with("free the port or set another one"));
}
