#pragma once

#include "masticgap/coordination/event.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace masticgap::timeline {

//! Selects events by field; an empty field accepts all.
struct EventFilter {
  std::string Request;
  std::string Worker;
  std::string Host; //!< Host that recorded the event, or its subject.
  std::string Change;
};

//! Returns whether the filter accepts the event.
bool accepts(const EventFilter &Filter, const coordination::Event &E);

//! Returns the events that the filter accepts, in causal order and without
//! duplicates.
std::vector<coordination::Event>
mergeEvents(std::vector<coordination::Event> Events, const EventFilter &Filter);

//! Returns the events that may explain the outcome of a request, in causal
//! order: the request's events, events of its workers on all hosts except
//! answered requests, and events of its hosts that belong to no request.
//! \param Window time before the request's first event and after its last one
//! from which other events are included.
std::vector<coordination::Event>
explainRequest(std::vector<coordination::Event> Events,
               const RequestId &Request, std::chrono::milliseconds Window);

} // namespace masticgap::timeline
