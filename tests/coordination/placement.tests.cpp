#include "masticgap/coordination/placement.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <limits>

using namespace masticgap;
using namespace masticgap::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RegionName Atl("atl");
const RegionName Sav("sav");
const RegionName Mcn("mcn");
const ServiceName Drumtrack("drumtrack");
constexpr RegionLoad Idle{40, 0, 1, 20};
constexpr RegionLoad Busy{40, 39, 1, 20};
constexpr RegionLoad Full{40, 40, 1, 20};
constexpr RegionLoad Gone{0, 0, 0, 0};

ConfigException exception(ExceptionKind Kind, const std::string &Subject,
                          std::optional<double> Value = {}) {
  ConfigException E;
  E.Kind = Kind;
  E.Subject = Subject;
  E.Value = Value;
  return E;
}

//! One host in atl among others, with reports every 100 ms.
class Fixture {
public:
  explicit Fixture(unsigned OtherHosts = 0) {
    ConfigDocument C;
    C.Version = 1;
    C.Defaults.SpillOrder[Atl] = {Sav, Mcn};
    Config = C;
    P.apply(Config);
    std::vector<EntryHostDescriptor> Hosts(OtherHosts);
    for (std::size_t I = 0; I < Hosts.size(); ++I) {
      Hosts[I].Id = HostId("host-" + std::to_string(I));
      Hosts[I].Region = Atl;
    }
    P.entryHosts(Hosts, Now);
  }
  void except(const ConfigException &E) {
    ++Config.Version;
    Config.Exceptions.push_back(E);
    P.apply(Config);
  }
  void run(Duration For) {
    for (const Instant End = Now + For; Now < End; Now += milliseconds(100)) {
      for (const auto &[Region, Load] : Loads)
        P.observe(Drumtrack, Region, Load, Now);
      P.tick(Now);
    }
  }
  double weight(const RegionName &Region) const {
    for (const RegionWeight &W : P.weights())
      if (W.Region == Region)
        return W.Weight;
    return 0;
  }
  //! Returns how many requests are dispatched to a region until it has no
  //! capacity.
  unsigned fill(const RegionName &Region) {
    unsigned Count = 0;
    for (int I = 0; I < 1000; ++I)
      if (P.choose(Drumtrack, Random, Now) == PlacementChoice(Region)) {
        P.started(Drumtrack, Region, Now);
        ++Count;
      }
    return Count;
  }

  Instant Now{std::chrono::hours(1)};
  std::mt19937_64 Random{1};
  ConfigDocument Config;
  Placement P{HostId("self"), Atl};
  std::map<RegionName, RegionLoad> Loads{{Atl, Idle}, {Sav, Idle}, {Mcn, Idle}};
};

} // namespace

// Guards against weights that change without need, too far or not at all.
TEST_CASE("placement: weights after a minute") {
  struct Case {
    std::string Name;
    RegionLoad AtHome, InSav;
    std::vector<ConfigException> Exceptions;
    double ToSav, ToMcn;
  };
  const auto Avoid = ExceptionKind::AvoidRegion;
  const auto Cap = ExceptionKind::ShiftCap;
  const Case Cases[] = {
      {"home below its target", Idle, Idle, {}, 0, 0},
      {"home stays above its target", Busy, Idle, {}, 0.5, 0},
      {"home is dead", Gone, Idle, {}, 0.5, 0},
      {"home is dead and sav is full", Gone, Full, {}, 0, 0.5},
      {"home is dead and sav too", Gone, Gone, {}, 0, 0.5},
      {"home is avoided", Idle, Idle, {exception(Avoid, "atl")}, 0.5, 0},
      {"sav is avoided", Gone, Idle, {exception(Avoid, "sav")}, 0, 0.5},
      {"service has a cap",
       Gone,
       Idle,
       {exception(Cap, "drumtrack", 0.2)},
       0.2,
       0},
      {"home region has a cap", Gone, Idle, {exception(Cap, "atl", 1)}, 1, 0},
      {"sav has a cap", Gone, Idle, {exception(Cap, "sav", 0.1)}, 0.1, 0.4},
      {"another service has a cap",
       Gone,
       Idle,
       {exception(Cap, "certline", 0.2)},
       0.5,
       0},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    Fixture F;
    for (const ConfigException &E : C.Exceptions)
      F.except(E);
    F.Loads[Atl] = C.AtHome;
    F.Loads[Sav] = C.InSav;
    F.run(seconds(60));
    CHECK(F.weight(Sav) == doctest::Approx(C.ToSav));
    CHECK(F.weight(Mcn) == doctest::Approx(C.ToMcn));
  }
}

// Guards against a shift that is faster than its cap: at a start, after a late
// tick or when weights decrease.
TEST_CASE("placement: weights move at the configured speed") {
  Fixture F;
  F.Loads[Atl] = Gone;
  F.run(seconds(2));
  CHECK(F.weight(Sav) <= 0.1 + 1e-9);
  const double Before = F.weight(Sav);
  F.Now += seconds(4);
  F.run(milliseconds(100));
  CHECK(F.weight(Sav) <= Before + 0.05 + 1e-9);
  F.run(seconds(60));
  F.Loads[Atl] = Idle;
  F.run(seconds(2));
  CHECK(F.weight(Sav) >= 0.4 - 1e-9);
}

// Guards against requests above this host's share of proved free slots.
TEST_CASE("placement: requests are limited to the share of free slots") {
  struct Case {
    std::string Name;
    unsigned OtherHosts;
    RegionLoad InSav;
    std::function<void(Fixture &)> Before;
    unsigned Least, Most;
  };
  const auto Nothing = [](Fixture &) {};
  const Case Cases[] = {
      // Half of the 36 free slots above the reserve of 4.
      {"alone", 0, Idle, Nothing, 17, 18},
      {"among nine others", 9, Idle, Nothing, 1, 2},
      {"half of the reports are fresh", 0, {40, 0, 0.5, 20}, Nothing, 7, 8},
      {"few slots are free", 0, {40, 36, 1, 20}, Nothing, 0, 0},
      {"refused as full", 0, Idle,
       [](Fixture &F) { F.P.refusedFull(Drumtrack, Sav, F.Now); }, 0, 0},
      {"reports are 2.5 s old", 0, Idle,
       [](Fixture &F) { F.Now += milliseconds(2400); }, 7, 9},
      {"reports are 5 s old", 0, Idle, [](Fixture &F) { F.Now += seconds(5); },
       0, 0},
      {"sav is back since 5 s", 0, Idle,
       [](Fixture &F) {
         F.Loads[Sav] = Gone;
         F.run(seconds(1));
         F.Loads[Sav] = Idle;
         F.run(seconds(5));
       },
       7, 8},
      {"a report without fresh slots changes nothing", 0, Idle,
       [](Fixture &F) {
         F.P.observe(Drumtrack, Sav, {40, 0, 0, 20}, F.Now);
       },
       17, 18},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    Fixture F(C.OtherHosts);
    F.Loads = {{Atl, Busy}, {Sav, C.InSav}};
    F.run(seconds(30));
    // The weights are set by the test, so that only the headroom limits.
    const std::vector<RegionWeight> Peer{{Drumtrack, Sav, 0.4}};
    F.P.startFrom(std::span(&Peer, 1), F.Now);
    C.Before(F);
    F.P.startFrom(std::span(&Peer, 1), F.Now);
    const unsigned Filled = F.fill(Sav);
    CHECK(Filled >= C.Least);
    CHECK(Filled <= C.Most);
  }
}

// Guards against rounded shares of the hosts that add up to more than the
// total.
TEST_CASE("placement: ranked shares add up to at most the total") {
  for (unsigned Hosts = 1; Hosts < 40; ++Hosts)
    for (unsigned Total = 0; Total < 100; ++Total) {
      unsigned Sum = 0;
      // Hosts can see different totals; the largest one bounds the sum.
      for (unsigned Rank = 0; Rank < Hosts; ++Rank)
        Sum += internal::rankedShare(Total - (Rank % 3 ? Total / 7 : 0),
                                     {Rank, Hosts});
      CAPTURE(Hosts);
      CAPTURE(Total);
      CHECK(Sum <= Total);
    }
}

// Guards against requests that wait in a region that cannot run them, and
// against refusals while capacity is available.
TEST_CASE("placement: what is chosen when home takes no weight away") {
  struct Case {
    std::string Name;
    RegionLoad AtHome, InSav, InMcn;
    PlacementChoice Expected;
  };
  const Case Cases[] = {
      {"home has room", Idle, Full, Full, Atl},
      {"home is full, sav has room", Full, Idle, Full, Atl},
      {"all regions are full", Full, Full, Full, Shed{}},
      {"home is full, others are gone", Full, Gone, Gone, Shed{}},
      {"home is dead", Gone, Idle, Idle, Shed{}},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    Fixture F;
    F.except(exception(ExceptionKind::ShiftCap, "drumtrack", 0));
    F.Loads = {{Atl, C.AtHome}, {Sav, C.InSav}, {Mcn, C.InMcn}};
    F.run(seconds(15));
    CHECK(F.P.choose(Drumtrack, F.Random, F.Now) == C.Expected);
  }
  SUBCASE("nothing is known") {
    Placement P(HostId("self"), Atl);
    std::mt19937_64 Random(1);
    CHECK(P.choose(Drumtrack, Random, Instant(seconds(1))) ==
          PlacementChoice(Atl));
  }
}

// Guards against weight changes without reports.
TEST_CASE("placement: weights freeze without reports of the home region and "
          "decay without reports of the other") {
  Fixture F;
  F.Loads = {{Atl, Busy}, {Sav, Idle}};
  F.run(seconds(5));
  const double Before = F.weight(Sav);
  REQUIRE(Before > 0.1);
  F.Loads = {{Sav, Idle}};
  F.run(seconds(60));
  const double Frozen = F.weight(Sav);
  CHECK(Frozen <= 0.5);
  F.run(seconds(10));
  CHECK(F.weight(Sav) == Frozen);
  F.Loads.clear();
  F.run(seconds(60));
  CHECK(F.weight(Sav) == 0);
}

// Guards against a restarted host that shifts traffic at once.
TEST_CASE("placement: start weights are the median of the peers") {
  struct Case {
    std::string Name;
    std::vector<double> Peers;
    double Expected;
  };
  const Case Cases[] = {
      {"no peers: home only", {}, 0},
      {"one peer", {0.2}, 0.2},
      {"the median ignores one outlier", {0.1, 0.2, 1}, 0.2},
      {"the lower of two", {0.1, 0.3}, 0.1},
      {"above the cap", {0.9, 0.9, 0.9}, 0.5},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    Fixture F;
    std::vector<std::vector<RegionWeight>> Peers;
    for (const double Weight : C.Peers)
      Peers.push_back({{Drumtrack, Sav, Weight}, {Drumtrack, Atl, 1 - Weight}});
    F.P.startFrom(Peers, F.Now);
    CHECK(F.weight(Sav) == doctest::Approx(C.Expected));
  }
}

// Guards against a restarted host that uses all the headroom of a region
// because the region was known from its peers' weights before any report.
TEST_CASE("placement: a restarted host takes its share of the headroom only") {
  constexpr unsigned OtherHosts = 9;
  Fixture F(OtherHosts);
  const std::vector<RegionWeight> Peer{{Drumtrack, Sav, 0.5},
                                       {Drumtrack, Atl, 0.5}};
  F.P.startFrom(std::span(&Peer, 1), F.Now);
  F.P.tick(F.Now);
  F.Loads = {{Atl, Full}, {Sav, Idle}};
  F.run(seconds(15));
  CHECK(F.fill(Sav) <= Idle.Slots / (OtherHosts + 1));
}

// Guards against a domain that is avoided for the wrong service.
TEST_CASE("placement: avoided failure domains") {
  Fixture F;
  ConfigException E = exception(ExceptionKind::AvoidDomain, "sav-a");
  E.Service = Drumtrack;
  F.except(E);
  CHECK(F.P.avoids(Drumtrack, FailureDomainName("sav-a")));
  CHECK_FALSE(F.P.avoids(Drumtrack, FailureDomainName("sav-b")));
  CHECK_FALSE(F.P.avoids(ServiceName("certline"), FailureDomainName("sav-a")));
}
