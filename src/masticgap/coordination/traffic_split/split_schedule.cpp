#include "masticgap/coordination/traffic_split/split_schedule.hpp"

#include <xxhash.h>

#include <algorithm>

namespace masticgap::coordination {

const ServiceName &SplitSchedule::next(const Route &MatchedRoute) {
  if (MatchedRoute.Parts.size() == 1)
    return MatchedRoute.Parts.front().Service;
  return MatchedRoute.Parts[advance(Rotations[MatchedRoute.Name], MatchedRoute)]
      .Service;
}

const ServiceName &SplitSchedule::peek(const Route &MatchedRoute) const {
  if (MatchedRoute.Parts.size() == 1)
    return MatchedRoute.Parts.front().Service;
  const auto Known = Rotations.find(MatchedRoute.Name);
  Rotation Copy = Known == Rotations.end() ? Rotation() : Known->second;
  return MatchedRoute.Parts[advance(Copy, MatchedRoute)].Service;
}

std::size_t SplitSchedule::advance(Rotation &State,
                                   const Route &MatchedRoute) const {
  double Total = 0;
  for (const SplitPart &Part : MatchedRoute.Parts)
    Total += Part.Weight;
  if (State.Parts != MatchedRoute.Parts) {
    State = {MatchedRoute.Parts,
             std::vector<double>(MatchedRoute.Parts.size(), 0)};
    // Initial credits between -Total / 2 and Total / 2 make hosts begin with
    // different parts. All parts after the eighth begin with -Total / 2.
    std::uint64_t Hash = XXH3_64bits_withSeed(MatchedRoute.Name.data(),
                                              MatchedRoute.Name.size(), Seed);
    for (std::size_t I = 0; I < MatchedRoute.Parts.size(); ++I, Hash >>= 8)
      State.Credit[I] =
          Total * static_cast<double>(Hash & 0xff) / 256.0 - Total / 2;
  }
  std::size_t Best = 0;
  bool HasBest = false;
  for (std::size_t I = 0; I < MatchedRoute.Parts.size(); ++I) {
    State.Credit[I] += MatchedRoute.Parts[I].Weight;
    // A part of weight 0 gets no requests, whatever its initial credit is.
    if (MatchedRoute.Parts[I].Weight > 0 &&
        (!HasBest || State.Credit[I] > State.Credit[Best])) {
      Best = I;
      HasBest = true;
    }
  }
  State.Credit[Best] -= Total;
  return Best;
}

} // namespace masticgap::coordination
