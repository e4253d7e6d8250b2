#pragma once

#include "masticgap/coordination/link_grant.hpp"
#include "masticgap/state/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace masticgap::coordination::internal {

//! Length of the window over which a cap is enforced.
inline constexpr Duration LinkWindow = std::chrono::milliseconds(100);
//! Resolution of the window. Rounding to slots costs about 1 % of the rate.
inline constexpr Duration LinkSlot = std::chrono::milliseconds(1);

//! Division of a rate R such that no window carries more than R * window. The
//! part that does not accrue covers bytes that reach the link late: those of a
//! host that is paused between a spend and the send, and answers that are
//! outstanding when a grant ends. Accruing + (SpendSeconds + late answers in
//! seconds) / LinkWindow is at most 1.
struct RateSplit {
  double Accruing;     //!< Share of the rate that fills the bucket.
  double SpendSeconds; //!< Maximum of one spend, in seconds of the rate.
  //! Maximum of the reserved bytes, in seconds of the rate.
  double ReserveSeconds;
};

//! The leased 88 % of a cap times 0.98, less the loss through slots, is 85.4 %
//! of the cap. This meets the objective that one host can use 85 %. The sum of
//! RateSplit is 0.98 + 0.01 + 0.01.
inline constexpr RateSplit GrantSplit{0.98, 0.001, 0.001};
//! A floor is small, so a larger spend is needed for requests of a few
//! kilobytes. It is never transferred to another host, so its outstanding
//! answers are never late, and the sum of RateSplit is 0.90 + 0.10.
inline constexpr RateSplit FloorSplit{0.90, 0.010, 0.050};

//! Token bucket of one directed pair on one host.
//!
//! Tokens accrue at the rate in force and are dropped one window after they
//! accrued. At any time, the bytes spent within the last window plus the
//! reserved bytes do not exceed the tokens that accrued in it. A plain token
//! bucket with the same guarantee could hold only 3 ms of the rate, and an
//! event loop that is a few milliseconds late could not use the full rate.
class LinkBucket {
public:
  //! Sets cap and floor. Tokens above the new rate are dropped.
  void setCap(double CapBytesPerSecond, double FloorBytesPerSecond,
              Instant Now);
  //! Replaces the grant. Tokens above the new rate are dropped; a higher rate
  //! accrues from Now on.
  void setGrant(const LinkGrant &G, Instant Now);

  //! Spends Bytes if that many are available. \returns whether it did.
  bool take(double Bytes, Instant Now);
  //! Reserves Bytes for an answer. They count as spent until they are released,
  //! because they can arrive at any time.
  bool reserve(double Bytes, Instant Now);
  //! Ends a reservation of Bytes, of which Used arrived.
  void release(double Bytes, double Used, Instant Now);

  //! Returns how many bytes one spend may use at Now.
  double available(Instant Now);
  //! Returns the maximum number of bytes of one spend.
  double largestTake(Instant Now) const;
  //! Returns the time until Bytes are available, or std::nullopt if they never
  //! will be. A result of one window means that the time is not known yet; call
  //! again after it.
  std::optional<Duration> timeUntil(double Bytes, Instant Now);
  //! Returns the sustained rate at Now, in bytes per second.
  double rate(Instant Now) const;
  double cap() const { return Cap; }

private:
  //! Number of slots that a window overlaps.
  static constexpr std::size_t SlotCount = LinkWindow / LinkSlot + 1;
  using Slots = std::array<double, SlotCount>;

  static std::size_t slotOf(Instant At);
  double grantAt(Instant At) const;
  double weighted(double RateSplit::*Part, Instant At) const;
  void advance(Instant Now);
  void accrue(Instant From, Instant To);
  void spend(double Bytes, Instant Now);
  void enterSlot(std::size_t Slot);
  void dropTokensAbove(double Rate);
  void recomputeSums();
  double tokens() const;

  double Cap = 0;
  double Floor = 0;
  LinkGrant Grant;
  bool GrantEnded = true;
  Slots Accrued{};
  Slots Spent{};
  //! Time of the last spend of each slot.
  std::array<Instant, SlotCount> SpentAt{};
  double AccruedSum = 0;
  double SpentSum = 0;
  double Reserved = 0;
  Instant Updated{};
};

} // namespace masticgap::coordination::internal
