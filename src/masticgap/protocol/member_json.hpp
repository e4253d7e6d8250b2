#pragma once

#include "masticgap/coordination/member_record.hpp"

#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::protocol {

//! Returns the body of GET /peer/members: {"members":[...]}. Each member has
//! the keys of the entry host's descriptor, and revision, status, draining,
//! config_version and epoch.
std::string toJson(std::span<const coordination::MemberRecord> Members);

//! Parses the body of GET /peer/members.
//! \returns the members, or an Error of kind Protocol that names the key.
boost::leaf::result<std::vector<coordination::MemberRecord>>
parseMembers(std::string_view Json);

} // namespace masticgap::protocol
