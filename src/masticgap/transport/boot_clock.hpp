#pragma once

#include "masticgap/state/time.hpp"

#include <cstdint>

namespace masticgap::transport {

//! Returns the current time for the decision core.
//! \returns CLOCK_BOOTTIME, which advances while the host is suspended, so that
//! a lease that expired in that time is detected; the monotonic clock where
//! CLOCK_BOOTTIME is not supported.
Instant now();

//! Returns milliseconds since the Unix epoch, for incarnations and
//! human-readable times.
std::uint64_t unixMilliseconds();

} // namespace masticgap::transport
