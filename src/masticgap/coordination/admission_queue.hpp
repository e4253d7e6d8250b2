#pragma once

#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace masticgap::coordination {

//! Bounded queue of requests of one service that wait for a free slot.
//!
//! A request that would not reach a worker before its deadline is rejected on
//! arrival, while it has certainly not run.
class AdmissionQueue {
public:
  using Ticket = std::uint64_t;

  //! \param MaxWaiting maximum number of waiting requests.
  explicit AdmissionQueue(std::size_t MaxWaiting) : MaxWaiting(MaxWaiting) {}

  //! Adds a request.
  //! \returns its ticket, or nothing if the queue is full or the expected wait
  //! ends after \p Deadline.
  std::optional<Ticket> enqueue(Instant Now, Instant Deadline);

  //! Removes and returns the request that has waited longest.
  std::optional<Ticket> next();

  //! Puts a request back to the front after an attempt found no free slot. The
  //! limits of enqueue() do not apply again.
  void requeue(Ticket T, Instant Deadline);

  //! Removes a request whose caller disconnected.
  void remove(Ticket T);

  //! Removes and returns the requests whose deadline has passed.
  std::vector<Ticket> removeExpired(Instant Now);

  //! Records that a request left the queue for a worker.
  void served(Instant Now);

  std::size_t size() const { return Waiting.size(); }

  //! Returns the time until a new request would be served, estimated from the
  //! recent service rate.
  Duration expectedWait() const;

private:
  struct Entry {
    Ticket Id;
    Instant Deadline;
  };

  std::size_t MaxWaiting;
  std::deque<Entry> Waiting;
  Ticket LastTicket = 0;
  double ServiceGapNs =
      0; //!< Moving average of the time between two served requests.
  std::optional<Instant> LastServed;
};

} // namespace masticgap::coordination
