#pragma once

#include "masticgap/state/names.hpp"

#include <optional>
#include <span>

namespace masticgap::coordination {

//! Live entry host, as input to the choice of configuration readers.
struct LiveHost {
  HostId Id;
  FailureDomainName Domain;

  friend bool operator==(const LiveHost &, const LiveHost &) = default;
};

//! Returns the entry host that polls the store for a failure domain, or nothing
//! if no host of the domain is live. The host is chosen by rendezvous hashing,
//! so that the loss of a host affects only the domains for which it was reader.
std::optional<HostId> chooseConfigReader(std::span<const LiveHost> Live,
                                         const FailureDomainName &Domain);

} // namespace masticgap::coordination
