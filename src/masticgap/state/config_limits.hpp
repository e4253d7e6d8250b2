#pragma once

#include <cstddef>
#include <cstdint>

namespace masticgap {

// Accepted ranges of configuration values, also listed in
// docs/configuration.md.

//! At a lower rate, shifting all traffic would take more than 17 minutes.
inline constexpr double MinShiftPerSecond = 0.001;
inline constexpr double MinTargetUtilization = 0.1;
inline constexpr std::uint64_t MaxRequestTimeoutMs = 600'000;
//! With a shorter TTL, callers could send more look-ups than requests.
inline constexpr std::uint64_t MinLookupTtlMs = 100;
inline constexpr std::uint64_t MaxLookupTtlMs = 3'600'000;
inline constexpr std::uint64_t MaxEntryHostsLimit = 10'000;
inline constexpr std::uint64_t MaxLinkMbit = 10'000'000;
//! Largest integer that every JSON parser represents exactly.
inline constexpr std::uint64_t MaxExactNumber = (1ULL << 53) - 1;
inline constexpr std::size_t MaxOperatorLength = 100;
inline constexpr std::size_t MaxReasonLength = 500;

} // namespace masticgap
