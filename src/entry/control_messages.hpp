#pragma once

#include "masticgap/coordination/event.hpp"
#include "masticgap/coordination/link_grant.hpp"
#include "masticgap/coordination/rumor.hpp"
#include "masticgap/state/time.hpp"

#include <functional>
#include <vector>

namespace masticgap::entry {

//! Event of the forwarding thread before the event log adds its time stamp.
struct TrafficEvent {
  coordination::EventKind Kind;
  coordination::EventFields Fields;
};

//! Messages of the forwarding thread to the control thread. Each function posts
//! and returns immediately.
struct ControlMessages {
  //! Spreads an urgent rumor. Done runs on the forwarding thread once all peers
  //! have acknowledged the rumor or the time limit for that has passed.
  std::function<void(coordination::Rumor, std::function<void()> Done)> Spread;
  std::function<void(std::vector<TrafficEvent>)> Events;
  std::function<void(std::vector<coordination::LinkDemand>)> Demand;
};

} // namespace masticgap::entry
