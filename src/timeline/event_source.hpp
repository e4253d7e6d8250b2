#pragma once

#include "masticgap/coordination/event.hpp"
#include "masticgap/state/endpoint.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::timeline {

//! Reads event JSON lines and log lines of gateways; empty lines are skipped.
//! \param Name file or endpoint for error messages.
//! \returns the events, or an Error with \p Name, the line number and a remedy.
boost::leaf::result<std::vector<coordination::Event>>
readEvents(std::istream &In, const std::string &Name);

//! Reads a file of event JSON lines or log lines.
boost::leaf::result<std::vector<coordination::Event>>
readEventFile(const std::string &Path);

//! Fetches events from an admin port.
//! \param Since sequence number after which events are returned.
boost::leaf::result<std::vector<coordination::Event>>
fetchEvents(const Endpoint &Admin, std::uint64_t Since,
            std::chrono::milliseconds Timeout);

//! Parses a list of endpoints such as "10.0.0.1:7002,[::1]:7002".
//! \returns the endpoints, or an Error of kind InvalidSettings.
boost::leaf::result<std::vector<Endpoint>>
parseEndpoints(std::string_view Text);

} // namespace masticgap::timeline
