#pragma once

#include "masticgap/coordination/admission_queue.hpp"
#include "masticgap/coordination/retry_budget.hpp"
#include "masticgap/coordination/worker_pool.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/attempt_control.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace masticgap::entry {

//! Workers, request queue and retry budget of one service.
class ServiceState {
public:
  using Ticket = coordination::AdmissionQueue::Ticket;

  ServiceState(boost::asio::io_context &Io, std::function<Instant()> Clock,
               std::size_t MaxWaiting, std::uint64_t Seed);

  coordination::WorkerPool Workers;
  coordination::RetryBudget Retries;

  //! Adds the request to the queue, or puts it back to the front after an
  //! unsuccessful try.
  //! \returns false when the request would not be served in time.
  bool enqueue(std::optional<Ticket> &Place, Instant Deadline);

  //! Waits until the request is the next to try.
  //! \param RetryAfter time after which a slot may be free without a call of
  //! wakeNext().
  //! \returns false when the deadline passed or the request was cancelled
  //! first.
  boost::asio::awaitable<bool> waitTurn(Ticket Place, Instant Deadline,
                                        Duration RetryAfter,
                                        transport::AttemptControl &Control);

  //! Removes a request that got a worker and lets the next one try.
  void served(std::optional<Ticket> &Place);
  //! Removes a request that gives up and lets the next one try.
  void leave(std::optional<Ticket> &Place);

  //! Lets the next request try because a slot may be free.
  void wakeNext();

  //! Cancels the timer that wakes waiting requests.
  void stop() { WakeTimer.cancel(); }

  std::size_t waiting() const { return Queue.size(); }

private:
  void armWakeTimer(Duration After);

  std::function<Instant()> Clock;
  coordination::AdmissionQueue Queue;
  boost::asio::io_context &Io;
  boost::asio::steady_timer WakeTimer;
  bool WakeTimerArmed = false;
  std::map<Ticket, boost::asio::steady_timer *> WaitTimers;
};

} // namespace masticgap::entry
