#include "masticgap/coordination/fleet_budget/cold_start_limiter.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <xxhash.h>

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Age at which a record belongs to an earlier cold phase.
constexpr Duration RecordLifetime = std::chrono::seconds(60);
//! Number of records above which old ones are removed.
constexpr std::size_t MaxRecords = 4096;

std::uint64_t hostHash(const HostId &Id) {
  return XXH3_64bits(Id.value().data(), Id.value().size());
}

} // namespace

ColdStartLimiter::ColdStartLimiter(const HostId &Self) : Self(Self) {}

Duration ColdStartLimiter::minInterval(double Rate, std::size_t Hosts) {
  const double Senders = static_cast<double>(
      std::min(maxSenders(Rate), std::max<std::size_t>(1, Hosts)));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.5, Senders / Rate)));
}

std::size_t ColdStartLimiter::maxSenders(double Rate) {
  return static_cast<std::size_t>(std::max(1.0, Rate));
}

ColdSend ColdStartLimiter::check(std::uint64_t Worker, double Rate,
                                 std::span<const HostId> Hosts,
                                 Instant Now) const {
  if (Rate <= 0)
    return ColdSend::NotNow;
  const std::uint64_t OwnHash = mixHashes(Worker, hostHash(Self));
  std::size_t HigherRanked = 0;
  for (const HostId &Host : Hosts)
    if (Host != Self && mixHashes(Worker, hostHash(Host)) > OwnHash)
      ++HigherRanked;
  if (HigherRanked >= maxSenders(Rate))
    return ColdSend::NotNow;
  const auto LastSentIt = LastSent.find(Worker);
  if (LastSentIt == LastSent.end())
    return ColdSend::Unseen;
  return Now - LastSentIt->second >= minInterval(Rate, Hosts.size())
             ? ColdSend::Allowed
             : ColdSend::NotNow;
}

void ColdStartLimiter::recordSeen(std::uint64_t Worker, double Rate,
                                  std::size_t Hosts, Instant Now) {
  if (LastSent.contains(Worker))
    return;
  if (LastSent.size() >= MaxRecords)
    std::erase_if(LastSent, [&](const auto &Entry) {
      return Entry.second + RecordLifetime < Now;
    });
  // A predecessor of this process may have sent a request just before.
  LastSent.emplace(Worker, Now - minInterval(Rate, Hosts) / 2);
}

bool ColdStartLimiter::maySend(std::uint64_t Worker, double Rate,
                               std::span<const HostId> Hosts, Instant Now) {
  const ColdSend Result = check(Worker, Rate, Hosts, Now);
  if (Result == ColdSend::Unseen)
    recordSeen(Worker, Rate, Hosts.size(), Now);
  return Result == ColdSend::Allowed;
}

void ColdStartLimiter::recordSent(std::uint64_t Worker, Instant Now) {
  LastSent[Worker] = Now;
}

} // namespace masticgap::coordination
