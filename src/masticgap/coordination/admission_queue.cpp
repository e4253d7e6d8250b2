#include "masticgap/coordination/admission_queue.hpp"

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Weight of the newest interval in the moving average of the time between two
//! served requests.
constexpr double GapWeight = 0.1;

} // namespace

std::optional<AdmissionQueue::Ticket>
AdmissionQueue::enqueue(Instant Now, Instant Deadline) {
  if (Waiting.size() >= MaxWaiting || Now + expectedWait() >= Deadline)
    return std::nullopt;
  Waiting.push_back({++LastTicket, Deadline});
  return LastTicket;
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::next() {
  if (Waiting.empty())
    return std::nullopt;
  const Ticket Oldest = Waiting.front().Id;
  Waiting.pop_front();
  return Oldest;
}

void AdmissionQueue::requeue(Ticket T, Instant Deadline) {
  Waiting.push_front({T, Deadline});
}

void AdmissionQueue::remove(Ticket T) {
  std::erase_if(Waiting, [T](const Entry &E) { return E.Id == T; });
}

std::vector<AdmissionQueue::Ticket> AdmissionQueue::removeExpired(Instant Now) {
  std::vector<Ticket> Result;
  std::erase_if(Waiting, [&](const Entry &E) {
    if (Now < E.Deadline)
      return false;
    Result.push_back(E.Id);
    return true;
  });
  return Result;
}

void AdmissionQueue::served(Instant Now) {
  if (LastServed) {
    const auto Gap = static_cast<double>((Now - *LastServed).count());
    ServiceGapNs = ServiceGapNs == 0
                       ? Gap
                       : ServiceGapNs + GapWeight * (Gap - ServiceGapNs);
  }
  // The time during which the queue is empty does not reflect the rate.
  if (Waiting.empty())
    LastServed.reset();
  else
    LastServed = Now;
}

Duration AdmissionQueue::expectedWait() const {
  return Duration(static_cast<std::int64_t>(
      ServiceGapNs * static_cast<double>(Waiting.size())));
}

} // namespace masticgap::coordination
