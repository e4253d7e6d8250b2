#pragma once

#include "masticgap/coordination/event.hpp"

#include <span>
#include <string>

namespace masticgap::timeline {

//! Formats one line for each event, in the order given, with the time since the
//! first event in milliseconds.
std::string textReport(std::span<const coordination::Event> Events);

//! Formats the events as a self-contained HTML page: an SVG chart with one lane
//! for each process and arrows between the events of a request, and a table.
std::string htmlReport(std::span<const coordination::Event> Events);

//! Formats the time since the first event, in milliseconds with three decimals.
std::string relativeTime(const coordination::Event &First,
                         const coordination::Event &E);

//! Formats the fields that are set as "name=value", separated by spaces.
std::string fieldText(const coordination::EventFields &Fields);

} // namespace masticgap::timeline
