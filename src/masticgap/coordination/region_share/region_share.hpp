#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticgap::coordination {

//! Capacity and load of one region for one service.
struct RegionCapacity {
  RegionName Region;
  unsigned Slots = 0;     //!< Slots of workers that accept requests.
  double Utilization = 0; //!< Running and waiting requests per slot.
  //! Live entry hosts; the demand that arises in the region is assumed to be
  //! proportional to them.
  unsigned EntryHosts = 0;
};

//! Limits of RegionShare.
struct RegionShareLimits {
  //! Maximum change of the local region's share per second. A third of
  //! the specified cap on shifts (0.15 within 2 s); the rest allows for
  //! overflow and for changes in the mix of objects.
  double StepPerSecond = 0.025;
  //! Utilization of the local region above which it sheds load and below which
  //! it takes load back.
  double ShedAbove = 0.85;
  double ReturnBelow = 0.55;
  //! Pace at which the local region takes back more than its share of the
  //! fleet's capacity, relative to StepPerSecond. Each object that moves is
  //! served slowly at first, and the other regions have capacity for it.
  double ExcessReturnPace = 0.1;
};

//! Share of a service's requests that is served in the local region.
//!
//! Sheds load of a region whose demand exceeds its capacity. The share changes
//! slowly, so that no steering decision moves a large part of a region's
//! traffic at once; only a region without workers is left immediately.
class RegionShare {
public:
  explicit RegionShare(RegionName LocalRegion, RegionShareLimits Limits = {})
      : LocalRegion(std::move(LocalRegion)), Limits(Limits) {}

  //! Updates the share from a new measurement of all regions.
  void update(const std::vector<RegionCapacity> &Capacities, Instant Now);

  //! Returns the region that serves an object; stable while the share is.
  //! \param Object hash of the object or of the request.
  //! \returns nothing if no region has workers.
  std::optional<RegionName> regionOf(std::uint64_t Object) const;

  //! Returns the current share of the local region. regionOf() ignores it while
  //! the local region or all other regions have no workers.
  double ownShare() const { return Share; }

private:
  //! Returns the share of the local demand for which the local region has its
  //! part of the fleet's capacity.
  double capacityShare(const std::vector<RegionCapacity> &Capacities) const;

  RegionName LocalRegion;
  RegionShareLimits Limits;
  std::vector<RegionCapacity> Others; //!< Other regions with slots, by name.
  bool LocalHasWorkers = false;
  double Share = 1;
  std::optional<Instant> UpdatedAt;
};

} // namespace masticgap::coordination
