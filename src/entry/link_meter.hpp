#pragma once

#include "masticgap/coordination/link_budget.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace masticgap::entry {

//! Spends the link tokens of one attempt: those for the request before it is
//! sent, those for the answer before it is read. The destructor settles the
//! reservation.
class LinkMeter {
public:
  //! Bytes of an answer that are read at once over a limited link.
  static constexpr std::uint64_t LimitedReadUnit = 8 * 1024;
  static constexpr std::uint64_t ReadUnit = 64 * 1024;

  //! Clock and deadline of the attempt.
  struct Timing {
    std::function<Instant()> Clock;
    Instant Deadline;
  };

  LinkMeter(boost::asio::io_context &Io, coordination::LinkBudget &Budget,
            RegionName Local, RegionName Peer, Timing AttemptTiming);
  ~LinkMeter();
  LinkMeter(const LinkMeter &) = delete;
  LinkMeter &operator=(const LinkMeter &) = delete;

  //! Longest time that begin() waits for tokens.
  static constexpr Duration MaxFirstWait = std::chrono::milliseconds(100);

  //! Spends tokens for the request and reserves the first part of the answer.
  //! Waits up to MaxFirstWait, so that a burst is delayed instead of refused.
  //! \returns false when the link has no capacity.
  boost::asio::awaitable<bool> begin(std::uint64_t RequestBytes);

  //! Waits for tokens for further bytes of the request.
  //! \returns false when the deadline passed first.
  boost::asio::awaitable<bool> spendRequest(std::uint64_t Bytes);

  //! Waits until another unit of the answer may be read.
  //! \param Received bytes of the answer so far.
  //! \returns false when the deadline passed first.
  boost::asio::awaitable<bool> mayRead(std::uint64_t Received);

  //! Returns the largest number of bytes to read at once.
  std::size_t readUnit() const { return Limited ? LimitedReadUnit : ReadUnit; }

  //! Records the bytes of the answer, with which the reservation is settled.
  void received(std::uint64_t Bytes) { ReceivedBytes = Bytes; }

private:
  std::uint64_t firstUnit(Instant Now) const;
  bool tryBegin(std::uint64_t RequestBytes, Instant Now);
  boost::asio::awaitable<bool> spend(RegionName From, RegionName To,
                                     std::uint64_t Bytes);

  boost::asio::io_context &Io;
  coordination::LinkBudget &Budget;
  RegionName LocalRegion;
  RegionName RemoteRegion;
  Timing AttemptTiming;
  bool Limited;
  std::optional<coordination::LinkReservation> Reservation;
  std::uint64_t SpentBeyondReservation = 0;
  std::uint64_t ReceivedBytes = 0;
};

} // namespace masticgap::entry
