#pragma once

#include "masticgap/coordination/hybrid_time.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! What happened.
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
  ConfigInForce,
  LinkGranted,
  PlacementChanged,
  Decision //!< Any other, named by the first word of its detail.
};

//! Name as used in JSON, for example "request_received".
std::string_view toString(EventKind Kind);

//! Kind of that name, or nothing.
std::optional<EventKind> parseEventKind(std::string_view Text);

//! What an event is about; a field that does not apply is empty.
struct EventFields {
  RequestId Request;
  WorkerId Worker;
  HostId Subject;     //!< Host that the event is about.
  std::string Change; //!< Id of a configuration change.
  std::string Detail;

  friend bool operator==(const EventFields &, const EventFields &) = default;
};

//! One entry of the event log of a process.
struct Event {
  std::uint64_t Sequence = 0; //!< Counts from 1 in each process.
  HybridTime Stamp;
  HostId Host; //!< Process that recorded the event.
  EventKind Kind = EventKind::ProcessStarted;
  EventFields Fields;

  friend bool operator==(const Event &, const Event &) = default;
};

//! Causal order of events from several processes: stamp, host, sequence.
bool causallyBefore(const Event &Left, const Event &Right);

} // namespace masticgap::coordination
