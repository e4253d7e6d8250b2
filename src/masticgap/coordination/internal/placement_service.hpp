#pragma once

#include "masticgap/coordination/internal/region_headroom.hpp"
#include "masticgap/coordination/internal/sliding_extreme.hpp"
#include "masticgap/coordination/load_report.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace masticgap::coordination::internal {

//! Entry host that is counted when headroom is divided.
struct ListedHost {
  RegionName Region;
  Instant LastListed{};
};

//! Limits in force for one service.
struct PlacementLimits {
  double MaxShiftPerSecond = 0; //!< Share of the traffic per second.
  double MaxShift = 0;          //!< Maximum share that leaves the home region.
  //! Utilization of the home region above which traffic spills.
  double TargetUtilization = 1;
  //! Regions to spill to, in order of preference.
  std::vector<RegionName> Order;
  std::set<RegionName> Avoided;            //!< Regions that get no new share.
  std::map<RegionName, double> RegionCaps; //!< Maximum weight of a region.
};

//! Region weights of one service on one entry host.
class PlacementService {
public:
  //! Outcome of a choice: the home region, another region, or a rejection.
  enum class Pick { Home, Remote, Shed };
  struct Choice {
    Pick What = Pick::Home;
    RegionName Region;
  };

  explicit PlacementService(RegionName HomeRegion)
      : Home(std::move(HomeRegion)) {}

  RegionHeadroom &region(const RegionName &Name) { return Regions[Name]; }
  const std::map<RegionName, RegionHeadroom> &regions() const {
    return Regions;
  }
  const std::map<RegionName, double> &weights() const { return Weights; }
  //! Sets the initial weights, scaled down to the limits.
  void startFrom(std::map<RegionName, double> Start,
                 const PlacementLimits &Limits, Instant Now);
  //! Adjusts the weights towards the share that the home region has to shift.
  void tick(const PlacementLimits &Limits, Instant Now);
  //! Chooses a region.
  //! \param Draw random number, uniformly distributed in [0, 1).
  Choice choose(double Draw, const PlacementLimits &Limits, Instant Now);

private:
  std::optional<RegionName> chooseRemote(double Draw, Instant Now);
  double total() const;
  double desiredTotal(const PlacementLimits &Limits, Instant Now);
  double dropUnusable(const PlacementLimits &Limits, double Step, Instant Now);
  double raise(const PlacementLimits &Limits, double Amount, Instant Now);
  void lower(const PlacementLimits &Limits, double Amount);
  double deniedWeight(const RegionName &Name) const;
  bool usable(const RegionName &Name, const PlacementLimits &Limits,
              Instant Now) const;
  bool anyFree(const PlacementLimits &Limits, Instant Now) const;

  RegionName Home;
  std::map<RegionName, RegionHeadroom> Regions;
  std::map<RegionName, double> Weights;
  SlidingMin<double> LowestTotal{ReportLifetime};
  SlidingMax<double> HighestTotal{ReportLifetime};
  std::optional<Instant> LastTick;
};

} // namespace masticgap::coordination::internal
