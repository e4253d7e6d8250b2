#include "link_simulation.hpp"
#include "seeds.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticgap;
using namespace masticgap::tests;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t StepsPerSeed = 10000;
constexpr double Cap = LinkSimulation::CapMbit * 1e6 / 8;
const RegionPair Outbound{RegionName("luzon"), RegionName("visayas")};

//! Randomly changes faults, demand and caps, some of them every second.
class RandomFaults {
public:
  RandomFaults(LinkSimulation &Simulated, std::uint64_t Seed)
      : Sim(Simulated), Random(Seed) {}

  void beforeStep() {
    if (Sim.now() >= FaultsEnd)
      endFaults();
    if (chance(0.002))
      beginFault();
    if (chance(0.02))
      changeDemand();
    if (chance(0.002))
      Sim.pause(host(), milliseconds(pick(14000)));
    //  Pauses two hosts at once, beyond the end of their leases.
    if (chance(0.0005)) {
      Sim.pause(host(), milliseconds(9000 + pick(5000)));
      Sim.pause(host(), milliseconds(9000 + pick(5000)));
    }
    if (chance(0.001))
      Sim.restart(host(), milliseconds(200 + pick(3000)));
    if (chance(0.0005))
      Sim.changeCap(pairOf(host()), 1000 + pick(4000));
  }

private:
  bool chance(double P) { return std::bernoulli_distribution(P)(Random); }
  unsigned pick(unsigned N) {
    return std::uniform_int_distribution<unsigned>(0, N - 1)(Random);
  }
  std::size_t host() { return pick(static_cast<unsigned>(Sim.hostCount())); }
  RegionPair pairOf(std::size_t Host) {
    const auto Pairs = Sim.pairsOf(Host);
    return Pairs[pick(static_cast<unsigned>(Pairs.size()))];
  }
  void changeDemand() {
    const double Shares[] = {0, 0.005, 0.1, 0.5, 2, 2};
    const std::size_t Host = host();
    // Most demand is on two pairs, so that these are saturated.
    const auto Pairs = Sim.pairsOf(Host);
    const RegionPair Hot = chance(0.5) ? Outbound : Outbound.reversed();
    const bool IsHot = std::ranges::count(Pairs, Hot) > 0 && chance(0.7);
    Sim.demand(Host, IsHot ? Hot : pairOf(Host), Cap * Shares[pick(6)]);
  }
  void beginFault() {
    FaultsEnd = Sim.now() + milliseconds(500 + pick(15000));
    switch (pick(3)) {
    case 0:
      Sim.table().Down = true;
      break;
    case 1:
      Sim.table().LoseAnswerShare = 0.5;
      break;
    default:
      Sim.table().Slow = milliseconds(2500);
    }
  }
  void endFaults() {
    Sim.table().Down = false;
    Sim.table().LoseAnswerShare = 0;
    Sim.table().Slow = Duration(0);
  }

  LinkSimulation &Sim;
  std::mt19937_64 Random;
  Instant FaultsEnd = Instant::max();
};

void runRandom(LinkSimulation &Sim, std::uint64_t Seed) {
  RandomFaults Faults(Sim, Seed);
  for (std::uint64_t I = 0; I < StepsPerSeed && Sim.violation().empty(); ++I) {
    Faults.beforeStep();
    Sim.step();
  }
  Sim.table().Down = false;
  Sim.table().LoseAnswerShare = 0;
  Sim.table().Slow = Duration(0);
}

//! Returns the share of the cap that the pair carries in the next two seconds,
//! with hosts acting every millisecond.
double usedShare(LinkSimulation &Sim, const RegionPair &Pair) {
  const auto Before = Sim.carried(Pair);
  Sim.StepLength = milliseconds(1);
  Sim.run(seconds(2));
  return static_cast<double>(Sim.carried(Pair) - Before) / 2 / Cap;
}

} // namespace

// Guards against traffic above a cap while hosts and the store fail, and
// against grants that are not obtained again after the faults.
TEST_CASE("link caps hold under random faults and the link serves after them") {
  forEachSeed("link caps hold under random faults*", [](std::uint64_t Seed) {
    LinkSimulation Sim(Seed, {});
    runRandom(Sim, Seed);
    REQUIRE_MESSAGE(Sim.violation().empty(), Sim.violation());
    Sim.clearDemand();
    Sim.changeCap(Outbound, LinkSimulation::CapMbit);
    Sim.demand(0, Outbound, Cap * 2);
    // Pauses last up to 14 s and entries of dead hosts up to 10.1 s.
    Sim.run(seconds(28));
    CHECK(usedShare(Sim, Outbound) >= 0.85);
    REQUIRE_MESSAGE(Sim.violation().empty(), Sim.violation());
  });
}

// Guards against a cap that is respected only because little of it can be used.
TEST_CASE("one host, one region or all hosts can use the cap") {
  struct Case {
    std::string Name;
    std::vector<std::size_t> Busy;
    bool Down;
    double Least;
  };
  const double Floor = LinkFloorShare * 0.9 / 26;
  std::vector<std::size_t> All(26);
  for (std::size_t I = 0; I < All.size(); ++I)
    All[I] = I;
  const Case Cases[] = {
      {"one host", {0}, false, 0.85},
      {"one region", {0, 3, 6, 9, 12, 15, 18, 21, 24}, false, 0.85},
      {"all hosts", All, false, 0.9},
      {"one host, store down", {0}, true, Floor * 0.97},
      {"one region, store down", {0, 3, 6, 9}, true, 4 * Floor * 0.97},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    LinkSimulation Sim(7, {26, 26});
    Sim.table().Down = C.Down;
    for (const std::size_t Host : C.Busy)
      Sim.demand(Host, Outbound, Cap * 2);
    Sim.run(seconds(20));
    const double Used = usedShare(Sim, Outbound);
    MESSAGE(C.Name << ": " << Used << " of the cap");
    CHECK(Used >= C.Least);
    CHECK_MESSAGE(Sim.violation().empty(), Sim.violation());
  }
}

// Guards against checks that do not detect a fault.
TEST_CASE("link caps are broken when a mechanism is switched off") {
  struct Case {
    std::string Name;
    bool IgnoreLeaseEnd, IgnoreConditions, ReportLostAsCommitted;
  };
  const Case Cases[] = {
      {"lease end is ignored", true, false, false},
      {"writes are unconditional", false, true, false},
      {"lost writes are spent", false, false, true},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    bool Violated = false;
    for (std::uint64_t Seed = 1; Seed <= 10 && !Violated; ++Seed) {
      LinkSimulation::Options Options;
      Options.IgnoreLeaseEnd = C.IgnoreLeaseEnd;
      LinkSimulation Sim(Seed, Options);
      Sim.table().IgnoreConditions = C.IgnoreConditions;
      Sim.table().ReportLostAsCommitted = C.ReportLostAsCommitted;
      runRandom(Sim, Seed);
      Violated = !Sim.violation().empty();
    }
    CHECK(Violated);
  }
}

// Guards against traffic above the cap when a paused host sends bytes that it
// spent before its grant passed to others, while these use the full cap.
TEST_CASE("bytes that leave late fit under the cap") {
  LinkSimulation Sim(11, {});
  Sim.demand(0, Outbound, Cap);
  Sim.run(seconds(8));
  // The bucket fills up. A burst follows, during which the host is paused.
  Sim.demand(0, Outbound, 0);
  Sim.run(milliseconds(150));
  Sim.demand(0, Outbound, Cap * 20);
  Sim.pause(0, seconds(20));
  Sim.run(milliseconds(100));
  for (std::size_t Host = 1; Host < Sim.hostCount(); ++Host)
    Sim.demand(Host, Outbound, Cap);
  Sim.run(seconds(25));
  CHECK_MESSAGE(Sim.violation().empty(), Sim.violation());
}

// Guards against unbounded store calls after an outage or when all hosts start
// at once.
TEST_CASE("26 hosts over all pairs keep their store calls bounded") {
  LinkSimulation Sim(3, {26, 32});
  const auto AllBusy = [&] {
    for (std::size_t Host = 0; Host < 26; ++Host)
      for (const RegionPair &Pair : Sim.pairsOf(Host))
        Sim.demand(Host, Pair, Cap);
  };
  AllBusy();
  Sim.run(seconds(15));
  Sim.table().Down = true;
  Sim.run(seconds(20));
  Sim.table().Down = false;
  Sim.run(seconds(10));
  for (std::size_t Host = 0; Host < 26; ++Host)
    Sim.restart(Host, milliseconds(200));
  Sim.run(seconds(20));
  MESSAGE("peak " << Sim.table().peakWrites() << " writes/s and "
                  << Sim.table().peakReads() << " reads/s");
  CHECK(Sim.table().peakWrites() < 100);
  CHECK(Sim.table().peakReads() < 150);
  CHECK_MESSAGE(Sim.violation().empty(), Sim.violation());
}
