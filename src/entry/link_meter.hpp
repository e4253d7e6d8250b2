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

//! Link tokens of one attempt: spends for the request before it is sent and for
//! the answer before it is read. Ends the reservation when destroyed.
class LinkMeter {
public:
  //! Most bytes of an answer over a limited link that are read at once.
  static constexpr std::uint64_t LimitedReadUnit = 8 * 1024;
  static constexpr std::uint64_t ReadUnit = 64 * 1024;

  //! Times of the attempt.
  struct Timing {
    std::function<Instant()> Clock;
    Instant Deadline;
  };

  LinkMeter(boost::asio::io_context &Io, coordination::LinkBudget &Budget,
            RegionName Local, RegionName Peer, Timing AttemptTiming);
  ~LinkMeter();
  LinkMeter(const LinkMeter &) = delete;
  LinkMeter &operator=(const LinkMeter &) = delete;

  //! Longest wait for the first tokens of an attempt.
  static constexpr Duration MaxFirstWait = std::chrono::milliseconds(100);

  //! Spends for the request and reserves the first part of the answer; waits
  //! for a short time, so that a burst is smoothed instead of refused.
  //! \returns false when the link has no room.
  boost::asio::awaitable<bool> begin(std::uint64_t RequestBytes);

  //! Waits for tokens for more bytes of the request.
  //! \returns false when the deadline came first.
  boost::asio::awaitable<bool> spendRequest(std::uint64_t Bytes);

  //! Waits until another unit of the answer may be read.
  //! \param Received bytes of the answer so far.
  boost::asio::awaitable<bool> mayRead(std::uint64_t Received);

  //! Largest number of bytes to read at once.
  std::size_t readUnit() const { return Limited ? LimitedReadUnit : ReadUnit; }

  //! Notes the bytes of the answer, for the end of the reservation.
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
  std::uint64_t SpentBeyondReservation =
      0; //!< Bytes spent beyond the reservation.
  std::uint64_t ReceivedBytes = 0;
};

} // namespace masticgap::entry
