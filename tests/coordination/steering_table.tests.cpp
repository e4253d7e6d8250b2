#include "masticgap/coordination/steering_table_builder.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace masticgap;
using namespace masticgap::coordination;

namespace {

const RegionName Luzon("luzon");
const RegionName Visayas("visayas");

ClientAddress address(std::string_view Text) {
  const auto A = parseClientAddress(Text);
  REQUIRE_MESSAGE(A, std::string(Text));
  return *A;
}

ClientBlock block(std::string_view Text) {
  const auto B = parseClientBlock(Text);
  REQUIRE_MESSAGE(B, std::string(Text));
  return *B;
}

SteeringTable build(const SteeringTableBuilder &Builder) {
  auto Table = Builder.build();
  REQUIRE(Table);
  return Table.value();
}

std::string siteOf(const SteeringTable &Table, const ClientAddress &A) {
  const Site *S = Table.find(A);
  return S == nullptr ? "" : S->Name;
}

SteeringHost host(const std::string &Id, const RegionName &Region,
                  double Weight = 1) {
  SteeringHost H;
  H.Host.Id = HostId(Id);
  H.Host.Region = Region;
  H.Weight = Weight;
  return H;
}

std::vector<SteeringHost> hosts(std::size_t Count) {
  std::vector<SteeringHost> Hosts;
  for (std::size_t I = 0; I < Count; ++I)
    Hosts.push_back(
        host("host-" + std::to_string(I), I % 2 == 0 ? Luzon : Visayas));
  return Hosts;
}

std::vector<std::string> ids(const SteeringTargets &Targets) {
  std::vector<std::string> Ids;
  for (const SteeringHost *H : Targets)
    Ids.push_back(H->Host.Id.value());
  return Ids;
}

ClientAddress caller(unsigned I) {
  ClientAddress A;
  A.Bytes = {10, static_cast<std::uint8_t>(I >> 8),
             static_cast<std::uint8_t>(I), 7};
  return A;
}

constexpr unsigned CallerCount = 2000;

} // namespace

// Guards against texts that are parsed as a different address or block.
TEST_CASE("client block: accepted and refused texts") {
  struct Case {
    const char *Text, *SameAs;
  };
  const Case Cases[] = {
      {"10.1.2.3/8", "10.0.0.0/8"},
      {"::ffff:10.0.0.0/8", "10.0.0.0/8"},
      {"2001:db8:0:ffff::/47", "2001:db8::/47"},
      {"10.0.0.0", nullptr},
      {"10.0.0.0/", nullptr},
      {"10.0.0.0/33", nullptr},
      {"10.0.0.0/8x", nullptr},
      {"10.0.0/8", nullptr},
      {"host/8", nullptr},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Text);
    const auto Parsed = parseClientBlock(C.Text);
    REQUIRE(Parsed.has_value() == (C.SameAs != nullptr));
    if (C.SameAs != nullptr)
      CHECK(*Parsed == block(C.SameAs));
  }
}

// Guards against a shorter block that hides a longer one, and the reverse.
TEST_CASE("steering table: the longest block wins") {
  const std::pair<const char *, const char *> Blocks[] = {
      {"10.0.0.0/8", "a"},         {"10.1.0.0/16", "b"},
      {"10.1.2.0/24", "c"},        {"10.1.2.128/25", "d"},
      {"10.1.2.255/32", "e"},      {"10.1.2.0/23", "f"},
      {"2001:db8::/32", "g"},      {"2001:db8::1/128", "h"},
      {"2001:db8:8000::/33", "i"},
  };
  SteeringTableBuilder Builder;
  for (const auto &[Text, Name] : Blocks)
    Builder.block(block(Text), Name).site({Name, Luzon});
  const SteeringTable Table = build(Builder);
  struct Case {
    const char *Address, *Expected;
  };
  const Case Cases[] = {
      {"10.9.9.9", "a"},        {"10.1.9.9", "b"},    {"10.1.2.3", "c"},
      {"10.1.3.3", "f"},        {"10.1.2.200", "d"},  {"10.1.2.255", "e"},
      {"11.0.0.0", ""},         {"2001:db8::2", "g"}, {"2001:db8::1", "h"},
      {"2001:db8:8001::", "i"}, {"2001:db9::", ""},   {"::", ""},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Address);
    CHECK(siteOf(Table, address(C.Address)) == C.Expected);
  }
  SUBCASE("the default block holds all addresses of its family") {
    const SteeringTable All =
        build(SteeringTableBuilder(Table).block(block("0.0.0.0/0"), "a"));
    CHECK(siteOf(All, address("11.0.0.0")) == "a");
    CHECK(siteOf(All, address("::")).empty());
  }
  SUBCASE("an unknown site is an error") {
    CHECK_FALSE(
        SteeringTableBuilder(Table).block(block("11.0.0.0/8"), "none").build());
  }
}

// Guards against incremental builds that corrupt the new or the old table.
TEST_CASE("steering table: random differences agree with a plain search") {
  std::mt19937_64 Random(5);
  std::map<ClientBlock, std::string> Model;
  SteeringTable Table;
  const auto RandomBlock = [&] {
    ClientBlock B;
    B.Prefix.V6 = Random() % 2 == 0;
    B.Length = static_cast<std::uint8_t>(Random() % (B.Prefix.bits() + 1));
    // Addresses differ in few bits, so that blocks often nest and coincide.
    for (unsigned Bit = 0; Bit < B.Length; ++Bit)
      if (Bit % 5 == 0 && Random() % 2 == 0)
        B.Prefix.Bytes[Bit / 8] |=
            static_cast<std::uint8_t>(0x80U >> (Bit % 8));
    return B;
  };
  const auto Search = [](const auto &Blocks, const ClientAddress &A) {
    std::pair<int, std::string> Best{-1, ""};
    for (const auto &[B, Name] : Blocks) {
      bool Holds = B.Prefix.V6 == A.V6;
      for (unsigned Bit = 0; Holds && Bit < B.Length; ++Bit)
        Holds = ((B.Prefix.Bytes[Bit / 8] ^ A.Bytes[Bit / 8]) >> (7 - Bit % 8) &
                 1) == 0;
      if (Holds && B.Length > Best.first)
        Best = {B.Length, Name};
    }
    return Best.second;
  };
  for (int Round = 0; Round < 150; ++Round) {
    const SteeringTable Before = Table;
    const auto ModelBefore = Model;
    SteeringTableBuilder Builder(Table);
    for (int I = 0; I < 6; ++I) {
      ClientBlock B = RandomBlock();
      if (Random() % 2 == 0 && !Model.empty()) {
        B = std::next(Model.begin(),
                      static_cast<std::ptrdiff_t>(Random() % Model.size()))
                ->first;
        Builder.removeBlock(B);
        Model.erase(B);
        continue;
      }
      const std::string Name = "site-" + std::to_string(Random() % 20);
      Builder.site({Name, Luzon}).block(B, Name);
      Model[B] = Name;
    }
    Builder.removeBlock(block("203.0.113.0/24"));
    Table = build(Builder);
    REQUIRE(Table.blockCount() == Model.size());
    for (int I = 0; I < 40; ++I) {
      const ClientAddress A = RandomBlock().Prefix;
      REQUIRE(siteOf(Table, A) == Search(Model, A));
      REQUIRE(siteOf(Before, A) == Search(ModelBefore, A));
    }
  }
}

// Guards against callers that are sent to another region without need, and
// against answers with too few or duplicate hosts.
TEST_CASE("steering table: choice of entry hosts") {
  struct Case {
    std::string Name;
    std::vector<SteeringHost> Hosts;
    std::size_t Count, InRegion;
  };
  const Case Cases[] = {
      {"no hosts", {}, 0, 0},
      {"one host elsewhere", {host("a", Visayas)}, 1, 0},
      {"one host in the region",
       {host("a", Visayas), host("b", Luzon), host("c", Visayas),
        host("d", Visayas)},
       3,
       1},
      {"enough hosts in the region", hosts(10), 3, 3},
      {"a host of weight 0", {host("a", Luzon, 0), host("b", Luzon)}, 1, 1},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const SteeringTable Table = build(SteeringTableBuilder()
                                          .site({"manila", Luzon})
                                          .block(block("10.0.0.0/8"), "manila")
                                          .hosts(C.Hosts));
    for (unsigned I = 0; I < 50; ++I) {
      const SteeringTargets Targets = Table.targets(caller(I), Visayas);
      REQUIRE(Targets.size() == C.Count);
      const auto Ids = ids(Targets);
      REQUIRE(std::set(Ids.begin(), Ids.end()).size() == C.Count);
      for (std::size_t Place = 0; Place < C.Count; ++Place)
        REQUIRE((Targets.Hosts[Place]->Host.Region == Luzon) ==
                (Place < C.InRegion));
    }
  }
}

// Guards against unequal load on equal hosts and against ignored weights.
TEST_CASE("steering table: callers spread by weight") {
  std::vector<SteeringHost> Hosts = hosts(8);
  Hosts[0].Weight = 3;
  const SteeringTable Table = build(SteeringTableBuilder().hosts(Hosts));
  std::map<std::string, unsigned> First;
  for (unsigned I = 0; I < CallerCount; ++I)
    ++First[ids(Table.targets(caller(I), Luzon))[0]];
  REQUIRE(First.size() == 4);
  // The host has 3 of 6 shares; each other host in luzon has one.
  CHECK(First["host-0"] == doctest::Approx(CallerCount / 2.0).epsilon(0.1));
  CHECK(First["host-2"] == doctest::Approx(CallerCount / 6.0).epsilon(0.2));
}

// Guards against a change of hosts that moves unaffected callers, or whose
// result differs from a full rebuild.
TEST_CASE("steering table: a difference of hosts moves only what it must") {
  struct Case {
    std::string Name;
    std::vector<SteeringHost> Hosts;
  };
  std::vector<SteeringHost> Less = hosts(20);
  Less.erase(Less.begin() + 4);
  std::vector<SteeringHost> Moved = hosts(20);
  Moved[3].Host.Region = Luzon;
  std::vector<SteeringHost> Heavier = hosts(20);
  Heavier[6].Weight = 2;
  std::vector<SteeringHost> Turned = hosts(20);
  std::reverse(Turned.begin(), Turned.end());
  const Case Cases[] = {
      {"one host left", Less},   {"two hosts joined", hosts(22)},
      {"one host moved", Moved}, {"one host is heavier", Heavier},
      {"other order", Turned},   {"few are left", hosts(2)},
  };
  const SteeringTable Before = build(SteeringTableBuilder().hosts(hosts(20)));
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const SteeringTable After =
        build(SteeringTableBuilder(Before).hosts(C.Hosts));
    const SteeringTable Fresh = build(SteeringTableBuilder().hosts(C.Hosts));
    unsigned Changed = 0;
    for (unsigned I = 0; I < CallerCount; ++I)
      for (const RegionName &Region : {Luzon, Visayas, RegionName("new")}) {
        const auto Now = ids(After.targets(caller(I), Region));
        REQUIRE(Now == ids(Fresh.targets(caller(I), Region)));
        Changed += Now[0] != ids(Before.targets(caller(I), Region))[0] ? 1 : 0;
      }
    // Small differences affect at most two of ten hosts of a region.
    if (C.Hosts.size() > 2)
      CHECK(Changed < 3 * CallerCount / 5);
  }
}
