#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/traffic_config.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! Distributes the requests of routes over the parts of their traffic splits by
//! smooth weighted round robin. In any sequence of requests each part gets the
//! share of its weight, to within a few requests.
class SplitSchedule {
public:
  //! \param Seed determines the part with which this host begins, so that the
  //! hosts of a fleet begin with different ones.
  explicit SplitSchedule(std::uint64_t Seed) : Seed(Seed) {}

  //! Returns the service for the next request of a route.
  const ServiceName &next(const Route &MatchedRoute);
  //! Returns what next() would return, without a change of the rotation.
  const ServiceName &peek(const Route &MatchedRoute) const;

private:
  struct Rotation {
    std::vector<SplitPart> Parts;
    std::vector<double> Credit;
  };

  //! Advances a rotation by one request.
  //! \returns the position of its part.
  std::size_t advance(Rotation &State, const Route &MatchedRoute) const;

  std::uint64_t Seed;
  std::map<std::string, Rotation> Rotations; //!< By route name.
};

} // namespace masticgap::coordination
