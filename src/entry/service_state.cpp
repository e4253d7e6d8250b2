#include "entry/service_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
using coordination::TwoChoices;

namespace {

//! Limits of the time after which the queue is tried without a call of
//! wakeNext().
constexpr Duration MinRetryDelay = std::chrono::milliseconds(1);
constexpr Duration MaxRetryDelay = std::chrono::milliseconds(100);

} // namespace

ServiceState::ServiceState(asio::io_context &Io, std::function<Instant()> Clock,
                           std::size_t MaxWaiting, std::uint64_t Seed)
    : Workers(TwoChoices{}, Seed), Clock(std::move(Clock)), Queue(MaxWaiting),
      Io(Io), WakeTimer(Io) {}

bool ServiceState::enqueue(std::optional<Ticket> &Place, Instant Deadline) {
  if (Place)
    Queue.requeue(*Place, Deadline);
  else
    Place = Queue.enqueue(Clock(), Deadline);
  return Place.has_value();
}

asio::awaitable<bool>
ServiceState::waitTurn(Ticket Place, Instant Deadline, Duration RetryAfter,
                       transport::AttemptControl &Control) {
  asio::steady_timer Timer(Io);
  Timer.expires_after(std::max(Deadline - Clock(), Duration(0)));
  WaitTimers[Place] = &Timer;
  Control.attach(&Timer);
  armWakeTimer(RetryAfter);
  const auto [Cancelled] =
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  Control.detach();
  WaitTimers.erase(Place);
  co_return Cancelled && !Control.isCancelled() && Clock() < Deadline;
}

void ServiceState::armWakeTimer(Duration After) {
  if (WakeTimerArmed)
    return;
  WakeTimerArmed = true;
  WakeTimer.expires_after(std::clamp(After, MinRetryDelay, MaxRetryDelay));
  WakeTimer.async_wait([this](boost::system::error_code Failure) {
    // After a cancellation this object may already be destroyed.
    if (Failure)
      return;
    WakeTimerArmed = false;
    wakeNext();
  });
}

void ServiceState::wakeNext() {
  const auto Place = Queue.next();
  if (!Place)
    return;
  const auto Found = WaitTimers.find(*Place);
  if (Found != WaitTimers.end())
    Found->second->cancel();
}

void ServiceState::served(std::optional<Ticket> &Place) {
  if (!Place)
    return;
  Queue.served(Clock());
  Place.reset();
  wakeNext();
}

void ServiceState::leave(std::optional<Ticket> &Place) {
  if (Place)
    Queue.remove(*Place);
  Place.reset();
  wakeNext();
}

} // namespace masticgap::entry
