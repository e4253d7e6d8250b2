#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/names.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Criteria for the hosts that a look-up returns.
struct LookupCriteria {
  RegionName Region; //!< Region of the caller.
  std::span<const RegionName>
      HomeRegions; //!< Home regions of the requested routes; empty: any.
  //! Minimum number of hosts to return, if available. Callers pick one at
  //! random and need others when it fails.
  std::size_t MinHosts = 3;
  std::size_t MaxHosts = 64;
};

//! Returns the hosts for a look-up: those of the caller's region that accept
//! callers, and hosts of other regions only if these are too few.
std::vector<const MemberRecord *>
lookupHosts(std::span<const MemberRecord> Members,
            const LookupCriteria &Criteria);

} // namespace masticgap::coordination
