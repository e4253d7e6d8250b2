#include "masticgap/coordination/internal/placement_service.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace masticgap::coordination::internal {

namespace {

//! Differences below this share of the traffic cause no adjustment.
constexpr double DeadBand = 0.01;
//! A weight grows only while the part of it that is denied for lack of capacity
//! is at most this share of one second's shift. Hosts that may have two or
//! three requests in a region deny about a quarter of the choices by chance
//! alone. A weight is lowered when the denied part exceeds one second's shift.
constexpr double MaxDeniedForRaise = 0.8;
//! Longest time that one tick accounts for, so that a late tick shifts no more.
constexpr Duration MaxTick = std::chrono::seconds(1);

} // namespace

void PlacementService::startFrom(std::map<RegionName, double> Start,
                                 const PlacementLimits &Limits, Instant Now) {
  Weights = std::move(Start);
  Weights.erase(Home);
  for (auto &[Name, Weight] : Weights)
    if (const auto Cap = Limits.RegionCaps.find(Name);
        Cap != Limits.RegionCaps.end())
      Weight = std::min(Weight, Cap->second);
  if (const double Sum = total(); Sum > Limits.MaxShift)
    for (auto &[Name, Weight] : Weights)
      Weight *= Limits.MaxShift / Sum;
  LowestTotal.record(total(), Now);
  HighestTotal.record(total(), Now);
}

void PlacementService::tick(const PlacementLimits &Limits, Instant Now) {
  const Duration Passed =
      LastTick ? std::clamp(Now - *LastTick, Duration(0), MaxTick)
               : Duration(0);
  LastTick = Now;
  const double Step =
      Limits.MaxShiftPerSecond * std::chrono::duration<double>(Passed).count();
  double Left = Step - dropUnusable(Limits, Step, Now);
  const double Desired = desiredTotal(Limits, Now);
  if (Desired > total())
    raise(Limits, std::min(Left, Desired - total()), Now);
  else
    lower(Limits, std::min(Left, total() - Desired));
  LowestTotal.record(total(), Now);
  HighestTotal.record(total(), Now);
}

PlacementService::Choice PlacementService::choose(double Draw,
                                                  const PlacementLimits &Limits,
                                                  Instant Now) {
  if (Draw < total())
    if (const auto Remote = chooseRemote(Draw, Now))
      return {Pick::Remote, *Remote};
  // The share that leaves the home region never exceeds the weights, even when
  // the region is dead: the shift caps take precedence.
  const RegionHeadroom &HomeRegion = Regions[Home];
  if (HomeRegion.dead(Now) || (HomeRegion.full(Now) && !anyFree(Limits, Now)))
    return {Pick::Shed, Home};
  return {Pick::Home, Home};
}

// Chooses the region that the draw selects, or the next one with capacity, so
// that the total shift matches the weights.
std::optional<RegionName> PlacementService::chooseRemote(double Draw,
                                                         Instant Now) {
  std::vector<RegionName> Candidates;
  for (const auto &[Name, Weight] : Weights) {
    const bool Hit = Draw >= 0 && Draw < Weight;
    Draw -= Weight;
    if (Weight > 0)
      Candidates.insert(Hit ? Candidates.begin() : Candidates.end(), Name);
  }
  for (const RegionName &Name : Candidates) {
    RegionHeadroom &Region = Regions[Name];
    const bool Granted = !Region.dead(Now) && Region.hasCapacity(Now);
    Region.chosen(Granted);
    if (Granted)
      return Name;
  }
  return std::nullopt;
}

double PlacementService::total() const {
  double Sum = 0;
  for (const auto &[Name, Weight] : Weights)
    Sum += Weight;
  return Sum;
}

// The home region's load is a sum over hosts that are assumed to shift equally:
// demand = utilization / (1 - weight at the time of the report). That time lies
// anywhere within the report lifetime, so an increase is computed from the
// lowest weight in it and a decrease from the highest. Both errors are towards
// too little change, so late reports cause no oscillation.
double PlacementService::desiredTotal(const PlacementLimits &Limits,
                                      Instant Now) {
  const double Current = total();
  double Desired = Current;
  const RegionHeadroom &HomeRegion = Regions[Home];
  if (Limits.Avoided.contains(Home) || HomeRegion.dead(Now)) {
    Desired = 1;
  } else if (const auto Load = HomeRegion.utilization(Now)) {
    const double Keep = Limits.TargetUtilization / std::max(*Load, 1e-6);
    const double Raised = 1 - Keep * (1 - LowestTotal.extreme(Now));
    const double Lowered = 1 - Keep * (1 - HighestTotal.extreme(Now));
    if (Raised > Current + DeadBand)
      Desired = Raised;
    else if (Lowered < Current - DeadBand)
      Desired = Lowered;
  }
  return std::clamp(Desired, 0.0, Limits.MaxShift);
}

double PlacementService::dropUnusable(const PlacementLimits &Limits,
                                      double Step, Instant Now) {
  double Moved = 0;
  for (auto &[Name, Weight] : Weights) {
    RegionHeadroom &Region = Regions[Name];
    const auto Cap = Limits.RegionCaps.find(Name);
    const bool AboveCap =
        Cap != Limits.RegionCaps.end() && Weight > Cap->second;
    // A dead region gets no traffic in any case. Its share starts from zero
    // when it becomes available again.
    if (Region.dead(Now)) {
      Weight = 0;
    } else if (AboveCap || !usable(Name, Limits, Now) ||
               deniedWeight(Name) > Limits.MaxShiftPerSecond) {
      const double Part = std::min(Weight, Step - Moved);
      Weight -= Part;
      Moved += Part;
    }
  }
  return Moved;
}

double PlacementService::raise(const PlacementLimits &Limits, double Amount,
                               Instant Now) {
  double Moved = 0;
  for (const RegionName &Name : Limits.Order) {
    if (Name == Home || !usable(Name, Limits, Now))
      continue;
    const RegionHeadroom &Region = Regions[Name];
    if (deniedWeight(Name) > Limits.MaxShiftPerSecond * MaxDeniedForRaise ||
        !Region.hasCapacity(Now))
      continue;
    double &Weight = Weights[Name];
    double MaxWeight = 1;
    if (const auto Cap = Limits.RegionCaps.find(Name);
        Cap != Limits.RegionCaps.end())
      MaxWeight = Cap->second;
    const double Part = std::clamp(MaxWeight - Weight, 0.0, Amount - Moved);
    Weight += Part;
    Moved += Part;
  }
  return Moved;
}

void PlacementService::lower(const PlacementLimits &Limits, double Amount) {
  const auto Reduce = [&](double &Weight) {
    const double Part = std::min(Weight, Amount);
    Weight -= Part;
    Amount -= Part;
  };
  for (auto Name = Limits.Order.rbegin(); Name != Limits.Order.rend(); ++Name)
    if (const auto It = Weights.find(*Name); It != Weights.end())
      Reduce(It->second);
  for (auto &[Name, Weight] : Weights)
    Reduce(Weight);
}

// Returns the part of a weight that is denied for lack of capacity. All of it
// would shift at once when capacity becomes free, so tick() limits it to one
// second's shift.
double PlacementService::deniedWeight(const RegionName &Name) const {
  const auto Weight = Weights.find(Name);
  const auto Region = Regions.find(Name);
  if (Weight == Weights.end() || Region == Regions.end())
    return 0;
  return Weight->second * Region->second.deniedShare();
}

bool PlacementService::usable(const RegionName &Name,
                              const PlacementLimits &Limits,
                              Instant Now) const {
  const auto It = Regions.find(Name);
  return It != Regions.end() && !Limits.Avoided.contains(Name) &&
         It->second.fresh(Now) && !It->second.dead(Now) &&
         !It->second.full(Now);
}

bool PlacementService::anyFree(const PlacementLimits &Limits,
                               Instant Now) const {
  return std::ranges::any_of(Limits.Order, [&](const RegionName &Name) {
    return Name != Home && usable(Name, Limits, Now) &&
           Regions.at(Name).provedFree(Now) >= 1;
  });
}

} // namespace masticgap::coordination::internal
