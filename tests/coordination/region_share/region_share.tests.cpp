#include "masticgap/coordination/region_share/region_share.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <doctest/doctest.h>

#include <cmath>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
const RegionName Own("own");
const RegionName Far("far");

RegionCapacity room(const RegionName &Region, unsigned Slots,
                    double Utilization, unsigned Hosts = 4) {
  return {Region, Slots, Utilization, Hosts};
}

//! Share of many objects that the own region serves.
double servedHere(const RegionShare &Share) {
  int Here = 0;
  constexpr int Objects = 4000;
  for (int I = 0; I < Objects; ++I)
    Here += Share.regionOf(mixHashes(7, I)) == Own;
  return static_cast<double>(Here) / Objects;
}

} // namespace

TEST_CASE("the first share follows the room and the hosts of the regions") {
  struct Case {
    const char *Name;
    std::vector<RegionCapacity> Capacities;
    double Expected;
  };
  const Case Cases[] = {
      {"enough room", {room(Own, 30, 0), room(Far, 10, 0)}, 1},
      {"half of what is needed", {room(Own, 10, 0), room(Far, 30, 0)}, 0.5},
      {"no other region", {room(Own, 10, 0)}, 1},
      {"no workers here", {room(Own, 0, 0), room(Far, 30, 0)}, 0},
      {"other regions without workers", {room(Own, 1, 0), room(Far, 0, 0)}, 1},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    RegionShare Share(Own);
    Share.update(C.Capacities, Start);
    CHECK(servedHere(Share) == doctest::Approx(C.Expected).epsilon(0.05));
  }
}

// Guards against a steering decision that moves a large part of a region's
// traffic at once. The stated cap is 0.15 from one window of 2 s to the next.
TEST_CASE("a share moves less than the cap, whatever the load does") {
  constexpr double Cap = 0.15;
  RegionShare Share(Own);
  Share.update({room(Own, 20, 0.1), room(Far, 20, 0.1)}, Start);
  double Window = servedHere(Share);
  for (int Tick = 1; Tick <= 200; ++Tick) {
    const Instant Now = Start + Tick * 500ms;
    const bool Full = (Tick / 40) % 2 == 0;
    Share.update(
        {room(Own, 20, Full ? 3.0 : 0.1), room(Far, 20, Full ? 0.1 : 2.0)},
        Now);
    if (Tick % 4 != 0)
      continue;
    const double Here = servedHere(Share);
    CHECK(std::abs(Here - Window) < Cap);
    Window = Here;
  }
}

TEST_CASE("a region that is full sheds load and takes it back") {
  RegionShare Share(Own);
  Share.update({room(Own, 20, 0.1), room(Far, 20, 0.1)}, Start);
  for (int Tick = 1; Tick <= 20; ++Tick)
    Share.update({room(Own, 20, 1.5), room(Far, 20, 0.2)},
                 Start + Tick * 500ms);
  CHECK(Share.ownShare() < 0.9);
  for (int Tick = 21; Tick <= 100; ++Tick)
    Share.update({room(Own, 20, 0.2), room(Far, 20, 0.2)},
                 Start + Tick * 500ms);
  CHECK(Share.ownShare() == doctest::Approx(1));
  // Without room elsewhere nothing is shed.
  for (int Tick = 101; Tick <= 120; ++Tick)
    Share.update({room(Own, 20, 1.5), room(Far, 20, 1.5)},
                 Start + Tick * 500ms);
  CHECK(Share.ownShare() == doctest::Approx(1));
}

TEST_CASE("an object keeps its region while the share stays") {
  RegionShare Share(Own);
  Share.update({room(Own, 10, 0.5), room(Far, 30, 0.5)}, Start);
  for (int I = 0; I < 100; ++I)
    CHECK(Share.regionOf(mixHashes(3, I)) == Share.regionOf(mixHashes(3, I)));
  CHECK_FALSE(RegionShare(Own).regionOf(1));
}
