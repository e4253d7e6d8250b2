#pragma once

#include "masticgap/coordination/event.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Returns the event as one line of JSON without the newline. Empty fields are
//! omitted.
std::string toJsonLine(const Event &E);

//! Parses a line written by toJsonLine().
//! \returns the event, or an Error of kind Protocol that names the key.
boost::leaf::result<Event> parseEventLine(std::string_view Line);

} // namespace masticgap::coordination
