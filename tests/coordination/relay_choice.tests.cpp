#include "masticgap/coordination/relay_choice.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace masticgap;
using namespace masticgap::coordination;

// Guards against one host that relays the messages of all others.
TEST_CASE("relays are chosen in proportion to the processors of their hosts") {
  constexpr std::size_t Hosts = 26;
  constexpr std::uint8_t LargeClass = 3;
  constexpr double LargeWeight = 8;
  constexpr std::uint64_t Messages = 40'000;
  const FailureDomainName Domain("a");
  std::vector<MemberRecord> Members(Hosts);
  for (std::size_t I = 0; I < Hosts; ++I) {
    Members[I].Host.Id = HostId("front-" + std::to_string(I));
    Members[I].Host.Domain = Domain;
    Members[I].SizeClass = I < 2 ? LargeClass : 0;
  }
  Members[5].Status = MemberStatus::Suspect;
  Members[6].Status = MemberStatus::Dead;
  Members[7].Host.Domain = FailureDomainName("b");
  const HostId Sender = Members[8].Host.Id;
  std::map<HostId, std::uint64_t> Chosen;
  for (std::uint64_t Message = 0; Message < Messages; ++Message) {
    const auto Order = relayOrder(Members, Domain, Sender, Message);
    REQUIRE(Order.size() == Hosts - 3);
    CHECK(Order.back() == Members[5].Host.Id);
    ++Chosen[Order.front()];
  }
  CHECK(Chosen.size() == Hosts - 4);
  const double Unit = Messages / (2 * LargeWeight + (Hosts - 6));
  for (std::size_t I = 0; I < Hosts; ++I)
    if (const auto Position = Chosen.find(Members[I].Host.Id);
        Position != Chosen.end()) {
      const double Expected = Unit * (I < 2 ? LargeWeight : 1);
      CHECK(static_cast<double>(Position->second) ==
            doctest::Approx(Expected).epsilon(0.2));
    }
}
