#include "masticgap/coordination/event_log.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

EventLog::EventLog(HostId Host, HybridClock &Stamps, std::size_t MaxEvents)
    : Self(std::move(Host)), Clock(Stamps),
      Capacity(std::max<std::size_t>(1, MaxEvents)) {}

std::uint64_t EventLog::record(EventKind Kind, EventFields Fields,
                               Instant Now) {
  Event Entry{++Last, Clock.stamp(Now), Self, Kind, std::move(Fields)};
  const std::size_t Slot = (Last - 1) % Capacity;
  if (Slot == Ring.size())
    Ring.push_back(std::move(Entry));
  else
    Ring[Slot] = std::move(Entry);
  return Last;
}

std::vector<Event> EventLog::since(std::uint64_t Sequence,
                                   std::size_t Limit) const {
  if (Sequence >= Last)
    return {};
  const std::uint64_t Oldest = Last - Ring.size() + 1;
  std::vector<Event> Result;
  for (std::uint64_t Next = std::max(Sequence + 1, Oldest);
       Next <= Last && Result.size() < Limit; ++Next)
    Result.push_back(Ring[(Next - 1) % Capacity]);
  return Result;
}

} // namespace masticgap::coordination
