#pragma once

#include <compare>
#include <cstdint>

namespace masticgap::coordination {

//! Stamp of a hybrid logical clock. Stamps of different processes can be
//! compared: an event that another event could have caused has the greater one.
struct HybridTime {
  std::uint64_t UnixMicros = 0; //!< Wall-clock part, in microseconds.
  std::uint32_t Logical = 0;    //!< Orders stamps of the same microsecond.

  friend auto operator<=>(const HybridTime &, const HybridTime &) = default;
};

} // namespace masticgap::coordination
