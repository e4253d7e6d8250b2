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
//! does no I/O: it receives events and the time and returns actions.
class Membership {
public:
  //! \param Settings this host's descriptor, seeds and limits.
  //! \param Clock clock of the process; it must outlive this object.
  //! \param Now time of the first probe.
  Membership(MembershipSettings Settings, HybridClock &Clock, Instant Now);
  ~Membership();
  Membership(Membership &&) noexcept;

  //! Handles one event. \returns the actions to carry out, in order.
  std::vector<MembershipAction> handle(const MembershipEvent &Event,
                                       Instant Now);

  //! Returns when the next MembershipTimer event is due.
  Instant nextDeadline() const;

  //! Adds a rumor that gossip carries, without a spread.
  void share(const Rumor &What, Instant Now);

  //! Spreads a rumor urgently. A RumorSettled action reports the end of the
  //! spread, immediately when there is no other live member. Spreading a known
  //! rumor renews it.
  std::vector<MembershipAction> spread(const Rumor &What, Instant Now);

  //! Announces that this member accepts no new callers. It remains a member.
  std::vector<MembershipAction> planLeave(Instant Now);

  //! Announces the end of a planned stop. All later events are ignored.
  std::vector<MembershipAction> leave(Instant Now);

  //! Sets this member's configuration version and at-most-once epoch. Values
  //! smaller than the current ones are ignored.
  void setProgress(std::uint64_t ConfigVersion, std::uint64_t Epoch);

  //! Adds gossip endpoints, which are probed until their hosts are known.
  void addSeeds(std::span<const Endpoint> Seeds);

  //! Returns all known members by host id, including this one and dead or left
  //! ones.
  std::span<const MemberRecord> members() const;

  //! Returns this member's record.
  const MemberRecord &self() const;

  //! Returns the rumors that have not expired.
  std::vector<TimedRumor> rumors(Instant Now) const;

  //! Returns the estimated memory use, in bytes.
  std::size_t stateBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace masticgap::coordination
