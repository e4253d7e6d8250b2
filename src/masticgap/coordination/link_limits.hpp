#pragma once

#include "masticgap/state/config_document.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>

namespace masticgap::coordination {

//! Share of a cap that is reserved for control traffic.
inline constexpr double LinkControlShare = 0.02;
//! Share of a cap that is divided among all entry hosts as static floors.
inline constexpr double LinkFloorShare = 0.10;
//! Share of a cap that is leased in grants.
inline constexpr double LinkLeasedShare =
    1.0 - LinkControlShare - LinkFloorShare;
//! Time for which a holder may use a grant, starting before the write is sent.
inline constexpr Duration LinkLease = std::chrono::seconds(10);
//! Time after which other hosts treat a grant with an unchanged sequence number
//! as expired. The extra 1 % covers clock drift.
inline constexpr Duration LinkLeaseForOthers = LinkLease + LinkLease / 100;

//! Converts a configured cap to bytes per second.
constexpr double bytesPerSecond(const LinkCap &Cap) {
  return static_cast<double>(Cap.Mbit) * 1e6 / 8;
}

} // namespace masticgap::coordination
