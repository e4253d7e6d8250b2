#pragma once

#include "masticgap/coordination/link_grant_row.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <utility>

namespace masticgap::coordination::internal {

//! Maximum number of holders of one row; further hosts use their floors. It
//! bounds the renewals: 12 rows (4 regions) with 32 holders each cause 77
//! writes/s at one renewal per 5 s.
inline constexpr std::size_t MaxHoldersPerRow = 32;

//! Identity that a host writes into grant rows.
struct LeaseOwner {
  HostId Self;
  Incarnation Run;

  bool owns(const LinkGrantEntry &E) const {
    return E.Holder == Self && E.Run == Run;
  }
};

//! Returns the max-min fair share of Capacity for the first entry of Wants.
//! \param Wants requested rates; the first one is this host's.
double fairShare(double Capacity, std::span<const double> Wants);

//! Records since when the sequence number of each entry has been unchanged, by
//! the local clock only.
class EntryObserver {
public:
  //! Records the entries of a row that was just read.
  void observe(std::span<const LinkGrantEntry> Entries, Instant Now);
  //! Returns whether the holder's lease has certainly ended.
  bool ended(const LinkGrantEntry &E, Instant Now) const;

private:
  struct Observation {
    std::uint64_t Sequence = 0;
    Instant Since{};
  };
  std::map<std::pair<HostId, Incarnation>, Observation> Entries;
};

//! Request of a holder, the input of planGrant() besides the row.
struct GrantRequest {
  double Wanted = 0;   //!< Bytes per second; 0 releases the grant.
  double Leasable = 0; //!< Bytes per second available to all grants.
  //! This host's rate in the row, scaled to the cap in force. The holder may
  //! keep it even when others still hold too much after the cap was lowered.
  double RetainedRate = 0;
};

//! Rate that the owner may write into the row, and the entries of other holders
//! that remain in it.
struct GrantPlan {
  double Rate = 0;
  //! Fair share; above Rate while others still hold part of it.
  double Target = 0;
  bool RowFull = false; //!< The row has no space for another holder.
  std::vector<LinkGrantEntry> Others;
};

//! Computes the next write to a row.
GrantPlan planGrant(const LinkGrantRow &Row, const LeaseOwner &Owner,
                    const EntryObserver &Observer, const GrantRequest &Request,
                    Instant Now);

} // namespace masticgap::coordination::internal
