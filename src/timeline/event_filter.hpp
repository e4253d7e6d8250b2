#pragma once

#include "masticgap/coordination/event.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace masticgap::timeline {

//! Which events to show; an empty field accepts all.
struct EventFilter {
  std::string Request;
  std::string Worker;
  std::string Host; //!< Host that recorded the event or that it is about.
  std::string Change;
};

//! Whether the filter accepts the event.
bool accepts(const EventFilter &Filter, const coordination::Event &E);

//! Puts the events of several processes into causal order, drops those that
//! were read twice, and keeps those that the filter accepts.
std::vector<coordination::Event>
mergeEvents(std::vector<coordination::Event> Events, const EventFilter &Filter);

//! Puts events into causal order and keeps those that may explain how a request
//! ended: its own, those of its workers on all hosts but for answered
//! requests, and changes of what its hosts believe.
//! \param Before time before the request's first event, and after its last.
std::vector<coordination::Event>
explainRequest(std::vector<coordination::Event> Events,
               const RequestId &Request, std::chrono::milliseconds Before);

} // namespace masticgap::timeline
