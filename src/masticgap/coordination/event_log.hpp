#pragma once

#include "masticgap/coordination/event.hpp"
#include "masticgap/coordination/hybrid_clock.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticgap::coordination {

//! Bounded event log of a process. The oldest events are overwritten.
class EventLog {
public:
  static constexpr std::size_t DefaultCapacity = 65536; //!< Events.

  //! \param Host host that records the events.
  //! \param Stamps clock of the process; it must outlive the log.
  //! \param MaxEvents number of events kept, at least 1.
  EventLog(HostId Host, HybridClock &Stamps,
           std::size_t MaxEvents = DefaultCapacity);

  //! Records an event at the current time.
  //! \returns its sequence number.
  std::uint64_t record(EventKind Kind, EventFields Fields, Instant Now);

  //! Returns the stored events with a sequence number greater than Sequence,
  //! oldest first.
  //! \param Limit maximum number of events to return.
  std::vector<Event> since(std::uint64_t Sequence,
                           std::size_t Limit = DefaultCapacity) const;

  //! Returns the sequence number of the newest event, or 0 if there is none.
  std::uint64_t lastSequence() const { return Last; }

private:
  HostId Self;
  HybridClock &Clock;
  std::size_t Capacity;
  std::uint64_t Last = 0;
  std::vector<Event> Ring;
};

} // namespace masticgap::coordination
