#include "config_world.hpp"

#include <cstdlib>

using masticgap::coordination::tests::ConfigWorld;

namespace {

constexpr std::uint64_t SeedCount = 50;
constexpr int RoundsPerSeed = 5;
constexpr int StepsPerRound = 2000;

struct Totals {
  std::size_t Accepted = 0;
  std::size_t Races = 0;
  std::size_t FromPeers = 0;
};

Totals runSeed(std::uint64_t Seed) {
  ConfigWorld World(Seed);
  for (int Round = 0; Round < RoundsPerSeed; ++Round) {
    CAPTURE(Round);
    World.resume();
    for (int Step = 0; Step < StepsPerRound; ++Step)
      World.step();
    const bool StoreStaysDown = Round % 2 == 0;
    World.settle(StoreStaysDown);
    World.checkSettled(StoreStaysDown);
    if (StoreStaysDown || !World.anyDocument())
      continue;
    World.restoreAndRepublish();
    World.checkSettled(false);
  }
  return {World.Accepted, World.Races, World.FromPeers};
}

} // namespace

TEST_CASE("configuration under random faults never reverts and is never lost") {
  std::uint64_t First = 1;
  std::uint64_t Last = SeedCount;
  if (const char *FixedSeed = std::getenv("MASTICGAP_SEED"))
    First = Last = std::strtoull(FixedSeed, nullptr, 10);
  Totals Sum;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    INFO("repeat with: MASTICGAP_SEED=" << Seed
                                        << " build/tests/coordination-tests "
                                           "-tc='configuration under random*'");
    const Totals SeedTotals = runSeed(Seed);
    Sum.Accepted += SeedTotals.Accepted;
    Sum.Races += SeedTotals.Races;
    Sum.FromPeers += SeedTotals.FromPeers;
  }
  // The test is meaningful only if changes, races and fetches happened.
  CHECK(Sum.Accepted > 10 * (Last - First + 1));
  CHECK(Sum.Races > 0);
  CHECK(Sum.FromPeers > 0);
  MESSAGE("accepted " << Sum.Accepted << ", raced " << Sum.Races
                      << ", fetched from peers " << Sum.FromPeers);
}
