#pragma once

#include "masticgap/coordination/gossip_message.hpp"
#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/endpoint.hpp"

#include <variant>
#include <vector>

namespace masticgap::coordination {

//! The time returned by Membership::nextDeadline has been reached.
struct MembershipTimer {};

//! A decoded datagram arrived.
struct GossipReceived {
  Endpoint From; //!< Address for replies.
  GossipMessage Message;
};

//! Records were received by other means, for example from GET /peer/members.
struct MembersLearned {
  std::vector<MemberRecord> Records;
};

//! Input of Membership::handle.
using MembershipEvent =
    std::variant<MembershipTimer, GossipReceived, MembersLearned>;

} // namespace masticgap::coordination
