#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/traffic_config.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! Distributes the requests of routes over the parts of their splits. Within
//! any run of requests each part gets its weight's share, to one request
//! (smooth weighted round robin).
class SplitSchedule {
public:
  //! \param Seed decides with which part this host begins, so that the hosts
  //! of a fleet do not begin with the same one.
  explicit SplitSchedule(std::uint64_t Seed) : Seed(Seed) {}

  //! Service for the next request of a route.
  const ServiceName &next(const Route &Of);

private:
  struct Course {
    std::vector<SplitPart> Parts;
    std::vector<double> Credit;
  };

  std::uint64_t Seed;
  std::map<std::string, Course> Courses; //!< By route name.
};

} // namespace masticgap::coordination
