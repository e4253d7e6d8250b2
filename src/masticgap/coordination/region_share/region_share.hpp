#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticgap::coordination {

//! Room and load of one region for one service.
struct RegionCapacity {
  RegionName Region;
  unsigned Slots = 0;      //!< Of workers that may take requests.
  double Utilization = 0;  //!< Busy and waiting requests by slots.
  unsigned EntryHosts = 0; //!< Stands for the demand that arises there.
};

//! Limits of RegionShare.
struct RegionShareLimits {
  //! Largest change of the own region's share in a second. Half of the stated
  //! cap on shifts, so that a change of the mix of objects has room as well.
  double StepPerSecond = 0.025;
  //! The own region sheds load above the first and takes back below the second.
  double ShedAbove = 0.85;
  double ReturnBelow = 0.55;
};

//! Share of a service's requests that is served in the own region. It moves
//! slowly, so that no steering decision moves a large part of a region's
//! traffic at once; only a region without workers is left at once. Answers the
//! load of a region whose callers need more than its workers give.
class RegionShare {
public:
  explicit RegionShare(RegionName Own, RegionShareLimits Limits = {})
      : Own(std::move(Own)), Limits(Limits) {}

  //! Takes a new measurement of all regions.
  void update(const std::vector<RegionCapacity> &Capacities, Instant Now);

  //! Region that serves an object, the same as long as shares do not change.
  //! \param Object hash of the object, or of the request.
  //! \returns nothing when no region has workers.
  std::optional<RegionName> regionOf(std::uint64_t Object) const;

  //! Present share of the own region.
  double ownShare() const { return Share; }

private:
  double initialShare(const std::vector<RegionCapacity> &Capacities) const;

  RegionName Own;
  RegionShareLimits Limits;
  std::vector<RegionCapacity> Others; //!< With slots, by name.
  bool OwnHasWorkers = false;
  double Share = 1;
  std::optional<Instant> Updated;
};

} // namespace masticgap::coordination
