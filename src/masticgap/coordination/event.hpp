#pragma once

#include "masticgap/coordination/hybrid_time.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Kind of an event.
enum class EventKind {
  ProcessStarted,
  ProcessStopped,
  RequestReceived,
  RequestDispatched,
  RequestAnswered,
  RequestRetried,
  RequestNotRun,
  RequestUnknown,
  WorkerEjected,
  WorkerLeaving,
  MemberChanged,
  RumorSpread,
  RumorLearned,
  ConfigAccepted,
  ConfigInForce, //!< A configuration version came into force on this host.
  LinkGranted,
  PlacementChanged,
  Decision //!< Any other event, named by the first word of its detail.
};

//! Returns the name used in JSON, for example "request_received".
std::string_view toString(EventKind Kind);

//! Returns the kind with that name, or nothing.
std::optional<EventKind> parseEventKind(std::string_view Text);

//! Subjects and detail of an event. A field that does not apply is empty.
struct EventFields {
  RequestId Request;
  WorkerId Worker;
  HostId Subject;     //!< Host that the event is about.
  std::string Change; //!< Id of a configuration change.
  std::string Detail;

  friend bool operator==(const EventFields &, const EventFields &) = default;
};

//! Entry in the event log of a process.
struct Event {
  std::uint64_t Sequence = 0; //!< Counts from 1 in each process.
  HybridTime Stamp;
  HostId Host; //!< Process that recorded the event.
  EventKind Kind = EventKind::ProcessStarted;
  EventFields Fields;

  friend bool operator==(const Event &, const Event &) = default;
};

//! Orders events of several processes causally: by stamp, host and sequence.
bool causallyBefore(const Event &Left, const Event &Right);

} // namespace masticgap::coordination
