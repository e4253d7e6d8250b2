#include "masticgap/coordination/config_reader_choice.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;

TEST_CASE("each domain has one live reader, which changes only when it dies") {
  std::vector<LiveHost> Live;
  for (int I = 0; I < 60; ++I)
    Live.push_back({HostId("h" + std::to_string(I)),
                    FailureDomainName("d" + std::to_string(I % 6))});
  std::map<std::string, HostId> Readers;
  for (int I = 0; I < 6; ++I) {
    const FailureDomainName Domain("d" + std::to_string(I));
    Readers[Domain.value()] = chooseConfigReader(Live, Domain).value();
  }
  for (std::size_t Dead = 0; Dead < Live.size(); ++Dead) {
    std::vector<LiveHost> Rest = Live;
    Rest.erase(Rest.begin() + static_cast<std::ptrdiff_t>(Dead));
    for (const auto &[Domain, Reader] : Readers) {
      const auto Chosen =
          chooseConfigReader(Rest, FailureDomainName(Domain)).value();
      CHECK((Chosen == Reader) == (Live[Dead].Id != Reader));
    }
  }
  CHECK_FALSE(chooseConfigReader(Live, FailureDomainName("none")).has_value());
}
