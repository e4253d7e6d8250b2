#pragma once

#include "masticgap/state/entry_host_descriptor.hpp"
#include "masticgap/state/names.hpp"

#include <array>
#include <cstddef>
#include <string>

namespace masticgap::coordination {

//! Location that is nearest to the callers of its client blocks.
struct Site {
  std::string Name;
  RegionName Region; //!< Region whose entry hosts are preferred for the site.

  friend bool operator==(const Site &, const Site &) = default;
};

//! Entry host that can be chosen for callers. Only live hosts that are not
//! draining may be listed.
struct SteeringHost {
  EntryHostDescriptor Host;
  //! Share of callers relative to other hosts, 0.001 to 1000; 0 excludes the
  //! host.
  double Weight = 1;

  friend bool operator==(const SteeringHost &, const SteeringHost &) = default;
};

//! Up to three entry hosts in order of preference.
struct SteeringTargets {
  static constexpr std::size_t MaxCount = 3;

  std::array<const SteeringHost *, MaxCount> Hosts{};
  std::size_t Count = 0;

  const SteeringHost *const *begin() const { return Hosts.data(); }
  const SteeringHost *const *end() const { return Hosts.data() + Count; }
  std::size_t size() const { return Count; }
  bool empty() const { return Count == 0; }
};

} // namespace masticgap::coordination
