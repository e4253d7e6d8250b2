// Applies rows of the tables of the store.
#include "gateway/store_sync.hpp"

#include "masticgap/state/error.hpp"
#include "masticgap/transport/boot_clock.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::gateway {

using namespace coordination;

void StoreSync::recordRemovals(TableFeed &Feed,
                               std::span<const RowChange> Changes,
                               Duration LapseGrace) {
  for (const RowChange &Change : Changes)
    if (Change.Removed && LapseGrace > Duration(0))
      Feed.Follower.recordPossibleLapses(State.now() + LapseGrace);
    else if (Change.Removed)
      Feed.Follower.recordDefiniteRemovals(Change.Row.Version);
}

void StoreSync::apply(TableFeed &Feed, const std::vector<RowChange> &Changes,
                      std::string_view Source, Duration LapseGrace) {
  // A peer with a stable connection to the store sent changes, so the store is
  // available to it.
  if (Source != StoreSource && LapseGrace == Duration(0) && !Changes.empty())
    Feed.Follower.recordPeerChanges(State.now());
  recordRemovals(Feed, Changes, LapseGrace);
  RemovedWorkers.clear();
  EraStarted =
      Feed.Follower.table().version().Era > Feed.NewestChangeVersion.Era;
  if (EraStarted)
    startEra(Feed, Source);
  for (const RowChange &Change : Changes) {
    Feed.NewestChangeVersion =
        std::max(Feed.NewestChangeVersion, Change.Row.Version);
    if (Feed.Table == StoreTable::Operator)
      applyOperator(Change, Source);
    else
      applyWorker(Change);
  }
  if (!RemovedWorkers.empty()) {
    for (const WorkerId &Id : RemovedWorkers) {
      if (LapseGrace == Duration(0))
        State.Crashes.workerEnded(Id, std::nullopt, State.now());
      State.Log.write(
          LogClass::Decision, "worker_unregistered",
          {{"worker", Id.value()},
           {"lapse", LapseGrace > Duration(0)},
           {"grace_ms",
            std::chrono::ceil<std::chrono::milliseconds>(LapseGrace).count()},
           {"source", std::string(Source)},
           {"version", Feed.Follower.table().version().Version}});
    }
    State.Dispatch.directory().recordRemovals(RemovedWorkers, LapseGrace,
                                              State.now());
  }
  if (!Feed.Follower.isBehind(Feed.NewestOfPeers))
    Feed.BehindSince.reset();
  if (Changes.empty() && !EraStarted)
    return;
  OnChange();
  Exchange->notify();
}

void StoreSync::applyOperator(const RowChange &Change,
                              std::string_view Source) {
  const std::string &Key = Change.Row.Key;
  if (Change.Removed) {
    if (EvacuationsHeldUntil && State.now() < *EvacuationsHeldUntil)
      return; // tick() ends it if the operator does not write it again.
    if (Evacuations.erase(Key) == 0)
      return;
    State.Log.write(LogClass::Decision, "evacuation_ended",
                    {{"row", Key}, {"version", Change.Row.Version.Version}});
  } else {
    const Instant DecodeStart = State.now();
    const auto Decoded = Platform.Rows.Operator(Change.Row);
    if (const auto *Problem = std::get_if<Error>(&Decoded)) {
      State.Log.write(LogClass::Decision, "row_unreadable",
                      {{"row", Key},
                       {"error", describe(*Problem)},
                       {"version", Change.Row.Version.Version}});
      return;
    }
    const auto &Row = std::get<OperatorRow>(Decoded);
    if (const auto *NewConfig =
            std::get_if<std::shared_ptr<const TrafficConfig>>(&Row)) {
      if (State.Config && (*NewConfig)->Version <= State.Config->Version)
        return;
      adopt(*NewConfig);
      ConfigRow = Change.Row;
      State.Log.write(
          LogClass::Decision, "config_adopted",
          {{"version", (*NewConfig)->Version},
           {"routes", static_cast<std::uint64_t>((*NewConfig)->Routes.size())},
           {"bytes", static_cast<std::uint64_t>(Change.Row.Value.size())},
           {"decode_ms",
            std::chrono::duration<double, std::milli>(State.now() - DecodeStart)
                .count()},
           {"source", std::string(Source)},
           {"behind_ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                             behindFor(StoreTable::Operator))
                             .count()}});
      return;
    }
    const auto *Evacuated = std::get_if<Evacuation>(&Row);
    if (!Evacuated)
      return;
    Evacuations[Key] = {Evacuated->Domain, Change.Row.Value};
    State.Log.write(LogClass::Decision, "evacuation_started",
                    {{"domain", Evacuated->Domain.value()},
                     {"source", std::string(Source)},
                     {"version", Change.Row.Version.Version}});
  }
  updateEvacuated();
}

void StoreSync::updateEvacuated() {
  std::set<FailureDomainName> Domains;
  for (const auto &[Key, Row] : Evacuations)
    Domains.insert(Row.Domain);
  State.Dispatch.directory().setEvacuated(
      std::move(Domains),
      [this](const ServiceName &Service) {
        return State.Dispatch.coldStartDuration(Service);
      },
      State.now());
}

void StoreSync::adopt(std::shared_ptr<const TrafficConfig> New) {
  if (!New->Unreadable.empty() && State.Config) {
    auto Completed = std::make_shared<TrafficConfig>(*New);
    keepFormerEntries(*Completed, *State.Config);
    New = std::move(Completed);
  }
  for (const UnreadableEntry &Entry : New->Unreadable) {
    State.Stats.count("entries_unreadable", toString(Entry.Part));
    State.Log.write(LogClass::Decision, "entry_unreadable",
                    {{"part", std::string(toString(Entry.Part))},
                     {"name", Entry.Name},
                     {"error", Entry.Problem},
                     {"version", New->Version}});
  }
  State.adopt(std::move(New));
}

void StoreSync::applyWorker(const RowChange &Change) {
  const WorkerId Id(Change.Row.Key);
  if (Change.Removed) {
    RemovedWorkers.push_back(Id);
    return;
  }
  const auto Decoded = Platform.Rows.Worker(Change.Row);
  if (const auto *Problem = std::get_if<Error>(&Decoded)) {
    State.Dispatch.directory().recordUnreadable(Id);
    State.Log.write(LogClass::Decision, "row_unreadable",
                    {{"row", Id.value()},
                     {"error", describe(*Problem)},
                     {"version", Change.Row.Version.Version}});
    return;
  }
  const auto &Registration = std::get<WorkerRegistration>(Decoded);
  const Duration Age =
      Registration.StartTime
          ? std::chrono::milliseconds(transport::unixMilliseconds()) -
                *Registration.StartTime
          : Duration(0);
  const bool Accepted = State.Dispatch.directory().recordRegistration(
      Registration, State.now(), Age);
  if (Accepted)
    State.Crashes.workerEnded(Id, Registration.Worker.Run, State.now());
  const KnownWorker *Known = State.Dispatch.directory().find(Id);
  // The registration of the known incarnation is missing in the store's copy.
  if (EraStarted && Known && Registration.Worker.Run < Known->Worker.Run)
    RemovedWorkers.push_back(Id);
  State.Log.write(LogClass::Decision, "worker_registered",
                  {{"worker", Id.value()},
                   {"service", Registration.Worker.Service.value()},
                   {"domain", Registration.Worker.Domain.value()},
                   {"leaving", Registration.Worker.Leaving},
                   {"cold_ms", std::chrono::duration<double, std::milli>(
                                   Registration.ColdDuration)
                                   .count()},
                   {"taken", Accepted},
                   {"version", Change.Row.Version.Version}});
}

} // namespace masticgap::gateway
