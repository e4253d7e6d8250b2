#pragma once

#include "masticgap/coordination/hybrid_time.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/time.hpp"

namespace masticgap::coordination {

//! Hybrid logical clock of a process. It is anchored once at the start time
//! encoded in the incarnation and then follows the injected clock, so that a
//! step of the wall clock never moves it back.
class HybridClock {
public:
  //! \param Run incarnation of the process, whose start time is the anchor.
  //! \param StartTime time of the injected clock at that start.
  HybridClock(Incarnation Run, Instant StartTime);

  //! Returns the stamp of a local event or of a message to be sent.
  HybridTime stamp(Instant Now);

  //! Applies the stamp of a received message, so that all later stamps are
  //! greater.
  //! \returns false if the stamp is more than MaxAhead ahead of the local clock
  //! and was ignored.
  bool observe(const HybridTime &Remote, Instant Now);

  //! Returns the last stamp that was issued or observed.
  const HybridTime &last() const { return Last; }

  //! Greatest accepted lead of a received stamp. A stamp further ahead comes
  //! from a host with a wrong wall clock; accepting it would permanently move
  //! all clocks of the fleet ahead.
  static constexpr std::chrono::hours MaxAhead{1};

private:
  std::uint64_t physical(Instant Now) const;
  void advance(const HybridTime &AtLeast);

  std::uint64_t AnchorMicros;
  Instant Start;
  HybridTime Last;
};

} // namespace masticgap::coordination
