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

//! Workers, waiting requests and retries of one service.
class ServiceState {
public:
  using Ticket = coordination::AdmissionQueue::Ticket;

  ServiceState(boost::asio::io_context &Io, std::function<Instant()> Clock,
               std::size_t MaxWaiting, std::uint64_t Seed);

  coordination::WorkerPool Workers;
  coordination::RetryBudget Retries;

  //! Joins the queue, or goes back to its front after a try in vain.
  //! \returns false when the request would not be served in time.
  bool enqueue(std::optional<Ticket> &Place, Instant Deadline);

  //! Waits until it is the request's turn to try.
  //! \param RetryAfter time after which a slot may be free without a signal.
  //! \returns false when the deadline or a cancellation came first.
  boost::asio::awaitable<bool> waitTurn(Ticket Place, Instant Deadline,
                                        Duration RetryAfter,
                                        transport::AttemptControl &Control);

  //! The request got a worker; the next one may try.
  void served(std::optional<Ticket> &Place);
  //! The request gives up its place.
  void leave(std::optional<Ticket> &Place);

  //! A slot may be free.
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
