#include "masticgap/coordination/link_budget.hpp"

#include "masticgap/coordination/link_limits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

namespace masticgap::coordination {

namespace {

constexpr std::uint64_t Unlimited = std::numeric_limits<std::uint64_t>::max();

double floorOf(double Cap, std::uint32_t MaxEntryHosts) {
  return Cap * LinkFloorShare / std::max<std::uint32_t>(1, MaxEntryHosts);
}

std::uint64_t wholeBytes(double Bytes) {
  return static_cast<std::uint64_t>(std::max(0.0, std::floor(Bytes)));
}

} // namespace

void LinkBudget::apply(const ConfigDocument &Config, Instant Now) {
  if (Config.Version < ConfigVersion)
    return;
  ConfigVersion = Config.Version;
  MaxEntryHosts = Config.Defaults.MaxEntryHosts;
  std::map<RegionPair, Entry> Kept;
  for (const LinkCap &Cap : Config.Defaults.LinkCaps) {
    if (Cap.From == Cap.To)
      continue;
    const RegionPair Pair{Cap.From, Cap.To};
    Entry &E = Kept[Pair];
    if (const auto It = Entries.find(Pair); It != Entries.end())
      E = It->second;
    if (E.CapVersion > Config.Version)
      continue;
    E.CapVersion = Config.Version;
    const double Rate = bytesPerSecond(Cap);
    E.Bucket.setCap(Rate, floorOf(Rate, MaxEntryHosts), Now);
  }
  Entries = std::move(Kept);
}

void LinkBudget::apply(const LinkCapSeen &Seen, Instant Now) {
  Entry *E = find(Seen.Pair.From, Seen.Pair.To);
  if (E == nullptr || Seen.ConfigVersion <= E->CapVersion ||
      Seen.CapBytesPerSecond >= E->Bucket.cap())
    return;
  E->CapVersion = Seen.ConfigVersion;
  E->Bucket.setCap(Seen.CapBytesPerSecond,
                   floorOf(Seen.CapBytesPerSecond, MaxEntryHosts), Now);
}

void LinkBudget::grant(const LinkGrant &Grant, Instant Now) {
  if (Entry *E = find(Grant.Pair.From, Grant.Pair.To))
    E->Bucket.setGrant(Grant, Now);
}

bool LinkBudget::spend(Entry &E, std::uint64_t Bytes, Instant Now) {
  if (!E.Bucket.take(static_cast<double>(Bytes), Now)) {
    E.Limited = true;
    return false;
  }
  E.SpentBytes += static_cast<double>(Bytes);
  return true;
}

bool LinkBudget::trySpend(const RegionName &From, const RegionName &To,
                          std::uint64_t Bytes, Instant Now) {
  Entry *E = find(From, To);
  return E == nullptr || spend(*E, Bytes, Now);
}

std::uint64_t LinkBudget::spendUpTo(const RegionName &From,
                                    const RegionName &To, std::uint64_t Wanted,
                                    Instant Now) {
  Entry *E = find(From, To);
  if (E == nullptr)
    return Wanted;
  const std::uint64_t Bytes =
      std::min(Wanted, wholeBytes(E->Bucket.available(Now)));
  if (Bytes < Wanted)
    E->Limited = true;
  return Bytes > 0 && spend(*E, Bytes, Now) ? Bytes : 0;
}

std::optional<LinkReservation> LinkBudget::reserveAnswer(const RegionName &From,
                                                         const RegionName &To,
                                                         std::uint64_t Bytes,
                                                         Instant Now) {
  const LinkReservation Reservation{RegionPair{To, From}, Bytes};
  Entry *E = find(To, From);
  if (E == nullptr)
    return Reservation;
  if (!E->Bucket.reserve(static_cast<double>(Bytes), Now)) {
    E->Limited = true;
    return std::nullopt;
  }
  return Reservation;
}

std::uint64_t LinkBudget::settle(const LinkReservation &Reservation,
                                 std::uint64_t Used, Instant Now) {
  Entry *E = find(Reservation.Pair.From, Reservation.Pair.To);
  if (E == nullptr)
    return 0;
  const std::uint64_t Covered = std::min(Used, Reservation.Bytes);
  E->Bucket.release(static_cast<double>(Reservation.Bytes),
                    static_cast<double>(Covered), Now);
  E->SpentBytes += static_cast<double>(Covered);
  return Used - Covered;
}

std::optional<Duration> LinkBudget::timeUntil(const RegionName &From,
                                              const RegionName &To,
                                              std::uint64_t Bytes,
                                              Instant Now) {
  Entry *E = find(From, To);
  if (E == nullptr)
    return Duration(0);
  return E->Bucket.timeUntil(static_cast<double>(Bytes), Now);
}

std::uint64_t LinkBudget::largestSpend(const RegionName &From,
                                       const RegionName &To,
                                       Instant Now) const {
  const Entry *E = find(From, To);
  return E == nullptr ? Unlimited : wholeBytes(E->Bucket.largestTake(Now));
}

double LinkBudget::usableRate(const RegionName &From, const RegionName &To,
                              Instant Now) const {
  const Entry *E = find(From, To);
  return E == nullptr ? std::numeric_limits<double>::infinity()
                      : E->Bucket.rate(Now);
}

std::vector<LinkDemand> LinkBudget::takeDemand(Instant Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - DemandSince).count();
  if (Seconds <= 0)
    return {};
  DemandSince = Now;
  std::vector<LinkDemand> Demands;
  for (auto &[Pair, E] : Entries) {
    Demands.push_back({Pair, E.SpentBytes / Seconds, E.Limited});
    E.SpentBytes = 0;
    E.Limited = false;
  }
  return Demands;
}

LinkBudget::Entry *LinkBudget::find(const RegionName &From,
                                    const RegionName &To) {
  const auto It = Entries.find(RegionPair{From, To});
  return It == Entries.end() ? nullptr : &It->second;
}

const LinkBudget::Entry *LinkBudget::find(const RegionName &From,
                                          const RegionName &To) const {
  const auto It = Entries.find(RegionPair{From, To});
  return It == Entries.end() ? nullptr : &It->second;
}

} // namespace masticgap::coordination
