#include "masticgap/coordination/region_share/region_share.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <doctest/doctest.h>

#include <cmath>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
const RegionName LocalRegion("own");
const RegionName RemoteRegion("far");

RegionCapacity capacity(const RegionName &Region, unsigned Slots,
                        double Utilization, unsigned Hosts = 4) {
  return {Region, Slots, Utilization, Hosts};
}

//! Returns the share of many objects that the local region serves.
double servedLocally(const RegionShare &Share) {
  int Local = 0;
  constexpr int Objects = 4000;
  for (int I = 0; I < Objects; ++I)
    Local += Share.regionOf(mixHashes(7, I)) == LocalRegion;
  return static_cast<double>(Local) / Objects;
}

} // namespace

TEST_CASE(
    "the initial share follows the capacity and the hosts of the regions") {
  struct Case {
    const char *Name;
    std::vector<RegionCapacity> Capacities;
    double Expected;
  };
  const Case Cases[] = {
      {"enough capacity",
       {capacity(LocalRegion, 30, 0), capacity(RemoteRegion, 10, 0)},
       1},
      {"half of the needed capacity",
       {capacity(LocalRegion, 10, 0), capacity(RemoteRegion, 30, 0)},
       0.5},
      {"no other region", {capacity(LocalRegion, 10, 0)}, 1},
      {"no workers in the local region",
       {capacity(LocalRegion, 0, 0), capacity(RemoteRegion, 30, 0)},
       0},
      {"other regions without workers",
       {capacity(LocalRegion, 1, 0), capacity(RemoteRegion, 0, 0)},
       1},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    RegionShare Share(LocalRegion);
    Share.update(C.Capacities, Start);
    CHECK(servedLocally(Share) == doctest::Approx(C.Expected).epsilon(0.05));
  }
}

// Guards against a steering decision that moves a large part of a region's
// traffic at once. The specified cap is 0.15 from one window of 2 s to the
// next.
TEST_CASE("a share changes less than the cap under any load") {
  constexpr double Cap = 0.15;
  RegionShare Share(LocalRegion);
  Share.update(
      {capacity(LocalRegion, 20, 0.1), capacity(RemoteRegion, 20, 0.1)}, Start);
  double PreviousWindow = servedLocally(Share);
  for (int Tick = 1; Tick <= 200; ++Tick) {
    const Instant Now = Start + Tick * 500ms;
    const bool Full = (Tick / 40) % 2 == 0;
    Share.update({capacity(LocalRegion, 20, Full ? 3.0 : 0.1),
                  capacity(RemoteRegion, 20, Full ? 0.1 : 2.0)},
                 Now);
    if (Tick % 4 != 0)
      continue;
    const double Local = servedLocally(Share);
    CHECK(std::abs(Local - PreviousWindow) < Cap);
    PreviousWindow = Local;
  }
}

TEST_CASE("a region that is full sheds load and takes it back") {
  RegionShare Share(LocalRegion);
  Share.update(
      {capacity(LocalRegion, 20, 0.1), capacity(RemoteRegion, 20, 0.1)}, Start);
  for (int Tick = 1; Tick <= 20; ++Tick)
    Share.update(
        {capacity(LocalRegion, 20, 1.5), capacity(RemoteRegion, 20, 0.2)},
        Start + Tick * 500ms);
  CHECK(Share.ownShare() < 0.9);
  for (int Tick = 21; Tick <= 100; ++Tick)
    Share.update(
        {capacity(LocalRegion, 20, 0.2), capacity(RemoteRegion, 20, 0.2)},
        Start + Tick * 500ms);
  CHECK(Share.ownShare() == doctest::Approx(1));
  // Without capacity in other regions, no load is shed.
  for (int Tick = 101; Tick <= 120; ++Tick)
    Share.update(
        {capacity(LocalRegion, 20, 1.5), capacity(RemoteRegion, 20, 1.5)},
        Start + Tick * 500ms);
  CHECK(Share.ownShare() == doctest::Approx(1));
}

// Guards against a small region that calls back its objects all the time: each
// of them is served slowly at first, and gains nothing while the other regions
// have capacity.
TEST_CASE("a region takes back more than its share of the capacity slowly") {
  struct Case {
    const char *Name;
    double OtherUtilization;
    double MaxGain; //!< Of the share within 20 s.
    double MinGain;
  };
  const Case Cases[] = {
      {"others have capacity", 0.2, 0.06, 0.01},
      {"others are a bit busier", 0.5, 0.06, 0.01},
      {"others are full", 1.2, 1, 0.2},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    RegionShare Share(LocalRegion);
    const std::vector<RegionCapacity> Capacities{
        capacity(LocalRegion, 10, 0.3),
        capacity(RemoteRegion, 30, C.OtherUtilization)};
    Share.update(Capacities, Start);
    const double Initial = Share.ownShare();
    for (int Tick = 1; Tick <= 40; ++Tick)
      Share.update(Capacities, Start + Tick * 500ms);
    CHECK(Share.ownShare() - Initial <= C.MaxGain);
    CHECK(Share.ownShare() - Initial >= C.MinGain);
  }
}

TEST_CASE("repeated queries for an object return the same region") {
  RegionShare Share(LocalRegion);
  Share.update(
      {capacity(LocalRegion, 10, 0.5), capacity(RemoteRegion, 30, 0.5)}, Start);
  for (int I = 0; I < 100; ++I)
    CHECK(Share.regionOf(mixHashes(3, I)) == Share.regionOf(mixHashes(3, I)));
  CHECK_FALSE(RegionShare(LocalRegion).regionOf(1));
}
