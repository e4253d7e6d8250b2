#include "masticgap/coordination/region_share/region_share.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <algorithm>
#include <limits>

namespace masticgap::coordination {

namespace {

//! Salts that make the two choices independent of each other.
constexpr std::uint64_t LocalSalt = 0x5bd1e995;
constexpr std::uint64_t RegionSalt = 0x27d4eb2f;

double unitInterval(std::uint64_t Hash) {
  return static_cast<double>(Hash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

double RegionShare::capacityShare(
    const std::vector<RegionCapacity> &Capacities) const {
  double Slots = 0;
  double Hosts = 0;
  double LocalSlots = 0;
  double LocalHosts = 0;
  for (const RegionCapacity &Capacity : Capacities) {
    Slots += Capacity.Slots;
    Hosts += Capacity.EntryHosts;
    if (Capacity.Region == LocalRegion) {
      LocalSlots = Capacity.Slots;
      LocalHosts = Capacity.EntryHosts;
    }
  }
  if (Slots <= 0 || Hosts <= 0 || LocalHosts <= 0)
    return 1;
  return std::min(1.0, (LocalSlots / Slots) / (LocalHosts / Hosts));
}

void RegionShare::update(const std::vector<RegionCapacity> &Capacities,
                         Instant Now) {
  const RegionCapacity *Local = nullptr;
  double OthersOccupancy = 0;
  double OthersSlots = 0;
  Others.clear();
  for (const RegionCapacity &Capacity : Capacities) {
    if (Capacity.Region == LocalRegion) {
      Local = &Capacity;
    } else if (Capacity.Slots > 0) {
      Others.push_back(Capacity);
      OthersOccupancy += Capacity.Utilization * Capacity.Slots;
      OthersSlots += Capacity.Slots;
    }
  }
  LocalHasWorkers = Local && Local->Slots > 0;
  if (!LocalHasWorkers)
    return;
  if (!UpdatedAt) {
    Share = capacityShare(Capacities);
    UpdatedAt = Now;
    return;
  }
  const std::chrono::duration<double> Elapsed = Now - *UpdatedAt;
  UpdatedAt = Now;
  // A late update changes the share by at most the step of one second.
  const double Step =
      Limits.StepPerSecond * std::clamp(Elapsed.count(), 0.0, 1.0);
  const double OtherLoad = OthersSlots > 0 ? OthersOccupancy / OthersSlots : 1;
  if (Local->Utilization > Limits.ShedAbove &&
      OtherLoad < Local->Utilization - 0.15)
    Share = std::max(0.0, Share - Step);
  else if (Local->Utilization < Limits.ReturnBelow ||
           OtherLoad > Local->Utilization) {
    const bool InExcess =
        Share >= capacityShare(Capacities) && OtherLoad <= Limits.ShedAbove;
    Share = std::min(
        1.0, Share + (InExcess ? Step * Limits.ExcessReturnPace : Step / 2));
  }
}

std::optional<RegionName> RegionShare::regionOf(std::uint64_t Object) const {
  const double Position = unitInterval(mixHashes(Object, LocalSalt));
  if (LocalHasWorkers && (Others.empty() || Position < Share))
    return LocalRegion;
  // Chooses among the regions in proportion to their slots. Weighted rendezvous
  // hashing would move fewer objects when slots change, but with two or three
  // regions they change much less often than requests arrive.
  double Total = 0;
  for (const RegionCapacity &Capacity : Others)
    Total += Capacity.Slots;
  double Remaining = unitInterval(mixHashes(Object, RegionSalt)) * Total;
  for (const RegionCapacity &Capacity : Others) {
    Remaining -= Capacity.Slots;
    if (Remaining <= 0)
      return Capacity.Region;
  }
  if (!Others.empty())
    return Others.back().Region;
  return std::nullopt;
}

} // namespace masticgap::coordination
