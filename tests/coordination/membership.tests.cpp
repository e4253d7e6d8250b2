#include "tests/coordination/gossip_world.hpp"

#include <doctest/doctest.h>

#include <chrono>

using namespace masticgap;
using namespace masticgap::coordination;
using masticgap::tests::GossipWorld;
using namespace std::chrono_literals;

namespace {

//! Simulated network in which all members know one another.
GossipWorld settledWorld(std::size_t Count, std::uint64_t Seed = 1) {
  GossipWorld World(Count, Seed);
  World.startAll();
  REQUIRE(World.runUntil(60s, [&] { return World.allViewsExact(); }));
  World.run(2s);
  return World;
}

bool allSee(const GossipWorld &World, std::size_t Subject,
            MemberStatus Status) {
  for (const auto &N : World.Nodes) {
    if (!N.Member)
      continue;
    for (const MemberRecord &M : N.Member->members())
      if (M.Host.Id == World.Nodes[Subject].Self.Id && M.Status != Status)
        return false;
  }
  return true;
}

} // namespace

TEST_CASE("a crash is known to all within 3 s without loss") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    GossipWorld World = settledWorld(26, Seed);
    World.crash(7);
    CHECK(World.runUntil(3s,
                         [&] { return allSee(World, 7, MemberStatus::Dead); }));
  }
}

TEST_CASE("a short pause is suspected and refuted, not taken for a death") {
  GossipWorld World = settledWorld(8);
  World.Changes.clear();
  World.pause(3);
  World.run(700ms);
  World.resume(3);
  World.run(10s);
  CHECK(World.Changes[MemberStatus::Suspect] > 0);
  CHECK(World.Changes[MemberStatus::Dead] == 0);
}

TEST_CASE("a member that was paused itself starts suspicions again") {
  GossipWorld World = settledWorld(3);
  Membership &Resumed = *World.Nodes[0].Member;
  GossipMessage Message;
  Message.Sender = World.Nodes[1].Member->self();
  Message.Updates = {World.Nodes[2].Member->self()};
  Message.Updates[0].Status = MemberStatus::Suspect;
  Message.Body = Ping{1};
  Resumed.handle(GossipReceived{{"10.0.0.2", 7003}, Message}, World.Now);
  const Instant Late = World.Now + 5s;
  Resumed.handle(MembershipTimer(), Late);
  CHECK(Resumed.members()[2].Status == MemberStatus::Suspect);
  for (Instant Now = Late; Now <= Late + 1s; Now += 250ms)
    Resumed.handle(MembershipTimer(), Now);
  CHECK(Resumed.members()[2].Status == MemberStatus::Dead);
}

TEST_CASE("members that lost contact only with each other suspect no one") {
  GossipWorld World = settledWorld(8);
  World.Changes.clear();
  World.Cut = {{2, 5}, {5, 2}};
  World.run(30s);
  CHECK(World.Changes[MemberStatus::Suspect] == 0);
}

TEST_CASE("a member that joins a settled fleet reads all members at once") {
  GossipWorld World(80, 3);
  for (std::size_t I = 0; I < 79; ++I)
    World.start(I);
  World.run(30s);
  World.start(79);
  CHECK(World.runUntil(1s, [&] { return World.viewIsExact(79); }));
}

TEST_CASE("messages fill up to the size limit and not above it") {
  for (const std::string &Prefix :
       {std::string("entry-"), std::string(61, 'x')}) {
    GossipWorld World(80, 3);
    World.NamePrefix = Prefix;
    World.startAll();
    World.run(10s);
    for (std::uint64_t I = 0; I < 100; ++I)
      World.spread(I % 80, RequestQuarantined{{I}});
    World.run(10s);
    CHECK(World.allViewsExact());
    CHECK(World.LargestMessage <= MaxGossipBytes);
    CHECK(World.LargestMessage > MaxGossipBytes / 2);
  }
}

TEST_CASE("members join through a seed") {
  for (const std::size_t Count : {2, 3, 26, 80}) {
    CAPTURE(Count);
    GossipWorld World(Count, 5);
    World.startAll();
    CHECK(World.runUntil(30s, [&] { return World.allViewsExact(); }));
  }
}

TEST_CASE("a paused member refutes its death after it resumes") {
  GossipWorld World = settledWorld(8);
  World.pause(3);
  World.run(5s);
  REQUIRE(World.Nodes[0].Member->members()[3].Status == MemberStatus::Dead);
  World.resume(3);
  CHECK(World.runUntil(30s, [&] { return World.allViewsExact(); }));
  CHECK(World.Nodes[3].Member->self().Revision > 0);
}

TEST_CASE("a healed partition merges, also after an hour") {
  for (const auto Length : {5s, 3600s}) {
    CAPTURE(Length.count());
    GossipWorld World = settledWorld(8);
    for (std::size_t I = 0; I < 4; ++I)
      World.Nodes[I].Side = 1;
    World.run(Length);
    CHECK_FALSE(World.allViewsExact());
    for (auto &N : World.Nodes)
      N.Side = 0;
    CHECK(World.runUntil(60s, [&] { return World.allViewsExact(); }));
  }
}

TEST_CASE("a restart replaces the earlier incarnation") {
  GossipWorld World = settledWorld(8);
  World.crash(2);
  World.start(2);
  CHECK(World.runUntil(30s, [&] { return World.allViewsExact(); }));
}

TEST_CASE("a process with an older incarnation is told that it is superseded") {
  GossipWorld World = settledWorld(3);
  GossipMessage Stale;
  Stale.Sender.Host = World.Nodes[1].Self;
  Stale.Sender.Host.Run.Value -= 1;
  Stale.Sender.Revision = 100;
  Stale.Body = Ping{9};
  const auto Actions = World.Nodes[0].Member->handle(
      GossipReceived{{"10.0.0.2", 7003}, Stale}, World.Now);
  const MemberRecord *Held = nullptr;
  for (const MemberRecord &M : World.Nodes[0].Member->members())
    if (M.Host.Id == Stale.Sender.Host.Id)
      Held = &M;
  REQUIRE(Held);
  CHECK(Held->Host.Run == World.Nodes[1].Self.Run);
  GossipMessage Newer = Stale;
  Newer.Sender.Host.Id = HostId("entry-9");
  Newer.Updates = {World.Nodes[1].Member->self()};
  Newer.Updates[0].Host.Run.Value += 1;
  std::size_t Told = 0;
  for (const auto &Action : World.Nodes[1].Member->handle(
           GossipReceived{{"10.0.0.9", 7003}, Newer}, World.Now))
    Told += std::holds_alternative<SelfSuperseded>(Action) ? 1 : 0;
  CHECK(Told == 1);
}

TEST_CASE("draining and leaving are known to all") {
  GossipWorld World = settledWorld(8);
  World.Nodes[4].Member->planLeave(World.Now);
  CHECK(World.runUntil(3s, [&] { return World.allViewsExact(); }));
  World.leave(4);
  CHECK(
      World.runUntil(3s, [&] { return allSee(World, 4, MemberStatus::Left); }));
}

TEST_CASE("configuration versions and epochs reach all members") {
  GossipWorld World = settledWorld(26);
  World.Nodes[5].Member->setProgress(7, 3);
  const auto Known = [&] {
    for (const auto &N : World.Nodes)
      for (const MemberRecord &M : N.Member->members())
        if (M.Host.Id == World.Nodes[5].Self.Id &&
            (M.ConfigVersion != 7 || M.Epoch != 3))
          return false;
    return true;
  };
  CHECK(World.runUntil(20s, Known));
}

TEST_CASE("an urgent rumor is acknowledged by all live members") {
  struct Case {
    std::size_t Count;
    double Loss;
  };
  const Case Cases[] = {{2, 0},  {26, 0}, {26, 0.1},
                        {33, 0}, {80, 0}, {80, 0.05}};
  for (const auto &C : Cases) {
    CAPTURE(C.Count);
    CAPTURE(C.Loss);
    GossipWorld World = settledWorld(C.Count);
    World.Net.MaxLatency = 20ms;
    World.Net.Loss = C.Loss;
    const Rumor What = WorkerLeaving{WorkerId("agenda-1"), Incarnation{4}};
    World.spread(1, What);
    World.run(300ms);
    REQUIRE(World.Nodes[1].Settled.size() == 1);
    CHECK(World.Nodes[1].Settled[0].AllAcknowledged);
    CHECK(World.allHold(What));
    for (std::size_t I = 0; I < C.Count; ++I)
      CHECK(World.Nodes[I].Learned.size() == (I == 1 ? 0 : 1));
  }
}

TEST_CASE("a spread ends at its time limit and names who did not acknowledge") {
  GossipWorld World = settledWorld(8);
  World.crash(6);
  World.spread(0, RequestQuarantined{{5}});
  World.run(299ms);
  CHECK(World.Nodes[0].Settled.empty());
  World.run(2ms);
  REQUIRE(World.Nodes[0].Settled.size() == 1);
  CHECK_FALSE(World.Nodes[0].Settled[0].AllAcknowledged);
  CHECK(World.Nodes[0].Settled[0].Missing == std::vector{HostId("entry-6")});
}

TEST_CASE("a spread also ends when a larger version replaces its rumor") {
  GossipWorld World = settledWorld(3);
  World.spread(0, ConfigVersionSeen{1});
  World.spread(0, ConfigVersionSeen{2});
  World.run(301ms);
  CHECK(World.Nodes[0].Settled.size() == 2);
  CHECK(World.Nodes[1].Member->rumors(World.Now).size() == 1);
}

TEST_CASE("a member that joins later learns valid rumors, not ended ones") {
  GossipWorld World(5, 1);
  for (std::size_t I = 0; I < 4; ++I)
    World.start(I);
  World.run(10s);
  World.spread(0, RequestQuarantined{{1}});
  World.run(9min);
  World.spread(0, RequestQuarantined{{2}});
  World.run(2min);
  World.start(4);
  CHECK(World.runUntil(10s, [&] {
    return World.holds(World.Nodes[4], RequestQuarantined{{2}});
  }));
  CHECK_FALSE(World.holds(World.Nodes[4], RequestQuarantined{{1}}));
  CHECK_FALSE(World.holds(World.Nodes[0], RequestQuarantined{{1}}));
}

TEST_CASE("dead members are forgotten and their number is bounded") {
  GossipWorld World(4, 1);
  World.Timing.ForgetDeadAfter = 60s;
  World.startAll();
  World.run(10s);
  World.crash(3);
  World.run(30s);
  CHECK(World.Nodes[0].Member->members().size() == 4);
  World.run(60s);
  CHECK(World.Nodes[0].Member->members().size() == 3);
}
