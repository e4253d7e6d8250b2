#include "masticgap/coordination/fleet/worker_directory.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Simultaneous removals are treated as an outage if they are at least
//! MassRemovalMinCount and at least one in MassRemovalDivisor of all workers.
constexpr std::size_t MassRemovalMinCount = 4;
constexpr std::size_t MassRemovalDivisor = 4;
//! Maximum number of leaving incarnations that are stored. The one with the
//! lowest worker id is discarded first.
constexpr std::size_t MaxLeftIncarnations = 8192;
//! Maximum number of ended incarnations that are stored, one for each worker.
//! The one of the earliest era is discarded first.
constexpr std::size_t MaxEnded = 8192;

} // namespace

bool WorkerDirectory::recordRegistration(const WorkerRegistration &Entry,
                                         Instant Now, Duration Age) {
  const WorkerId &Id = Entry.Worker.Id;
  const auto EndedIt = Ended.find(Id);
  if (EndedIt != Ended.end() && Entry.Worker.Run <= EndedIt->second.Run) {
    if (Era > EndedIt->second.Era)
      return false;
    // Within one era a later write shows that the worker is back.
    if (Entry.Worker.Run == EndedIt->second.Run)
      Ended.erase(EndedIt);
  }
  Incarnation &NewestRun = Newest[Id];
  if (Entry.Worker.Run < NewestRun)
    return false;
  NewestRun = Entry.Worker.Run;
  const auto WorkerIt = Workers.find(Id);
  const bool SameIncarnation = WorkerIt != Workers.end() &&
                               WorkerIt->second.Worker.Run == Entry.Worker.Run;
  KnownWorker State = SameIncarnation ? WorkerIt->second : KnownWorker();
  if (!SameIncarnation)
    State.StartedAt = Now - std::max(Age, Duration(0));
  State.Worker = Entry.Worker;
  State.LapsedUntil.reset();
  State.ColdUntil = std::max(State.ColdUntil, Now + Entry.ColdDuration);
  if (Entry.Worker.Leaving)
    addLeavingRun(Id, Entry.Worker.Run);
  State.Worker.Leaving = LeavingRuns.contains({Id, Entry.Worker.Run});
  if (State.Worker.Leaving)
    addEnded(Id, {Entry.Worker.Run, Era});
  Workers.assign(Id, std::move(State));
  return true;
}

void WorkerDirectory::recordRemovals(const std::vector<WorkerId> &Ids,
                                     Duration LapseGrace, Instant Now) {
  const bool IsMassRemoval = Ids.size() >= MassRemovalMinCount &&
                             Ids.size() * MassRemovalDivisor >= Workers.size();
  const Duration Grace = std::max(
      LapseGrace, IsMassRemoval ? Timing.MassRemovalGrace : Duration(0));
  for (const WorkerId &Id : Ids) {
    const auto WorkerIt = Workers.find(Id);
    if (WorkerIt == Workers.end())
      continue;
    KnownWorker &State = WorkerIt->second;
    if (LapseGrace == Duration(0) || State.Worker.Leaving)
      addEnded(Id, {State.Worker.Run, Era});
    if (Grace > Duration(0) && !State.Worker.Leaving) {
      State.LapsedUntil =
          std::min(State.LapsedUntil.value_or(Now + Grace), Now + Grace);
      continue;
    }
    Workers.erase(WorkerIt);
  }
}

void WorkerDirectory::setEvacuated(std::set<FailureDomainName> Domains,
                                   const ColdDurationFunction &Cold,
                                   Instant Now) {
  for (auto &[Id, State] : Workers) {
    const FailureDomainName &Domain = State.Worker.Domain;
    if (Evacuated.contains(Domain) && !Domains.contains(Domain))
      State.ColdUntil =
          std::max(State.ColdUntil, Now + Cold(State.Worker.Service));
  }
  Evacuated = std::move(Domains);
}

void WorkerDirectory::suspectRestart(const WorkerId &Id, Duration ColdDuration,
                                     Instant Now) {
  const auto WorkerIt = Workers.find(Id);
  if (WorkerIt != Workers.end())
    WorkerIt->second.ColdUntil =
        std::max(WorkerIt->second.ColdUntil, Now + ColdDuration);
}

void WorkerDirectory::addLeavingRun(const WorkerId &Id, Incarnation Run) {
  LeavingRuns.emplace(Id, Run);
  if (LeavingRuns.size() > MaxLeftIncarnations)
    LeavingRuns.erase(LeavingRuns.begin());
}

bool WorkerDirectory::recordLeaving(const WorkerId &Id, Incarnation Run) {
  if (LeavingRuns.contains({Id, Run}))
    return false;
  addLeavingRun(Id, Run);
  addEnded(Id, {Run, Era});
  const auto WorkerIt = Workers.find(Id);
  if (WorkerIt != Workers.end() && WorkerIt->second.Worker.Run == Run)
    WorkerIt->second.Worker.Leaving = true;
  return true;
}

void WorkerDirectory::recordMisdirected(const WorkerId &Id, Incarnation Run) {
  const auto WorkerIt = Workers.find(Id);
  if (WorkerIt != Workers.end() && WorkerIt->second.Worker.Run == Run)
    Workers.erase(WorkerIt);
}

void WorkerDirectory::recordDefiniteRemoval(const WorkerId &Id) {
  const auto WorkerIt = Workers.find(Id);
  if (WorkerIt == Workers.end() || !WorkerIt->second.LapsedUntil)
    return;
  addEnded(Id, {WorkerIt->second.Worker.Run, Era});
  Workers.erase(WorkerIt);
}

void WorkerDirectory::addEnded(const WorkerId &Id,
                               const EndedIncarnation &New) {
  const auto [EndedIt, Added] = Ended.try_emplace(Id, New);
  // A later era does not replace an earlier one: the incarnation stays ended
  // from then on.
  if (!Added && New.Run > EndedIt->second.Run)
    EndedIt->second = New;
  if (Ended.size() > MaxEnded)
    Ended.erase(std::ranges::min_element(
        Ended, {}, [](const auto &Entry) { return Entry.second.Era; }));
}

bool WorkerDirectory::recordEnded(const WorkerId &Id,
                                  const EndedIncarnation &EndedRun) {
  addEnded(Id, EndedRun);
  const auto WorkerIt = Workers.find(Id);
  if (WorkerIt == Workers.end() || EndedRun.Era >= Era ||
      WorkerIt->second.Worker.Run > EndedRun.Run)
    return false;
  Workers.erase(WorkerIt);
  return true;
}

std::vector<WorkerId> WorkerDirectory::expire(Instant Now) {
  std::vector<WorkerId> Dropped;
  Workers.eraseIf([&](const auto &Entry) {
    const auto &LapsedUntil = Entry.second.LapsedUntil;
    const bool GraceOver = LapsedUntil && Now >= *LapsedUntil;
    if (GraceOver)
      Dropped.push_back(Entry.first);
    return GraceOver;
  });
  return Dropped;
}

WorkerExclusion WorkerDirectory::exclusion(const KnownWorker &State,
                                           Instant Now) const {
  if (State.LapsedUntil && Now >= *State.LapsedUntil)
    return WorkerExclusion::Gone;
  if (State.Worker.Leaving)
    return WorkerExclusion::Leaving;
  if (Evacuated.contains(State.Worker.Domain))
    return WorkerExclusion::Evacuated;
  return WorkerExclusion::None;
}

const KnownWorker *WorkerDirectory::find(const WorkerId &Id) const {
  const auto WorkerIt = Workers.find(Id);
  return WorkerIt == Workers.end() ? nullptr : &WorkerIt->second;
}

} // namespace masticgap::coordination
