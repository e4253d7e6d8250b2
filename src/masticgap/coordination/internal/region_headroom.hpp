#pragma once

#include "masticgap/coordination/internal/decaying_mean.hpp"
#include "masticgap/coordination/load_report.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <optional>

namespace masticgap::coordination::internal {

//! Age from which a report is no longer used.
inline constexpr Duration ReportLifetime = std::chrono::seconds(5);
//! Time over which a region that becomes available again ramps up to its full
//! share.
inline constexpr Duration ReturnRamp = std::chrono::seconds(10);
//! Share of the proved free slots that all hosts outside a region may use. The
//! rest covers growth of the region's own traffic while reports are in transit.
inline constexpr double SpillShare = 0.5;

//! Rank of a host among the hosts that share a region's headroom.
struct HeadroomRank {
  unsigned Rank = 0;  //!< 0 is the first host.
  unsigned Hosts = 0; //!< Number of hosts that share; 0 while it is unknown.
};

//! Returns how many of Total slots the host with a rank may use, as an integer.
//! The sum over all ranks is at most the largest Total that any host sees.
unsigned rankedShare(unsigned Total, const HeadroomRank &Rank);

//! Load of one region and this host's requests in it, for one service.
class RegionHeadroom {
public:
  void observe(const RegionLoad &L, Instant Now);
  void setRank(const HeadroomRank &R) { Rank = R; }
  //! Returns whether the host has a rank; without one it gets no share.
  bool isRanked() const { return Rank.Hosts > 0; }
  void started(Instant Now);
  void finished(Instant Now);
  void refusedFull(Instant Now);
  //! Records a choice of the region, granted or denied for lack of capacity.
  void chosen(bool Granted);
  //! Returns the share of recent choices that were denied.
  double deniedShare() const { return DeniedShare; }

  //! Returns whether the last report is younger than ReportLifetime.
  bool fresh(Instant Now) const;
  //! Returns whether fresh reports show that no worker of the region accepts
  //! work.
  bool dead(Instant Now) const;
  //! Returns whether fresh reports or a recent refusal show that all slots are
  //! in use.
  bool full(Instant Now) const;
  //! Returns the slots in use as a share of all slots, by the last report.
  std::optional<double> utilization(Instant Now) const;
  //! Returns whether this host may send one more request to the region. The
  //! limit is its usual number there in the last report lifetime, plus its
  //! share of free slots: a report can be that old, and what the host added
  //! since is not in it.
  bool hasCapacity(Instant Now) const;
  //! Returns the free slots that fresh reports prove. The number falls linearly
  //! to 0 with the age of the report, and rises linearly within ReturnRamp
  //! after the region became available again.
  double provedFree(Instant Now) const;

private:
  //! Returns the share of its usual requests that this host withdraws now.
  double withdrawnShare(Instant Now) const;

  RegionLoad Load;
  std::optional<Instant> ObservedAt;
  std::optional<Instant> ReturnedAt;
  std::optional<Instant> RefusedAt;
  HeadroomRank Rank;
  unsigned InFlight = 0;
  DecayingMean UsualInFlight{ReportLifetime};
  double DeniedShare = 0;
};

} // namespace masticgap::coordination::internal
