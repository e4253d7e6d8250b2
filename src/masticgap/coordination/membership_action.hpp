#pragma once

#include "masticgap/coordination/gossip_message.hpp"
#include "masticgap/coordination/member_record.hpp"
#include "masticgap/coordination/rumor.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/names.hpp"

#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Requests that a message be sent as one datagram.
struct SendGossip {
  Endpoint To;
  GossipMessage Message;
};

//! A member was added, or its incarnation, status or draining flag changed.
struct MemberChanged {
  MemberRecord Member;
};

//! A member's configuration version or epoch increased.
struct MemberProgressed {
  MemberRecord Member;
};

//! A rumor was received from another member, or a known rumor was renewed.
struct RumorLearned {
  TimedRumor What;
};

//! End of a spread that this member started.
struct RumorSettled {
  Rumor What;
  bool AllAcknowledged = false; //!< All live members have the rumor.
  //! Members that did not acknowledge in time; with relays, one member per
  //! failure domain.
  std::vector<HostId> Missing;
};

//! Another process is running with this host's id and a newer incarnation. The
//! other members ignore this process from now on, so it must stop.
struct SelfSuperseded {
  MemberRecord Newer;
};

//! Output of Membership.
using MembershipAction =
    std::variant<SendGossip, MemberChanged, MemberProgressed, RumorLearned,
                 RumorSettled, SelfSuperseded>;

} // namespace masticgap::coordination
