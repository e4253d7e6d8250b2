#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/names.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! What decides which hosts a caller is sent to.
struct LookupCriteria {
  RegionName Region; //!< Of the caller.
  std::span<const RegionName>
      HomeRegions; //!< Of the routes asked for; empty: any.
  //! Hosts to name at least, if there are as many: callers pick one at random
  //! and need others when it fails.
  std::size_t MinHosts = 3;
  std::size_t MaxHosts = 64;
};

//! Hosts that a look-up answer names: those of the caller's region that take
//! callers, and hosts of other regions only if these are too few.
std::vector<const MemberRecord *>
lookupHosts(std::span<const MemberRecord> Members,
            const LookupCriteria &Criteria);

} // namespace masticgap::coordination
