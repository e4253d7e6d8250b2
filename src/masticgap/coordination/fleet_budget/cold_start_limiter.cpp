#include "masticgap/coordination/fleet_budget/cold_start_limiter.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <xxhash.h>

#include <algorithm>

namespace masticgap::coordination {

namespace {

//! Records older than this belong to an earlier cold phase.
constexpr Duration Forget = std::chrono::seconds(60);
//! Records in memory.
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
  const auto Allowed = static_cast<std::size_t>(std::max(1.0, Rate));
  const std::uint64_t Own = mixHashes(Worker, hostHash(Self));
  std::size_t Before = 0;
  for (const HostId &Each : Hosts)
    if (Each != Self && mixHashes(Worker, hostHash(Each)) > Own)
      ++Before;
  if (Before >= Allowed)
    return false;
  const double Senders = static_cast<double>(
      std::min(Allowed, std::max<std::size_t>(1, Hosts.size())));
  const auto Distance = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::max(0.5, Senders / Rate)));
  auto Found = LastSent.find(Worker);
  if (Found == LastSent.end()) {
    if (LastSent.size() >= MaxRecords)
      std::erase_if(LastSent, [&](const auto &Entry) {
        return Entry.second + Forget < Now;
      });
    // A predecessor of this process may have sent just now.
    Found = LastSent.emplace(Worker, Now - Distance / 2).first;
  }
  return Now - Found->second >= Distance;
}

void ColdStartLimiter::recordSent(std::uint64_t Worker, Instant Now) {
  LastSent[Worker] = Now;
}

} // namespace masticgap::coordination
