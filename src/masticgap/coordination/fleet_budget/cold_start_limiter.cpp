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

bool ColdStartLimiter::maySend(std::uint64_t Worker, double Rate,
                               std::span<const HostId> Hosts, Instant Now) {
  if (Rate <= 0)
    return false;
  const auto MaxSenders = static_cast<std::size_t>(std::max(1.0, Rate));
  const std::uint64_t OwnHash = mixHashes(Worker, hostHash(Self));
  std::size_t HigherRanked = 0;
  for (const HostId &Host : Hosts)
    if (Host != Self && mixHashes(Worker, hostHash(Host)) > OwnHash)
      ++HigherRanked;
  if (HigherRanked >= MaxSenders)
    return false;
  const double Senders = static_cast<double>(
      std::min(MaxSenders, std::max<std::size_t>(1, Hosts.size())));
  const auto MinInterval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.5, Senders / Rate)));
  auto LastSentIt = LastSent.find(Worker);
  if (LastSentIt == LastSent.end()) {
    if (LastSent.size() >= MaxRecords)
      std::erase_if(LastSent, [&](const auto &Entry) {
        return Entry.second + RecordLifetime < Now;
      });
    // A predecessor of this process may have sent a request just before.
    LastSentIt = LastSent.emplace(Worker, Now - MinInterval / 2).first;
  }
  return Now - LastSentIt->second >= MinInterval;
}

void ColdStartLimiter::recordSent(std::uint64_t Worker, Instant Now) {
  LastSent[Worker] = Now;
}

} // namespace masticgap::coordination
