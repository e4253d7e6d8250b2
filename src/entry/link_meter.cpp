#include "entry/link_meter.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t Unlimited = std::numeric_limits<std::uint64_t>::max();
//! Minimum wait for tokens; limits the number of tries.
constexpr Duration MinWait = std::chrono::milliseconds(1);

} // namespace

LinkMeter::LinkMeter(asio::io_context &Io, coordination::LinkBudget &Budget,
                     RegionName Local, RegionName Peer, Timing AttemptTiming)
    : Io(Io), Budget(Budget), LocalRegion(std::move(Local)),
      RemoteRegion(std::move(Peer)), AttemptTiming(std::move(AttemptTiming)) {
  const Instant Now = this->AttemptTiming.Clock();
  Limited = Budget.largestSpend(LocalRegion, RemoteRegion, Now) != Unlimited ||
            Budget.largestSpend(RemoteRegion, LocalRegion, Now) != Unlimited;
}

LinkMeter::~LinkMeter() {
  if (!Reservation)
    return;
  const std::uint64_t Used =
      ReceivedBytes - std::min(ReceivedBytes, SpentBeyondReservation);
  Budget.settle(*Reservation, std::min(Used, Reservation->Bytes),
                AttemptTiming.Clock());
}

bool LinkMeter::tryBegin(std::uint64_t RequestBytes, Instant Now) {
  if (!Reservation)
    Reservation =
        Budget.reserveAnswer(LocalRegion, RemoteRegion, firstUnit(Now), Now);
  return Reservation &&
         Budget.trySpend(LocalRegion, RemoteRegion, RequestBytes, Now);
}

std::uint64_t LinkMeter::firstUnit(Instant Now) const {
  // With a small floor, less than a read unit can be spent at once; the rest of
  // the unit is spent in parts.
  return std::min(LimitedReadUnit,
                  Budget.largestSpend(RemoteRegion, LocalRegion, Now));
}

asio::awaitable<bool> LinkMeter::begin(std::uint64_t RequestBytes) {
  if (!Limited)
    co_return true;
  const Instant StartedAt = AttemptTiming.Clock();
  const Instant Until =
      std::min(AttemptTiming.Deadline, StartedAt + MaxFirstWait);
  // All tokens are spent at once or none, so that waiting requests do not spend
  // tokens that they cannot use and that others need. Only bytes beyond the
  // largest possible spend are spent in parts.
  const std::uint64_t AtOnce = std::min(
      RequestBytes, Budget.largestSpend(LocalRegion, RemoteRegion, StartedAt));
  asio::steady_timer Timer(Io);
  for (Instant Now = StartedAt; !tryBegin(AtOnce, Now);
       Now = AttemptTiming.Clock()) {
    const auto Wait =
        Reservation
            ? Budget.timeUntil(LocalRegion, RemoteRegion, AtOnce, Now)
            : Budget.timeUntil(RemoteRegion, LocalRegion, firstUnit(Now), Now);
    if (!Wait || Now + *Wait > Until)
      co_return false;
    Timer.expires_after(std::max(*Wait, MinWait));
    co_await Timer.async_wait(AsTuple);
  }
  const bool Sent =
      co_await spend(LocalRegion, RemoteRegion, RequestBytes - AtOnce);
  if (!Sent)
    co_return false;
  co_return co_await mayRead(0);
}

asio::awaitable<bool> LinkMeter::spend(RegionName From, RegionName To,
                                       std::uint64_t Bytes) {
  asio::steady_timer Timer(Io);
  while (Bytes > 0) {
    const Instant Now = AttemptTiming.Clock();
    Bytes -= Budget.spendUpTo(From, To, Bytes, Now);
    if (Bytes == 0)
      break;
    if (Now >= AttemptTiming.Deadline)
      co_return false;
    const std::uint64_t Next =
        std::min(Bytes, Budget.largestSpend(From, To, Now));
    const auto Wait = Budget.timeUntil(From, To, Next, Now);
    const Duration Left = AttemptTiming.Deadline - Now;
    Timer.expires_after(
        std::clamp(Wait.value_or(Left), MinWait, std::max(Left, MinWait)));
    co_await Timer.async_wait(AsTuple);
  }
  co_return true;
}

asio::awaitable<bool> LinkMeter::spendRequest(std::uint64_t Bytes) {
  if (!Limited)
    co_return true;
  co_return co_await spend(LocalRegion, RemoteRegion, Bytes);
}

asio::awaitable<bool> LinkMeter::mayRead(std::uint64_t Received) {
  ReceivedBytes = Received;
  const std::uint64_t PaidBytes =
      (Reservation ? Reservation->Bytes : 0) + SpentBeyondReservation;
  if (!Limited || Received + LimitedReadUnit <= PaidBytes)
    co_return true;
  const std::uint64_t Missing = Received + LimitedReadUnit - PaidBytes;
  if (!co_await spend(RemoteRegion, LocalRegion, Missing))
    co_return false;
  SpentBeyondReservation += Missing;
  co_return true;
}

} // namespace masticgap::entry
