#pragma once

#include "masticgap/coordination/region_pair.hpp"
#include "masticgap/state/time.hpp"

#include <cstdint>

namespace masticgap::coordination {

//! Rate that one host may use on one pair until its lease expires. It replaces
//! the pair's previous grant.
struct LinkGrant {
  RegionPair Pair;
  double BytesPerSecond = 0;
  //! End of the lease by the holder's clock. The lease starts before the write
  //! is sent.
  Instant ExpiresAt{};
  //! Cap of the pair under which the grant was made, in bytes per second. A
  //! lower cap scales the grant down at once.
  double CapBytesPerSecond = 0;

  friend bool operator==(const LinkGrant &, const LinkGrant &) = default;
};

//! Cap of a pair at a configuration version, as read from a grant row.
struct LinkCapSeen {
  RegionPair Pair;
  std::uint64_t ConfigVersion = 0;
  double CapBytesPerSecond = 0;

  friend bool operator==(const LinkCapSeen &, const LinkCapSeen &) = default;
};

//! Demand of a host on one pair since the last report.
struct LinkDemand {
  RegionPair Pair;
  double BytesPerSecond = 0; //!< Rate of the bytes spent.
  bool Limited = false;      //!< A spend was refused for lack of tokens.

  friend bool operator==(const LinkDemand &, const LinkDemand &) = default;
};

} // namespace masticgap::coordination
