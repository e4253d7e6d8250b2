#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/names.hpp"

#include <functional>
#include <span>

namespace masticgap::coordination {

//! Returns the size class of a member's host; hosts of the highest class gather
//! reports.
using SizeClassFunction = std::function<unsigned(const MemberRecord &)>;

//! Chooses the host that gathers the reports of a failure domain: by rendezvous
//! hashing among the members of the domain that are live, are not stopping and
//! have the highest size class. Hosts that know the same members choose the
//! same one.
//! \returns null if there is none.
const MemberRecord *chooseGatherer(std::span<const MemberRecord> Members,
                                   const FailureDomainName &Domain,
                                   const SizeClassFunction &SizeClass);

} // namespace masticgap::coordination
