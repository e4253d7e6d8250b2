#pragma once

#include "masticgap/transport/worker_stream.hpp"

#include <boost/asio/steady_timer.hpp>

#include <variant>

namespace masticgap::transport {

//! Cancels a request from outside the coroutine that runs it. Cancelling ends a
//! wait, or closes the connection to the worker, which signals the worker to
//! stop.
class AttemptControl {
public:
  AttemptControl() = default;
  AttemptControl(const AttemptControl &) = delete;
  AttemptControl &operator=(const AttemptControl &) = delete;

  //! Ends the pending operation; afterwards isCancelled() returns true.
  void cancel() {
    Requested = true;
    if (auto *const *Stream = std::get_if<WorkerStream *>(&Active))
      (*Stream)->close();
    if (auto *const *Timer = std::get_if<boost::asio::steady_timer *>(&Active))
      (*Timer)->cancel();
  }
  bool isCancelled() const { return Requested; }

  //! Sets the operation that cancel() ends.
  void attach(WorkerStream *Stream) { Active = Stream; }
  void attach(boost::asio::steady_timer *Timer) { Active = Timer; }
  void detach() { Active = std::monostate(); }

private:
  std::variant<std::monostate, WorkerStream *, boost::asio::steady_timer *>
      Active;
  bool Requested = false;
};

} // namespace masticgap::transport
