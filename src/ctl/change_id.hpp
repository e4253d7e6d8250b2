#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace masticgap::ctl {

//! Builds a change id from the UTC time and random hex digits, such as
//! "20260102T030405Z-0a1b2c3d". The history shows the time of a change from
//! its id, so documents need no separate time field.
std::string makeChangeId(std::uint64_t UnixMs, std::uint32_t Random);

//! Formats the time in a change id as "2026-01-02 03:04:05 UTC".
//! \returns the id itself if it contains no time.
std::string changeTime(std::string_view ChangeId);

} // namespace masticgap::ctl
