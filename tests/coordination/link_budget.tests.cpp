#include "masticgap/coordination/link_budget.hpp"

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
const RegionPair AtlSav{Atl, Sav};
constexpr Instant Start{std::chrono::hours(1)};
//! Cap of 80 Mbit/s, which is 10 MB/s. Each of 10 hosts has a floor of 100
//! kB/s.
constexpr std::uint32_t Mbit = 80;
constexpr double Cap = 10e6;

ConfigDocument config(std::uint64_t Version, std::uint32_t AtlSavMbit) {
  ConfigDocument C;
  C.Version = Version;
  C.Defaults.MaxEntryHosts = 10;
  C.Defaults.LinkCaps = {{Atl, Sav, AtlSavMbit}, {Sav, Atl, Mbit}};
  return C;
}

//! Returns a budget with a full window of tokens at Start.
LinkBudget filled(double GrantRate, Duration Lease) {
  LinkBudget B;
  const Instant Before = Start - milliseconds(200);
  B.apply(config(1, Mbit), Before);
  B.grant({AtlSav, GrantRate, Start + Lease, Cap}, Before);
  return B;
}

//! Returns how many bytes can be spent at one instant.
std::uint64_t drain(LinkBudget &B, Instant Now) {
  std::uint64_t Total = 0;
  while (const auto Bytes = B.spendUpTo(Atl, Sav, 1U << 30, Now))
    Total += Bytes;
  return Total;
}

} // namespace

// Guards against spends without tokens and against refusals despite tokens.
TEST_CASE("link budget: what can be drained at one instant") {
  struct Case {
    std::string Name;
    double GrantRate;
    Duration Lease;
    std::function<void(LinkBudget &)> Before;
    Duration At;
    double Least, Most;
  };
  const auto Nothing = [](LinkBudget &) {};
  const Case Cases[] = {
      {"floor only", 0, seconds(0), Nothing, Duration(0), 8.8e3, 9e3},
      {"grant in force", 1e6, seconds(9), Nothing, Duration(0), 105e3, 107e3},
      {"grant ended 1 ns ago", 1e6, milliseconds(50), Nothing, milliseconds(50),
       8.8e3, 9e3},
      {"grant ends in 1 ns", 1e6, milliseconds(50) + Duration(1), Nothing,
       milliseconds(50), 105e3, 107e3},
      {"resumed after a pause past the lease", 1e6, seconds(5), Nothing,
       seconds(20), 8.8e3, 9e3},
      {"a new grant does not fill the bucket", 0, seconds(0),
       [](LinkBudget &B) {
         B.grant({AtlSav, 1e6, Start + seconds(9), Cap}, Start);
       },
       Duration(0), 8.8e3, 9e3},
      {"half of the cap halves floor and grant", 1e6, seconds(9),
       [](LinkBudget &B) { B.apply(config(2, Mbit / 2), Start); }, Duration(0),
       52e3, 54e3},
      {"a row states half of the cap", 1e6, seconds(9),
       [](LinkBudget &B) {
         B.apply(LinkCapSeen{AtlSav, 2, Cap / 2}, Start);
       },
       Duration(0), 52e3, 54e3},
      {"a row states an older cap", 1e6, seconds(9),
       [](LinkBudget &B) {
         B.apply(LinkCapSeen{AtlSav, 1, Cap / 2}, Start);
       },
       Duration(0), 105e3, 107e3},
      {"an older configuration is ignored", 1e6, seconds(9),
       [](LinkBudget &B) { B.apply(config(0, Mbit / 2), Start); }, Duration(0),
       105e3, 107e3},
      {"a raised cap does not raise the grant", 1e6, seconds(9),
       [](LinkBudget &B) { B.apply(config(2, Mbit * 2), Start); }, Duration(0),
       105e3, 107e3},
      {"spent within the window", 1e6, seconds(9),
       [](LinkBudget &B) { drain(B, Start); }, milliseconds(99), 0, 2e3},
      {"spent before the window", 1e6, seconds(9),
       [](LinkBudget &B) { drain(B, Start); }, milliseconds(101), 105e3, 107e3},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    LinkBudget B = filled(C.GrantRate, C.Lease);
    C.Before(B);
    const auto Bytes = static_cast<double>(drain(B, Start + C.At));
    CHECK(Bytes >= C.Least);
    CHECK(Bytes <= C.Most);
  }
}

// Guards against a reader that waits too briefly, too long or forever.
TEST_CASE("link budget: timeUntil names the time at which a spend succeeds") {
  for (const std::uint64_t Bytes : {1U, 500U, 1500U}) {
    CAPTURE(Bytes);
    LinkBudget B = filled(1e6, seconds(9));
    CHECK(B.timeUntil(Atl, Sav, Bytes, Start) == Duration(0));
    drain(B, Start);
    const auto Wait = B.timeUntil(Atl, Sav, Bytes, Start);
    REQUIRE(Wait);
    CHECK(*Wait > Duration(0));
    LinkBudget Early = B;
    CHECK_FALSE(
        Early.trySpend(Atl, Sav, Bytes, Start + *Wait - milliseconds(1)));
    CHECK(B.trySpend(Atl, Sav, Bytes, Start + *Wait));
  }
  LinkBudget B = filled(1e6, seconds(9));
  const auto Largest = B.largestSpend(Atl, Sav, Start);
  CHECK(B.timeUntil(Atl, Sav, Largest + 1, Start) == std::nullopt);
  CHECK_FALSE(B.trySpend(Atl, Sav, Largest + 1, Start));
}

// Guards against answers that are charged to the wrong direction, twice or not
// at all, and against answers that block one another.
TEST_CASE("link budget: answers are reserved in the reverse direction") {
  LinkBudget B = filled(0, seconds(0));
  // Requests from sav to atl are answered from atl to sav.
  const auto R = B.reserveAnswer(Sav, Atl, 4000, Start);
  REQUIRE(R);
  CHECK(R->Pair == AtlSav);
  CHECK_FALSE(B.reserveAnswer(Sav, Atl, 4000, Start));
  CHECK(B.settle(*R, 1000, Start) == 0);
  const auto Left = drain(B, Start);
  CHECK(Left >= 7.8e3);
  CHECK(Left <= 8e3);
  SUBCASE("an answer above its reservation leaves the rest to spend") {
    const auto Later = Start + milliseconds(150);
    const auto Short = B.reserveAnswer(Sav, Atl, 100, Later);
    REQUIRE(Short);
    CHECK(B.settle(*Short, 700, Later) == 600);
  }
  SUBCASE("an outstanding answer counts after the window") {
    LinkBudget Fresh = filled(0, seconds(0));
    REQUIRE(Fresh.reserveAnswer(Sav, Atl, 4000, Start));
    CHECK(drain(Fresh, Start + seconds(3)) < 5000);
  }
}

// Guards against limits on traffic without a configured cap.
TEST_CASE("link budget: pairs without a cap are not limited") {
  LinkBudget B = filled(0, seconds(0));
  for (const auto &[From, To] : {RegionPair{Atl, Atl}, RegionPair{Atl, Mcn}}) {
    CHECK(B.trySpend(From, To, 1U << 30, Start));
    CHECK(B.largestSpend(From, To, Start) ==
          std::numeric_limits<std::uint64_t>::max());
    CHECK(B.timeUntil(From, To, 1U << 30, Start) == Duration(0));
    CHECK(B.reserveAnswer(From, To, 1U << 30, Start));
  }
}

// Guards against grants that are requested without need or not requested when
// needed.
TEST_CASE("link budget: demand counts spent bytes and refusals") {
  LinkBudget B = filled(1e6, seconds(9));
  B.takeDemand(Start);
  CHECK(B.trySpend(Atl, Sav, 1000, Start));
  const auto First = B.takeDemand(Start + seconds(1));
  REQUIRE(First.size() == 2);
  CHECK(First[0] == LinkDemand{AtlSav, 1000, false});
  drain(B, Start + seconds(1));
  CHECK(B.takeDemand(Start + seconds(2))[0].Limited);
  CHECK_FALSE(B.takeDemand(Start + seconds(3))[0].Limited);
}
