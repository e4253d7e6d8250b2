#pragma once

#include "masticgap/coordination/internal/link_bucket.hpp"
#include "masticgap/coordination/link_grant.hpp"
#include "masticgap/coordination/region_pair.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace masticgap::coordination {

//! Bytes reserved for an answer, in the direction of the answer. It must be
//! settled exactly once.
struct LinkReservation {
  RegionPair Pair; //!< Direction of the answer.
  std::uint64_t Bytes = 0;
};

//! Spending side of link caps: one token bucket per directed region pair,
//! filled at the rate of the host's static floor plus its unexpired grant.
//!
//! The cap holds in any 100 ms summed over all hosts, because no bucket
//! spends more than 100 ms of its rate in any 100 ms (see
//! internal/link_bucket.hpp). Pairs
//! within a region and pairs without a configured cap are not limited.
//! One thread owns the object.
class LinkBudget {
public:
  //! Applies the caps and the floor divisor of a configuration. Lowered caps
  //! scale floors and outstanding grants down at once. A version older than the
  //! last one is ignored.
  void apply(const ConfigDocument &Config, Instant Now);

  //! Applies a cap from a grant row if it is lower and newer than that of the
  //! applied configuration.
  void apply(const LinkCapSeen &Seen, Instant Now);

  //! Replaces the pair's grant. Tokens of the new rate accrue from Now on.
  void grant(const LinkGrant &Grant, Instant Now);

  //! Spends all of Bytes or nothing. Never succeeds above largestSpend().
  //! \returns whether the bytes may be sent now.
  bool trySpend(const RegionName &From, const RegionName &To,
                std::uint64_t Bytes, Instant Now);

  //! Spends as much of Wanted as is available.
  //! \returns the number of bytes that may be sent or read now.
  std::uint64_t spendUpTo(const RegionName &From, const RegionName &To,
                          std::uint64_t Wanted, Instant Now);

  //! Reserves Bytes for the answer to a request from From to To; the answer
  //! spends the direction To to From.
  //! \returns std::nullopt when the reverse direction has too few tokens.
  std::optional<LinkReservation> reserveAnswer(const RegionName &From,
                                               const RegionName &To,
                                               std::uint64_t Bytes,
                                               Instant Now);

  //! Ends a reservation: Used bytes arrived, the rest is refunded.
  //! \returns how many of the Used bytes the reservation did not cover. The
  //! caller must spend them before it reads them.
  std::uint64_t settle(const LinkReservation &Reservation, std::uint64_t Used,
                       Instant Now);

  //! Returns the time until Bytes may be spent if nothing else is spent before.
  //! A result of 100 ms means that the time is not known yet; call again after
  //! it.
  //! \returns std::nullopt when Bytes exceeds largestSpend(); the caller must
  //! split it.
  std::optional<Duration> timeUntil(const RegionName &From,
                                    const RegionName &To, std::uint64_t Bytes,
                                    Instant Now);

  //! Returns the maximum bytes of one spend, or the maximum of the type when
  //! the pair is not limited.
  std::uint64_t largestSpend(const RegionName &From, const RegionName &To,
                             Instant Now) const;

  //! Returns the sustained rate that the pair allows this host at Now, in bytes
  //! per second. Infinite when the pair is not limited.
  double usableRate(const RegionName &From, const RegionName &To,
                    Instant Now) const;

  //! Returns the demand per limited pair since the last call, for LinkGrants.
  std::vector<LinkDemand> takeDemand(Instant Now);

private:
  struct Entry {
    internal::LinkBucket Bucket;
    std::uint64_t CapVersion = 0;
    double SpentBytes = 0;
    bool Limited = false;
  };

  Entry *find(const RegionName &From, const RegionName &To);
  const Entry *find(const RegionName &From, const RegionName &To) const;
  static bool spend(Entry &E, std::uint64_t Bytes, Instant Now);

  std::map<RegionPair, Entry> Entries;
  std::uint64_t ConfigVersion = 0;
  std::uint32_t MaxEntryHosts = 1;
  Instant DemandSince{};
};

} // namespace masticgap::coordination
