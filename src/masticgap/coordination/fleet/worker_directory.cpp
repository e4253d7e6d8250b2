#include "masticgap/coordination/fleet/worker_directory.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Removals at once that look like an outage: at least this many, and at least
//! one in MassRemovalShare of all workers.
constexpr std::size_t MassRemovalLeast = 4;
constexpr std::size_t MassRemovalShare = 4;
//! Incarnations that left are remembered up to this number.
constexpr std::size_t MaxLeft = 8192;

} // namespace

bool WorkerDirectory::recordRegistration(const WorkerRegistration &Entry,
                                         Instant Now, bool Initial) {
  const WorkerId &Id = Entry.Worker.Id;
  Incarnation &Latest = Newest[Id];
  if (Entry.Worker.Run < Latest)
    return false;
  Latest = Entry.Worker.Run;
  const auto Found = Workers.find(Id);
  const bool Same =
      Found != Workers.end() && Found->second.Worker.Run == Entry.Worker.Run;
  KnownWorker Known = Same ? Found->second : KnownWorker();
  if (!Same) {
    Known.RegisteredAt = Now;
    Known.InFirstList = Initial;
  }
  Known.Worker = Entry.Worker;
  Known.LapsedUntil.reset();
  Known.ColdUntil = std::max(Known.ColdUntil, Now + Entry.ColdDuration);
  if (Entry.Worker.Leaving) {
    Left.emplace(Id, Entry.Worker.Run);
    if (Left.size() > MaxLeft)
      Left.erase(Left.begin());
  }
  Known.Worker.Leaving = Left.contains({Id, Entry.Worker.Run});
  Workers[Id] = std::move(Known);
  return true;
}

void WorkerDirectory::recordRemovals(const std::vector<WorkerId> &Ids,
                                     bool AfterOutage, Instant Now) {
  const bool Mass = Ids.size() >= MassRemovalLeast &&
                    Ids.size() * MassRemovalShare >= Workers.size();
  for (const WorkerId &Id : Ids) {
    const auto Found = Workers.find(Id);
    if (Found == Workers.end())
      continue;
    KnownWorker &Known = Found->second;
    if ((AfterOutage || Mass) && !Known.Worker.Leaving) {
      const Duration Grace =
          AfterOutage ? Timing.LapseGrace : Timing.MassRemovalGrace;
      if (!Known.LapsedUntil)
        Known.LapsedUntil = Now + Grace;
      continue;
    }
    Workers.erase(Found);
  }
}

void WorkerDirectory::setEvacuated(std::set<FailureDomainName> Domains,
                                   const ColdStart &Cold, Instant Now) {
  for (auto &[Id, Known] : Workers) {
    const FailureDomainName &Domain = Known.Worker.Domain;
    if (Evacuated.contains(Domain) && !Domains.contains(Domain))
      Known.ColdUntil =
          std::max(Known.ColdUntil, Now + Cold(Known.Worker.Service));
  }
  Evacuated = std::move(Domains);
}

void WorkerDirectory::suspectRestart(const WorkerId &Id, Duration ColdDuration,
                                     Instant Now) {
  const auto Found = Workers.find(Id);
  if (Found != Workers.end())
    Found->second.ColdUntil =
        std::max(Found->second.ColdUntil, Now + ColdDuration);
}

void WorkerDirectory::recordMisdirected(const WorkerId &Id, Incarnation Run) {
  const auto Found = Workers.find(Id);
  if (Found != Workers.end() && Found->second.Worker.Run == Run)
    Workers.erase(Found);
}

std::vector<WorkerId> WorkerDirectory::expire(Instant Now) {
  std::vector<WorkerId> Dropped;
  std::erase_if(Workers, [&](const auto &Entry) {
    const auto &Until = Entry.second.LapsedUntil;
    const bool Over = Until && Now >= *Until;
    if (Over)
      Dropped.push_back(Entry.first);
    return Over;
  });
  return Dropped;
}

WorkerExclusion WorkerDirectory::exclusion(const KnownWorker &Known,
                                           Instant Now) const {
  if (Known.LapsedUntil && Now >= *Known.LapsedUntil)
    return WorkerExclusion::Gone;
  if (Known.Worker.Leaving)
    return WorkerExclusion::Leaving;
  if (Evacuated.contains(Known.Worker.Domain))
    return WorkerExclusion::Evacuated;
  return WorkerExclusion::None;
}

const KnownWorker *WorkerDirectory::find(const WorkerId &Id) const {
  const auto Found = Workers.find(Id);
  return Found == Workers.end() ? nullptr : &Found->second;
}

} // namespace masticgap::coordination
