#include "entry/service_state.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
using coordination::TwoChoices;

namespace {

//! Shortest and longest time between two tries of the queue without a signal.
constexpr Duration LeastRetry = std::chrono::milliseconds(1);
constexpr Duration MostRetry = std::chrono::milliseconds(100);

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
  Sleepers[Place] = &Timer;
  Control.attach(&Timer);
  armWake(RetryAfter);
  const auto [Cancelled] =
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
  Control.detach();
  Sleepers.erase(Place);
  co_return Cancelled && !Control.isCancelled() && Clock() < Deadline;
}

void ServiceState::armWake(Duration After) {
  if (WakeArmed)
    return;
  WakeArmed = true;
  WakeTimer.expires_after(std::clamp(After, LeastRetry, MostRetry));
  WakeTimer.async_wait([this](boost::system::error_code Failure) {
    // After an abort this object may be gone.
    if (Failure)
      return;
    WakeArmed = false;
    wakeNext();
  });
}

void ServiceState::wakeNext() {
  const auto Place = Queue.next();
  if (!Place)
    return;
  const auto Found = Sleepers.find(*Place);
  if (Found != Sleepers.end())
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
