#pragma once

#include "masticgap/coordination/event.hpp"

#include <optional>
#include <string_view>

namespace masticgap::timeline {

//! Whether a line looks like one of a gateway's log, which starts with its
//! time.
bool isLogLine(std::string_view Line);

//! Reads one logfmt line of a gateway's log as an event.
//! \param Sequence position of the line, which orders lines of one time.
//! \returns the event, or nothing when the line has no time, host or event
//! name. Fields that an event has no place for are in its detail.
std::optional<coordination::Event> parseLogLine(std::string_view Line,
                                                std::uint64_t Sequence);

} // namespace masticgap::timeline
