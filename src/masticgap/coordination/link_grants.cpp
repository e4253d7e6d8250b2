#include "masticgap/coordination/link_grants.hpp"

#include "masticgap/coordination/link_limits.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Average time between two steps of all hosts together. A host's interval is
//! this multiplied by the configured maximum number of entry hosts.
constexpr Duration FleetStepInterval = std::chrono::milliseconds(15);

} // namespace

LinkGrants::LinkGrants(HostId Self, Incarnation Run, std::uint64_t Seed)
    : Owner{std::move(Self), Run}, Random(Seed),
      Growth(std::uniform_real_distribution<>(0, 1)(Random)) {}

std::vector<LinkGrantAction> LinkGrants::handle(const LinkGrantEvent &Event,
                                                Instant Now) {
  Actions.clear();
  std::visit([&](const auto &E) { on(E, Now); }, Event);
  run(Now);
  return std::exchange(Actions, {});
}

std::optional<Instant> LinkGrants::nextTick() const {
  std::optional<Instant> Next;
  for (const auto &[Pair, Lease] : Leases) {
    const auto Due = Lease.dueAt();
    if (Due && (!Next || *Due < *Next))
      Next = Due;
  }
  return Next;
}

void LinkGrants::on(const LinkConfigApplied &Event, Instant) {
  const ConfigDocument &Config = Event.Config;
  if (Config.Version < ConfigVersion)
    return;
  ConfigVersion = Config.Version;
  const std::uint32_t Hosts =
      std::max<std::uint32_t>(1, Config.Defaults.MaxEntryHosts);
  Growth.interval(FleetStepInterval * Hosts);
  for (const LinkCap &Cap : Config.Defaults.LinkCaps) {
    if (Cap.From == Cap.To)
      continue;
    const double Rate = bytesPerSecond(Cap);
    const RegionPair Pair{Cap.From, Cap.To};
    Leases.try_emplace(Pair, Pair)
        .first->second.setCap(
            {Config.Version, Rate, Rate * LinkFloorShare / Hosts});
  }
}

void LinkGrants::on(const LinkDemand &Event, Instant Now) {
  internal::LeaseContext Context = context();
  if (const auto It = Leases.find(Event.Pair); It != Leases.end())
    It->second.demand(Event, Context, Now);
}

void LinkGrants::on(const LinkTick &, Instant) {}

void LinkGrants::on(const StoreCommitted &Event, Instant Now) {
  internal::LeaseContext Context = context();
  if (auto *Lease = leaseOf(Event.CallId))
    Lease->onCommitted(Context, Now);
}

void LinkGrants::on(const StoreConflict &Event, Instant Now) {
  internal::LeaseContext Context = context();
  if (auto *Lease = leaseOf(Event.CallId))
    Lease->onConflict(Context, Now);
}

void LinkGrants::on(const StoreRow &Event, Instant Now) {
  internal::LeaseContext Context = context();
  if (auto *Lease = leaseOf(Event.CallId))
    Lease->onRow(Event, Context, Now);
}

void LinkGrants::on(const StoreLost &Event, Instant Now) {
  internal::LeaseContext Context = context();
  if (auto *Lease = leaseOf(Event.CallId))
    Lease->onLost(Context, Now);
}

internal::LeaseContext LinkGrants::context() {
  return {Owner, Random, Growth, NextCallId, Actions};
}

internal::PairLease *LinkGrants::leaseOf(std::uint64_t CallId) {
  for (auto &[Pair, Lease] : Leases)
    if (Lease.isCall(CallId))
      return &Lease;
  return nullptr;
}

void LinkGrants::run(Instant Now) {
  internal::LeaseContext Context = context();
  for (auto &[Pair, Lease] : Leases) {
    if (Lease.isOverdue(Now))
      Lease.onLost(Context, Now);
    if (!Lease.isCalling() && Lease.dueAt() && *Lease.dueAt() <= Now)
      Lease.startRead(Context, Now);
  }
}

} // namespace masticgap::coordination
