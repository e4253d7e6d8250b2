#include "masticgap/coordination/region_share/region_share.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <algorithm>
#include <limits>

namespace masticgap::coordination {

namespace {

//! Salts, so that the two choices do not depend on each other.
constexpr std::uint64_t StaySalt = 0x5bd1e995;
constexpr std::uint64_t RegionSalt = 0x27d4eb2f;

double unitInterval(std::uint64_t Hash) {
  return static_cast<double>(Hash) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

double
RegionShare::initialShare(const std::vector<RegionCapacity> &Capacities) const {
  double Slots = 0;
  double Hosts = 0;
  double OwnSlots = 0;
  double OwnHosts = 0;
  for (const RegionCapacity &Each : Capacities) {
    Slots += Each.Slots;
    Hosts += Each.EntryHosts;
    if (Each.Region == LocalRegion) {
      OwnSlots = Each.Slots;
      OwnHosts = Each.EntryHosts;
    }
  }
  if (Slots <= 0 || Hosts <= 0 || OwnHosts <= 0)
    return 1;
  return std::min(1.0, (OwnSlots / Slots) / (OwnHosts / Hosts));
}

void RegionShare::update(const std::vector<RegionCapacity> &Capacities,
                         Instant Now) {
  const RegionCapacity *Here = nullptr;
  double OthersBusy = 0;
  double OthersSlots = 0;
  Others.clear();
  for (const RegionCapacity &Each : Capacities) {
    if (Each.Region == LocalRegion) {
      Here = &Each;
    } else if (Each.Slots > 0) {
      Others.push_back(Each);
      OthersBusy += Each.Utilization * Each.Slots;
      OthersSlots += Each.Slots;
    }
  }
  LocalHasWorkers = Here && Here->Slots > 0;
  if (!LocalHasWorkers)
    return;
  if (!UpdatedAt) {
    Share = initialShare(Capacities);
    UpdatedAt = Now;
    return;
  }
  const std::chrono::duration<double> Passed = Now - *UpdatedAt;
  UpdatedAt = Now;
  const double Step =
      Limits.StepPerSecond * std::clamp(Passed.count(), 0.0, 1.0);
  const double OtherLoad = OthersSlots > 0 ? OthersBusy / OthersSlots : 1;
  if (Here->Utilization > Limits.ShedAbove &&
      OtherLoad < Here->Utilization - 0.15)
    Share = std::max(0.0, Share - Step);
  else if (Here->Utilization < Limits.ReturnBelow ||
           OtherLoad > Here->Utilization)
    Share = std::min(1.0, Share + Step / 2);
}

std::optional<RegionName> RegionShare::regionOf(std::uint64_t Object) const {
  const double Place = unitInterval(mixHashes(Object, StaySalt));
  if (LocalHasWorkers && (Others.empty() || Place < Share))
    return LocalRegion;
  // Weighted rendezvous would move fewer objects; with two or three regions
  // the slots change much less often than the requests come.
  double Total = 0;
  for (const RegionCapacity &Each : Others)
    Total += Each.Slots;
  double Left = unitInterval(mixHashes(Object, RegionSalt)) * Total;
  for (const RegionCapacity &Each : Others) {
    Left -= Each.Slots;
    if (Left <= 0)
      return Each.Region;
  }
  if (!Others.empty())
    return Others.back().Region;
  return std::nullopt;
}

} // namespace masticgap::coordination
