#include "masticgap/coordination/config_reader_choice.hpp"

#include <xxhash.h>

#include <cstdint>

namespace masticgap::coordination {

std::optional<HostId> chooseConfigReader(std::span<const LiveHost> Live,
                                         const FailureDomainName &Domain) {
  const std::string &Name = Domain.value();
  const std::uint64_t Seed = XXH64(Name.data(), Name.size(), 0);
  const LiveHost *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const LiveHost &Host : Live) {
    if (Host.Domain != Domain)
      continue;
    const std::string &Id = Host.Id.value();
    const std::uint64_t Score = XXH64(Id.data(), Id.size(), Seed);
    const bool Higher = !Best || Score > BestScore ||
                        (Score == BestScore && Host.Id > Best->Id);
    if (!Higher)
      continue;
    Best = &Host;
    BestScore = Score;
  }
  if (!Best)
    return std::nullopt;
  return Best->Id;
}

} // namespace masticgap::coordination
