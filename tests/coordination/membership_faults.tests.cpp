#include "tests/coordination/gossip_world.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <string>

using namespace masticgap;
using namespace masticgap::coordination;
using masticgap::tests::GossipWorld;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t SeedCount = 50;
constexpr std::uint64_t StepsPerSeed = 10'000;
constexpr std::uint64_t StepsPerFault = 40;
constexpr std::size_t NodeCount = 7;
//! Fault-free time after which all views must agree.
constexpr Duration FaultFreeTime = 90s;

//! Returns the seeds to run: all of them, or the one in MASTICGAP_SEED.
std::vector<std::uint64_t> seeds() {
  if (const char *SeedText = std::getenv("MASTICGAP_SEED"))
    return {std::stoull(SeedText)};
  std::vector<std::uint64_t> All;
  for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed)
    All.push_back(Seed);
  return All;
}

//! One run with random faults. After each step, the invariants of the affected
//! node are checked; Failure contains the first violation.
class FaultRun {
public:
  explicit FaultRun(std::uint64_t Seed) : World(NodeCount, Seed) {
    World.startAll();
  }

  std::string run() {
    std::uint64_t Step = 0;
    for (std::uint64_t Events = 0; Step < StepsPerSeed && Failure.empty();
         ++Events) {
      if (Events % StepsPerFault == 0 || World.idle())
        injectFault();
      const auto Affected = World.idle() ? std::nullopt : World.step();
      if (!Affected)
        continue;
      ++Step;
      checkNode(*Affected);
    }
    if (Failure.empty())
      checkFaultFree();
    return Failure;
  }

private:
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      Count - 1)(World.Random);
  }

  void injectFault() {
    const std::size_t I = pick(NodeCount);
    GossipWorld::Node &N = World.Nodes[I];
    switch (pick(9)) {
    case 0:
      World.Net.Loss = 0.1 * static_cast<double>(pick(5));
      break;
    case 1:
      World.Net.Duplication = 0.1 * static_cast<double>(pick(4));
      break;
    case 2:
      World.Net.MaxLatency = std::chrono::milliseconds(1 + pick(120));
      break;
    case 3:
      N.Side = static_cast<unsigned>(pick(2));
      break;
    case 4:
      for (auto &Other : World.Nodes)
        Other.Side = 0;
      break;
    case 5:
      // One process always keeps running; otherwise no network is left to join.
      if (I != 0 && N.Member && !N.Paused && pick(2) == 0)
        World.crash(I);
      else if (!N.Member)
        World.start(I);
      break;
    case 6:
      if (N.Member && !N.Paused)
        World.pause(I);
      break;
    case 7:
      World.resume(I);
      break;
    default:
      if (N.Member && !N.Paused)
        spread(I);
    }
  }

  void spread(std::size_t I) {
    const Rumor What = RequestQuarantined{{++Spreads}};
    World.spread(I, What);
    Kept.emplace_back(What, World.Nodes[I].Self.Run);
  }

  void checkNode(std::size_t I) {
    GossipWorld::Node &N = World.Nodes[I];
    if (!N.Member)
      return;
    for (const MemberRecord &M : N.Member->members()) {
      Incarnation &Newest = N.Newest[M.Host.Id];
      if (M.Host.Run < Newest)
        Failure =
            "an old incarnation replaced a newer one on " + N.Self.Id.value();
      Newest = M.Host.Run;
    }
    if (N.Member->self().Host.Run != N.Self.Run ||
        N.Member->self().Status != MemberStatus::Alive)
      Failure = "a running process does not list itself as alive";
    if (World.LargestMessage > MaxGossipBytes)
      Failure = "a message is larger than " + std::to_string(MaxGossipBytes);
    if (World.LastStepWasTimer && N.Member->nextDeadline() <= World.Now)
      Failure = "a timer is due again immediately on " + N.Self.Id.value();
  }

  //! Rumors whose origin has been running since the spread must reach all
  //! members; others may be lost.
  bool rumorsReachedAll() const {
    for (const auto &[What, Run] : Kept)
      for (const auto &N : World.Nodes)
        if (N.Member && N.Self.Run == Run && World.holds(N, What) &&
            !World.allHold(What))
          return false;
    return true;
  }

  void checkFaultFree() {
    World.Net = GossipWorld::Faults();
    for (std::size_t I = 0; I < NodeCount; ++I) {
      World.Nodes[I].Side = 0;
      World.resume(I);
    }
    const std::uint64_t Before = World.Messages;
    if (!World.runUntil(FaultFreeTime, [&] { return World.allViewsExact(); }))
      Failure = "views differ after the fault-free time";
    else if (!World.runUntil(FaultFreeTime, [&] { return rumorsReachedAll(); }))
      Failure = "a rumor did not reach all live members";
    // An agreed view must be stable: no member is declared dead again.
    World.run(10s);
    if (Failure.empty() && World.Messages == Before)
      Failure = "no message was sent in the fault-free time";
    if (Failure.empty() && !World.allViewsExact())
      Failure = "a live connected member was declared dead again";
  }

  GossipWorld World;
  std::string Failure;
  std::uint64_t Spreads = 0;
  std::vector<std::pair<Rumor, Incarnation>> Kept;
};

} // namespace

TEST_CASE("membership keeps its invariants under random faults") {
  for (const std::uint64_t Seed : seeds()) {
    const std::string Failure = FaultRun(Seed).run();
    if (!Failure.empty())
      FAIL_CHECK("seed ", Seed, ": ", Failure,
                 "; repeat with: MASTICGAP_SEED=", Seed,
                 " build/tests/coordination-tests -tc='membership keeps its "
                 "invariants*'");
  }
}
