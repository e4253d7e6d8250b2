#pragma once

#include "masticgap/coordination/link_grant.hpp"
#include "masticgap/coordination/store_types.hpp"

#include <variant>

namespace masticgap::coordination {

//! Output of LinkGrants. Actions must be carried out in order: a LinkGrant that
//! lowers the rate precedes the StoreTransact that releases the rate to others.
using LinkGrantAction =
    std::variant<LinkGrant, LinkCapSeen, StoreTransact, StoreRead>;

} // namespace masticgap::coordination
