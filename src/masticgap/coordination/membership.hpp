#pragma once

#include "masticgap/coordination/hybrid_clock.hpp"
#include "masticgap/coordination/membership_action.hpp"
#include "masticgap/coordination/membership_event.hpp"
#include "masticgap/coordination/membership_settings.hpp"

#include <cstddef>
#include <memory>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Gossip state machine (SWIM) for entry hosts with bounded rumor broadcast. It
//! does no I/O: events and the time go in, actions come out.
class Membership {
public:
  //! \param Settings own descriptor, seeds and limits.
  //! \param Clock clock of the process; it must outlive this object.
  //! \param Now time of the first probe.
  Membership(MembershipSettings Settings, HybridClock &Clock, Instant Now);
  ~Membership();
  Membership(Membership &&) noexcept;

  //! Handles one event. \returns what has to be done, in order.
  std::vector<MembershipAction> handle(const MembershipEvent &Event,
                                       Instant Now);

  //! When the next MembershipTimer event is due.
  Instant nextDeadline() const;

  //! Spreads a rumor urgently. A RumorSettled action reports the end, at once
  //! when there is no other live member. Spreading a known rumor renews it.
  std::vector<MembershipAction> spread(const Rumor &What, Instant Now);

  //! Announces that this member takes no new callers. It goes on as a member.
  std::vector<MembershipAction> planLeave(Instant Now);

  //! Announces the end of a planned stop. All later events are ignored.
  std::vector<MembershipAction> leave(Instant Now);

  //! Sets the own configuration version and at-most-once epoch; values smaller
  //! than the current ones are ignored.
  void setProgress(std::uint64_t ConfigVersion, std::uint64_t Epoch);

  //! Adds gossip endpoints that are probed until their hosts are known.
  void addSeeds(std::span<const Endpoint> Seeds);

  //! All known members by host id: this one, live, dead and left ones.
  std::span<const MemberRecord> members() const;

  //! The own record.
  const MemberRecord &self() const;

  //! Rumors that are still valid.
  std::vector<TimedRumor> rumors(Instant Now) const;

  //! Estimate of the memory held, in bytes.
  std::size_t stateBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace masticgap::coordination
