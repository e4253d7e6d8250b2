#pragma once

#include "masticgap/coordination/event.hpp"

#include <optional>
#include <string_view>

namespace masticgap::timeline {

//! Returns whether a line looks like a gateway's log line, which starts with
//! its timestamp.
bool isLogLine(std::string_view Line);

//! Parses a logfmt line of a gateway's log as an event.
//! \param Sequence line number, which orders lines with the same timestamp.
//! \returns the event, or nothing if the line has no timestamp, host or event
//! name. Log fields without a matching event field go into its detail.
std::optional<coordination::Event> parseLogLine(std::string_view Line,
                                                std::uint64_t Sequence);

} // namespace masticgap::timeline
