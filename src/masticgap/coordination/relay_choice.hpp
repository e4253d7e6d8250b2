#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Returns the live members of a failure domain, except one, in the order in
//! which they are tried as relays of a message. Weighted rendezvous hashing
//! gives each host relays in proportion to its processor. Members under
//! suspicion come last.
//! \param Except member that is left out: the sender.
//! \param Message hash of the message; other messages get other orders.
std::vector<HostId> relayOrder(std::span<const MemberRecord> Members,
                               const FailureDomainName &Domain,
                               const HostId &Except, std::uint64_t Message);

} // namespace masticgap::coordination
