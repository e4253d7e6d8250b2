#include "masticgap/coordination/internal/region_headroom.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination::internal {

namespace {

//! Time for which a refusal as full overrides reports.
constexpr Duration RefusalLifetime = std::chrono::seconds(1);
//! Share of a region's slots that spilled requests leave free for the region's
//! callers.
constexpr double ReserveShare = 0.1;
//! Share of its usual requests that a host withdraws from a full region within
//! a report lifetime; with 5 s this is 4 % per second.
constexpr double MaxWithdrawnShare = 0.2;
//! Weight of one choice in the moving average of denied choices.
constexpr double ChoiceWeight = 0.05;

double ratio(Duration Part, Duration Full) {
  return std::clamp(static_cast<double>(Part.count()) /
                        static_cast<double>(Full.count()),
                    0.0, 1.0);
}

bool within(const std::optional<Instant> &At, Duration Window, Instant Now) {
  return At && Now - *At < Window;
}

} // namespace

unsigned rankedShare(unsigned Total, const HeadroomRank &Rank) {
  if (Rank.Hosts == 0 || Total <= Rank.Rank)
    return 0;
  return (Total - Rank.Rank + Rank.Hosts - 1) / Rank.Hosts;
}

void RegionHeadroom::observe(const RegionLoad &L, Instant Now) {
  // Workers without any fresh report say nothing about the load, but a region
  // without workers is certain.
  if (L.Slots > 0 && L.FreshShare <= 0)
    return;
  const bool WasUnavailable = !fresh(Now) || Load.Slots == 0;
  if (WasUnavailable && L.Slots > 0)
    ReturnedAt = Now;
  Load = L;
  ObservedAt = Now;
}

void RegionHeadroom::started(Instant Now) {
  UsualInFlight.record(++InFlight, Now);
}

void RegionHeadroom::finished(Instant Now) {
  if (InFlight > 0)
    UsualInFlight.record(--InFlight, Now);
}

void RegionHeadroom::refusedFull(Instant Now) { RefusedAt = Now; }

bool RegionHeadroom::fresh(Instant Now) const {
  return within(ObservedAt, ReportLifetime, Now);
}

bool RegionHeadroom::dead(Instant Now) const {
  return fresh(Now) && Load.Slots == 0;
}

bool RegionHeadroom::full(Instant Now) const {
  if (within(RefusedAt, RefusalLifetime, Now))
    return true;
  const double FreshSlots = Load.Slots * Load.FreshShare;
  // FreshSlots is a fraction, so less than half a slot counts as none.
  return fresh(Now) && FreshSlots - Load.InUse < 0.5;
}

std::optional<double> RegionHeadroom::utilization(Instant Now) const {
  const double FreshSlots = Load.Slots * Load.FreshShare;
  if (!fresh(Now) || FreshSlots <= 0)
    return std::nullopt;
  return Load.InUse / FreshSlots;
}

bool RegionHeadroom::hasCapacity(Instant Now) const {
  const double Spare = provedFree(Now) - Load.Slots * ReserveShare;
  const auto Spillable =
      static_cast<unsigned>(std::lround(std::max(0.0, Spare) * SpillShare));
  // Rounded to the nearest integer: if rounded down, a host whose mean is
  // slightly below one request would never be granted a second one.
  const auto Usual = static_cast<unsigned>(
      std::lround(UsualInFlight.mean(Now) * (1 - withdrawnShare(Now))));
  return InFlight < Usual + rankedShare(Spillable, Rank);
}

// Traffic is withdrawn gradually from a region that is nearly full or has no
// fresh report. Withdrawing at once on late reports and returning on the next
// ones would oscillate.
double RegionHeadroom::withdrawnShare(Instant Now) const {
  if (within(RefusedAt, RefusalLifetime, Now) || !fresh(Now) || Load.Slots == 0)
    return MaxWithdrawnShare;
  const double Reserve = Load.Slots * ReserveShare;
  const double Free = Load.Slots * Load.FreshShare - Load.InUse;
  return MaxWithdrawnShare * std::clamp((Reserve - Free) / Reserve, 0.0, 1.0);
}

void RegionHeadroom::chosen(bool Granted) {
  DeniedShare += ChoiceWeight * ((Granted ? 0 : 1) - DeniedShare);
}

double RegionHeadroom::provedFree(Instant Now) const {
  // A refusal contradicts the reports of its time.
  if (!fresh(Now) || within(RefusedAt, ReportLifetime, Now))
    return 0;
  const double Reported = Load.Slots * Load.FreshShare - Load.InUse;
  // A late report may not contain this host's own requests yet.
  const double NotUsedLocally = Load.Slots - UsualInFlight.mean(Now);
  const double Decay = 1 - ratio(Now - *ObservedAt, ReportLifetime);
  const double Ramp = ratio(Now - *ReturnedAt, ReturnRamp);
  return std::max(0.0, std::min(Reported, NotUsedLocally)) * Decay * Ramp;
}

} // namespace masticgap::coordination::internal
