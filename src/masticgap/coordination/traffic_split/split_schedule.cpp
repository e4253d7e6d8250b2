#include "masticgap/coordination/traffic_split/split_schedule.hpp"

#include <xxhash.h>

#include <algorithm>

namespace masticgap::coordination {

const ServiceName &SplitSchedule::next(const Route &Of) {
  if (Of.Parts.size() == 1)
    return Of.Parts.front().Service;
  Rotation &Present = Rotations[Of.Name];
  double Total = 0;
  for (const SplitPart &Each : Of.Parts)
    Total += Each.Weight;
  if (Present.Parts != Of.Parts) {
    Present = {Of.Parts, std::vector<double>(Of.Parts.size(), 0)};
    std::uint64_t Hash =
        XXH3_64bits_withSeed(Of.Name.data(), Of.Name.size(), Seed);
    for (std::size_t I = 0; I < Of.Parts.size(); ++I, Hash >>= 8)
      Present.Credit[I] =
          Total * static_cast<double>(Hash & 0xff) / 256.0 - Total / 2;
  }
  std::size_t Best = 0;
  bool Found = false;
  for (std::size_t I = 0; I < Of.Parts.size(); ++I) {
    Present.Credit[I] += Of.Parts[I].Weight;
    // A part without weight gets nothing, whatever credit it began with.
    if (Of.Parts[I].Weight > 0 &&
        (!Found || Present.Credit[I] > Present.Credit[Best])) {
      Best = I;
      Found = true;
    }
  }
  Present.Credit[Best] -= Total;
  return Of.Parts[Best].Service;
}

} // namespace masticgap::coordination
