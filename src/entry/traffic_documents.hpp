#pragma once

#include "entry/traffic_state.hpp"

#include <string>

namespace masticgap::entry {

//! Returns a JSON object with the regions, links, services and workers that the
//! forwarding thread uses for its decisions.
std::string describeState(const TrafficState &State);

//! Returns the metrics of the forwarding thread as Prometheus text.
std::string describeMetrics(const TrafficState &State);

} // namespace masticgap::entry
