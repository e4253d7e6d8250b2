#pragma once

#include "masticgap/coordination/internal/decaying_mean.hpp"
#include "masticgap/coordination/load_report.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <optional>

namespace masticgap::coordination::internal {

//! Age at which a report proves nothing any more.
inline constexpr Duration ReportLifetime = std::chrono::seconds(5);
//! Time over which a region that comes back gets its whole share again.
inline constexpr Duration ReturnRamp = std::chrono::seconds(10);
//! Share of the proved free slots that all hosts outside a region may take; the
//! rest is left to the region's own growth while reports are on their way.
inline constexpr double SpillShare = 0.5;

//! Place of a host among the hosts that share a region's headroom.
struct HeadroomRank {
  unsigned Rank = 0;  //!< 0 is the first host.
  unsigned Hosts = 0; //!< Hosts that share; 0 while they are not known.
};

//! Whole slots of Total that the host with a rank may take. The sum over all
//! ranks is at most the largest Total that any host sees.
unsigned rankedShare(unsigned Total, const HeadroomRank &Rank);

//! One region's load and the host's own requests in it, for one service.
class RegionHeadroom {
public:
  void observe(const RegionLoad &L, Instant Now);
  void rank(const HeadroomRank &R) { Rank = R; }
  //! Without a rank the host takes no share.
  bool isRanked() const { return Rank.Hosts > 0; }
  void started(Instant Now);
  void finished(Instant Now);
  void refusedFull(Instant Now);
  //! Counts a choice of the region, granted or turned down for lack of room.
  void chosen(bool Granted);
  //! Share of the recent choices that were turned down.
  double deniedShare() const { return DeniedShare; }

  //! Whether a report is fresh enough to prove something.
  bool fresh(Instant Now) const;
  //! Fresh reports say that the region has no worker that takes work.
  bool dead(Instant Now) const;
  //! Fresh reports or a recent refusal say that all slots are in use.
  bool full(Instant Now) const;
  //! Slots in use of all slots by the last report.
  std::optional<double> utilization(Instant Now) const;
  //! Whether this host may have one more request in the region. The limit is
  //! what it usually had there during the last report lifetime, plus its share
  //! of free slots: a report can be that old, and what the host added since is
  //! not in it.
  bool hasCapacity(Instant Now) const;
  //! Free slots that fresh reports prove, less the older they are and the
  //! shorter the region is back.
  double provedFree(Instant Now) const;

private:
  double yieldShare(Instant Now) const;

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
