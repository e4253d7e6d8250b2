// Evaluation of a request: which workers are eligible, which one is chosen, and
// why. Nothing here changes the state of the dispatcher.
#include "masticgap/coordination/dispatch/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Typical latency of a service that has not answered yet, as a share of
//! the request's latency objective.
constexpr double InitialLatencyShare = 0.5;
//! Time after which callers of a service without workers may retry; in the
//! meantime a registration or an answer of the store may arrive.
constexpr Duration NoWorkersRetryAfter = std::chrono::milliseconds(500);
//! Share of a worker's connection limit that all hosts together use.
constexpr double UsableConnectionShare = 0.8;

} // namespace

WorkerPick Dispatcher::makePick(const CandidateSet &Available,
                                std::size_t Index) const {
  const KnownWorker &WorkerState = *Available.Members[Index]->State;
  WorkerPick Pick;
  Pick.Worker = WorkerState.Worker;
  Pick.Occupancy = Available.Candidates[Index].Occupancy;
  Pick.Cold = Available.Candidates[Index].Cold;
  const ServiceTraits *Traits = traits(WorkerState.Worker.Service);
  const double Limit = Traits ? Traits->ConnectionLimit : 1;
  // Each host may use at least two connections, even if that exceeds its share.
  Pick.Connections = static_cast<unsigned>(std::max(
      2.0, UsableConnectionShare * Limit /
               static_cast<double>(std::max<std::size_t>(1, Hosts.size()))));
  return Pick;
}

Duration Dispatcher::expectedWork(const ServiceState &State,
                                  const DispatchRequest &Request) {
  return State.HasTypicalLatency
             ? State.TypicalLatency
             : std::chrono::duration_cast<Duration>(Request.LatencyObjective *
                                                    InitialLatencyShare);
}

Dispatcher::RegionCandidates
Dispatcher::candidatesIn(const CandidateSet &Available,
                         const RegionName &Region) {
  RegionCandidates Result;
  for (std::size_t I = 0; I < Available.Members.size(); ++I) {
    if (Available.Members[I]->State->Worker.Region != Region)
      continue;
    Result.Candidates.push_back(Available.Candidates[I]);
    Result.Indices.push_back(I);
  }
  return Result;
}

std::optional<WorkerPick> Dispatcher::bestCandidate(
    const CandidateSet &Available, const ServiceState &State,
    const RegionName *OnlyRegion, const DispatchRequest &Request) const {
  std::span<const AffinityCandidate> Candidates = Available.Candidates;
  RegionCandidates InRegion; // Without indices: all candidates.
  const auto IsElsewhere = [&](const ServiceMember *Member) {
    return Member->State->Worker.Region != *OnlyRegion;
  };
  if (OnlyRegion && std::ranges::any_of(Available.Members, IsElsewhere)) {
    InRegion = candidatesIn(Available, *OnlyRegion);
    Candidates = InRegion.Candidates;
  }
  const auto Result =
      chooseByAffinity(Candidates, Request.Object, expectedWork(State, Request),
                       Settings.Affinity);
  if (!Result)
    return std::nullopt;
  WorkerPick Pick = makePick(Available, InRegion.Indices.empty()
                                            ? Result->Index
                                            : InRegion.Indices[Result->Index]);
  Pick.QueueWait = Result->QueueWait;
  Pick.ExpectedLatency = Result->ExpectedLatency;
  Pick.AffinityRank = Result->AffinityRank;
  return Pick;
}

std::optional<WorkerPick>
Dispatcher::pickTrial(const CandidateSet &Available,
                      const ServiceState &State) const {
  const auto JoiningIt = State.Joining.find(Settings.Region);
  if (JoiningIt == State.Joining.end() || JoiningIt->second.joining() == 0)
    return std::nullopt;
  const JoinSchedule &Schedule = JoiningIt->second;
  for (std::size_t I = 0; I < Available.Members.size(); ++I) {
    const KnownWorker &WorkerState = *Available.Members[I]->State;
    const AffinityCandidate &Candidate = Available.Candidates[I];
    const WorkerStart Start{WorkerState.StartedAt, WorkerState.ColdUntil};
    if (Available.Members[I]->Record->wasUsed() || Candidate.Cold ||
        WorkerState.Worker.Region != Settings.Region ||
        !Schedule.isJoining(Start, Available.Now) ||
        !Schedule.trialIsDue(Start, Candidate.WorkerHash, Available.Now) ||
        !isTrialHost(Candidate.WorkerHash, Settings.Self, LocalHosts))
      continue;
    WorkerPick Pick = makePick(Available, I);
    Pick.AffinityRank = Settings.Affinity.PreferredWorkers;
    return Pick;
  }
  return std::nullopt;
}

Dispatcher::Evaluation Dispatcher::evaluate(const ServiceState &State,
                                            double OverflowCredit,
                                            const DispatchRequest &Request,
                                            Instant Now) const {
  Evaluation Result;
  if (Now >= Request.Deadline) {
    Result.Decision = Rejection{RejectReason::NoTime, Duration(0), Duration(0)};
    return Result;
  }
  Result.Available = candidates(State, Request, Now);
  decide(State, OverflowCredit, Request, Result);
  return Result;
}

void Dispatcher::decide(const ServiceState &State, double OverflowCredit,
                        const DispatchRequest &Request,
                        Evaluation &Result) const {
  const CandidateSet &Available = Result.Available;
  const auto Conclude = [&](DispatchStep Step, DispatchDecision Decision) {
    Result.Step = Step;
    Result.Decision = std::move(Decision);
  };
  if (Available.Members.empty())
    return Conclude(
        DispatchStep::NoWorkers,
        Rejection{RejectReason::NoWorkers, NoWorkersRetryAfter, Duration(0)});
  // One host of the region tries a joining worker, which may be the preferred
  // worker of no object. This request is subject neither to admission nor to
  // the regional share.
  if (Request.Tried.empty())
    if (auto Pick = pickTrial(Available, State))
      return Conclude(DispatchStep::Trial, std::move(*Pick));

  const auto Admit = [&](const WorkerPick &Pick) {
    return decideAdmission({Request.Priority, Request.LatencyObjective,
                            Request.Deadline - Available.Now, Pick.QueueWait,
                            Pick.ExpectedLatency, Request.Caller},
                           Settings.Admission);
  };
  // Home regions take precedence over the regional share.
  if (Request.HomeRegions.empty())
    Result.Region = State.Share.regionOf(Request.Object);
  std::optional<WorkerPick> Pick =
      Result.Region ? bestCandidate(Available, State, &*Result.Region, Request)
                    : std::nullopt;
  if (!Pick) {
    // The region has no eligible worker.
    Pick = bestCandidate(Available, State, nullptr, Request);
    Result.Region.reset();
  }
  AdmissionVerdict Verdict = Admit(*Pick);
  if (std::holds_alternative<Admitted>(Verdict))
    return Conclude(DispatchStep::Best, std::move(*Pick));
  if (Result.Region) {
    auto Elsewhere = bestCandidate(Available, State, nullptr, Request);
    if (std::holds_alternative<Admitted>(Admit(*Elsewhere)) &&
        OverflowCredit >= 1)
      return Conclude(DispatchStep::Overflow, std::move(*Elsewhere));
  }
  Result.Refused = std::move(Pick->Worker.Id);
  Conclude(DispatchStep::Overloaded,
           Rejection{RejectReason::Overloaded,
                     std::get<Rejected>(Verdict).RetryAfter, Pick->QueueWait});
}

DispatchDecision Dispatcher::choose(const DispatchRequest &Request,
                                    Instant Now) {
  ServiceState &State = serviceState(Request.Service, Now);
  updateMembers(State, Request.Service);
  Evaluation Result = evaluate(State, State.OverflowCredit, Request, Now);
  const ServiceTraits *Traits = traits(Request.Service);
  for (const ServiceMember *Member : Result.Available.ColdUnseen)
    ColdLimiter.recordSeen(Member->Hash,
                           Traits ? Traits->ColdRequestsPerSecond : 1,
                           Hosts.size(), Now);
  if (Result.Step == DispatchStep::Overflow)
    --State.OverflowCredit;
  return std::move(Result.Decision);
}

DispatchExplanation Dispatcher::explain(const DispatchRequest &Request,
                                        Instant Now) const {
  const auto StateIt = ServiceStates.find(Request.Service);
  if (StateIt != ServiceStates.end() &&
      isCurrent(*StateIt->second, Request.Service))
    return explain(*StateIt->second, Request, Now);
  // choose() would update the state first; here that is done in a copy.
  if (StateIt != ServiceStates.end()) {
    ServiceState State = *StateIt->second;
    listMembers(State, Request.Service);
    return explain(State, Request, Now);
  }
  ServiceState State(Settings, Start);
  listMembers(State, Request.Service);
  updateRegionShare(State, Now);
  updateJoining(State, Request.Service, Now);
  return explain(State, Request, Now);
}

DispatchExplanation Dispatcher::explain(const ServiceState &State,
                                        const DispatchRequest &Request,
                                        Instant Now) const {
  const Evaluation Found =
      evaluate(State, ServiceState::creditAfterArrival(State.OverflowCredit),
               Request, Now);
  DispatchExplanation Result;
  Result.Decision = Found.Decision;
  Result.Step = Found.Step;
  Result.Region = Found.Region;
  Result.TypicalLatency = expectedWork(State, Request);
  const CandidateSet &Available = Found.Available;
  std::vector<AffinityCost> Costs =
      affinityCosts(Available.Candidates, Request.Object, Result.TypicalLatency,
                    Settings.Affinity);
  if (Found.Region) {
    // These were compared with each other only.
    const RegionCandidates InRegion = candidatesIn(Available, *Found.Region);
    const auto RegionCosts =
        affinityCosts(InRegion.Candidates, Request.Object,
                      Result.TypicalLatency, Settings.Affinity);
    for (std::size_t I = 0;
         Found.Step != DispatchStep::Overflow && I < RegionCosts.size(); ++I)
      Costs[InRegion.Indices[I]] = RegionCosts[I];
  }
  const auto *Pick = std::get_if<WorkerPick>(&Found.Decision);
  const std::optional<WorkerId> Best = Pick ? Pick->Worker.Id : Found.Refused;
  std::size_t Next = 0; // Candidates are in the order of the members.
  for (const ServiceMember &Member : State.Members) {
    ExplainedWorker Entry;
    Entry.Worker = Member.State->Worker;
    Entry.Eligibility = eligibility(Member, Request, Now);
    if (Next < Available.Members.size() && Available.Members[Next] == &Member) {
      Entry.Figures = Available.Candidates[Next];
      Entry.Cost = Costs[Next];
      ++Next;
    }
    Entry.Best = Best == Entry.Worker.Id;
    Result.Workers.push_back(std::move(Entry));
  }
  return Result;
}

} // namespace masticgap::coordination
