#pragma once

#include "masticgap/coordination/internal/pair_lease.hpp"
#include "masticgap/coordination/internal/step_pacer.hpp"
#include "masticgap/coordination/link_grant.hpp"
#include "masticgap/coordination/link_grant_action.hpp"
#include "masticgap/coordination/region_pair.hpp"
#include "masticgap/coordination/store_types.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! A configuration came into force on this host.
struct LinkConfigApplied {
  ConfigDocument Config;
};

//! Timer event, due at LinkGrants::nextTick().
struct LinkTick {};

//! Input of LinkGrants.
using LinkGrantEvent =
    std::variant<LinkConfigApplied, LinkDemand, LinkTick, StoreCommitted,
                 StoreConflict, StoreRow, StoreLost>;

//! Lease side of link caps: obtains, renews and releases grants by conditional
//! writes to one row per directed pair in the store.
//!
//! Only pairs with demand above the floor cause store calls. Renewals are
//! bounded by the number of holders that a row may have. All other steps are
//! paced by the configured maximum number of entry hosts: all hosts together
//! take 67 steps per second, each with one read and at most one write.
class LinkGrants {
public:
  LinkGrants(HostId Self, Incarnation Run, std::uint64_t Seed);

  //! Handles an event.
  //! \returns the actions to carry out now. Each store call must be answered by
  //! an event with its CallId: StoreLost after a transport time-out.
  std::vector<LinkGrantAction> handle(const LinkGrantEvent &Event, Instant Now);

  //! Returns when the next LinkTick is due, if any.
  std::optional<Instant> nextTick() const;

private:
  void on(const LinkConfigApplied &Event, Instant Now);
  void on(const LinkDemand &Event, Instant Now);
  void on(const LinkTick &Event, Instant Now);
  void on(const StoreCommitted &Event, Instant Now);
  void on(const StoreConflict &Event, Instant Now);
  void on(const StoreRow &Event, Instant Now);
  void on(const StoreLost &Event, Instant Now);
  internal::LeaseContext context();
  internal::PairLease *leaseOf(std::uint64_t CallId);
  void run(Instant Now);

  internal::LeaseOwner Owner;
  std::mt19937_64 Random;
  std::map<RegionPair, internal::PairLease> Leases;
  internal::StepPacer Growth;
  std::uint64_t ConfigVersion = 0;
  std::uint64_t NextCallId = 1;
  std::vector<LinkGrantAction> Actions;
};

} // namespace masticgap::coordination
