#include "coordination/fault_host.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination::tests {

FaultHost::FaultHost(FaultWorld &W, FaultFleet &F, EntryHostRun OwnRun)
    : World(W), Fleet(F), Self(std::move(OwnRun)),
      ClockOffset(W.between(0s, 1000000s)), Guard(Self, W.Now + ClockOffset),
      Claims(Self), Engine(W.Random()) {}

void FaultHost::at(Duration Delay, Step Run) {
  World.after(std::max(Delay, Duration(0)),
              [This = shared_from_this(), Run = std::move(Run)] {
                if (This->Alive && This->Paused)
                  This->Inbox.push_back(Run);
                else if (This->Alive)
                  Run();
              });
}

void FaultHost::resume() {
  Paused = false;
  for (const Rumor &R : std::exchange(RumorInbox, {}))
    rumor(R);
  for (const Step &Run : std::exchange(Inbox, {}))
    Run();
}

// Rumors that were sent before the join reach all peers within the spread
// limit. Later rumors are sent to this host too.
void FaultHost::join() {
  Serving = false;
  at(SpreadLimit, [this] {
    const FaultHost &Peer = Fleet.host(Fleet.anyServing());
    Quarantine.restore(Peer.Quarantine.records(Peer.now()), now());
    Serving = true;
  });
}

void FaultHost::rumor(const Rumor &R) {
  if (Paused)
    RumorInbox.push_back(R);
  else if (Alive)
    spread(Quarantine.onRumor(R, now()), SpreadLimit, [] {});
}

void FaultHost::spread(const std::vector<Rumor> &Rumors, Duration Limit,
                       const Step &Then) {
  if (Rumors.empty())
    return Then();
  const auto Missing = std::make_shared<std::size_t>(0);
  const auto Fired = std::make_shared<bool>(false);
  const Step Fire = [Fired, Then] {
    if (!std::exchange(*Fired, true))
      Then();
  };
  for (std::size_t I = 0; I < FaultFleet::HostCount; ++I) {
    if (&Fleet.host(I) == this || !Fleet.host(I).alive())
      continue;
    ++*Missing;
    World.after(World.latency(),
                [this, This = shared_from_this(), I, Rumors, Missing, Fire] {
                  FaultHost &Peer = Fleet.host(I);
                  for (const Rumor &R : Rumors)
                    Peer.rumor(R);
                  if (Peer.paused() || !Peer.alive())
                    return;
                  at(World.latency(), [this, Rumors, Missing, Fire] {
                    if (--*Missing > 0)
                      return;
                    for (const Rumor &R : Rumors)
                      Quarantine.spreadFinished(R);
                    Fire();
                  });
                });
  }
  at(Limit, Fire);
}

std::uint64_t FaultHost::receive(const Request &R, RequestOrigin Origin,
                                 ReplyTo To) {
  const auto T = std::make_shared<Task>();
  T->Id = Fleet.nextNumber();
  T->Req = R;
  T->Origin = Origin;
  T->Limit = Deadline(now() + 2s);
  const std::uint64_t Token = Fleet.nextNumber();
  T->Waiting.push_back({Token, std::move(To)});
  Tokens[Token] = T;
  if (R.Key.empty()) {
    attempt(T);
    return Token;
  }
  T->Key = parseIdempotencyKey(R.Key);
  admit(T);
  return Token;
}

void FaultHost::admit(const TaskPtr &T) {
  const Verdict V = Guard.admit(*T->Key, T->Req.Print, now(), T->Origin);
  if (const auto *Direct = std::get_if<Dispatch>(&V)) {
    T->Submission = Direct->Submission;
    Tasks[T->Submission] = T;
    attempt(T);
  } else if (const auto *Claim = std::get_if<ClaimIntent>(&V)) {
    T->Submission = Claim->Submission;
    Tasks[T->Submission] = T;
    claims(
        ClaimRequested{T->Submission, T->Req.Key, T->Req.Print, T->Limit.at()});
  } else if (const auto *Join = std::get_if<JoinInFlight>(&V)) {
    const TaskPtr &Other = Tasks.at(Join->Submission);
    Tokens[T->Waiting.front().Token] = Other;
    Other->Waiting.push_back(T->Waiting.front());
  } else if (const auto *Replay = std::get_if<ReplayAnswer>(&V)) {
    reply(T, {Outcome::Answered, std::stoull(Replay->Answer->Body)});
  } else if (const auto *Owner = std::get_if<ForwardToOwner>(&V)) {
    forward(T, Owner->Host, Owner->Run);
  } else if (std::holds_alternative<RefuseNotRun>(V)) {
    reply(T, {Outcome::NotRun});
  } else {
    reply(T, {Outcome::Unknown});
  }
}

void FaultHost::forward(const TaskPtr &T, const HostId &Host, Incarnation Run) {
  T->Done = true;
  const auto Owner = Fleet.find(Host, Run);
  if (!Owner)
    return reply(T, {Outcome::Unknown});
  const auto Answered = std::make_shared<bool>(false);
  const ReplyTo Relay = [this, This = shared_from_this(), T,
                         Answered](const Reply &FinalReply) {
    at(0s, [this, T, Answered, FinalReply] {
      if (!std::exchange(*Answered, true))
        deliver(T, FinalReply);
    });
  };
  Owner->at(World.latency(), [Owner, T, Relay] {
    if (Owner->Serving)
      Owner->receive(T->Req, RequestOrigin::Forwarded, Relay);
  });
  at(T->Limit.remaining(now()), [this, T, Answered] {
    if (!std::exchange(*Answered, true))
      reply(T, {Outcome::Unknown});
  });
}

void FaultHost::callerGone(std::uint64_t Token) {
  const TaskPtr T = Tokens[Token];
  const auto Found =
      std::find_if(T->Waiting.begin(), T->Waiting.end(),
                   [Token](const Waiter &W) { return W.Token == Token; });
  if (Found == T->Waiting.end())
    return;
  T->Waiting.erase(Found);
  if (!T->Key || T->Done ||
      Guard.callerGone(*T->Key, T->Submission) == CallerGoneAction::KeepRunning)
    return;
  T->Done = true;
  Tasks.erase(T->Submission);
  World.recordNotRun(T->Id);
  claims(ClaimCancelled{T->Submission});
}

void FaultHost::attempt(const TaskPtr &T) {
  if (T->Done)
    return;
  const DispatchGate Gate = Quarantine.gate(T->Req.Print, now());
  if (Gate == DispatchGate::WaitForSpread) {
    const Instant Limit = Quarantine.waitLimit(T->Req.Print).value_or(now());
    return at(Limit - now(), [this, T] { attempt(T); });
  }
  const bool Claimed =
      !T->Key || T->Key->Bound || Claims.mayDispatch(T->Submission, now());
  const auto Worker = chooseWorker(*T);
  if (Gate == DispatchGate::Quarantined || !Claimed || !Worker ||
      T->Limit.expired(now()))
    return finish(T, {outcomeOf(T->Attempts)});
  if (T->Key && !Guard.dispatched(*T->Key, T->Submission))
    return;
  send(T, *Worker);
}

std::optional<std::size_t> FaultHost::chooseWorker(const Task &T) {
  std::vector<std::size_t> Allowed;
  std::vector<std::size_t> Preferred;
  const auto &Excluded = T.Next.ExcludedWorkers;
  for (std::size_t I = 0; I < FaultWorld::WorkerCount; ++I) {
    if (std::count(Excluded.begin(), Excluded.end(), FaultWorld::workerId(I)))
      continue;
    Allowed.push_back(I);
    if (T.Next.AvoidedDomain != FaultWorld::domain(I))
      Preferred.push_back(I);
  }
  const auto &Candidates = Preferred.empty() ? Allowed : Preferred;
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[World.below(Candidates.size())];
}

void FaultHost::send(const TaskPtr &T, std::size_t Worker) {
  const std::size_t Number = T->Attempts.size() + 1;
  const Incarnation Run = World.workerRun(Worker);
  T->OpenAttempt = Number;
  T->Sent = now();
  const auto Ended = [this, This = shared_from_this(), T, Number, Worker,
                      Run](AttemptEnd End, std::uint64_t Body) {
    at(0s, [=, this] { ended(T, Number, Worker, Run, End, Body); });
  };
  World.attempt(Worker, T->Req, T->Id, Ended);
  at(T->Limit.remaining(now()), [this, T, Number, Worker, Run] {
    ended(T, Number, Worker, Run, AttemptEnd::TimedOut, 0);
  });
}

void FaultHost::ended(const TaskPtr &T, std::size_t Number, std::size_t Worker,
                      Incarnation Run, AttemptEnd End, std::uint64_t Body) {
  const bool Late = T->OpenAttempt != Number;
  if (Late && T->Key && End == AttemptEnd::Answered)
    Guard.answered(*T->Key, T->Submission,
                   StoredAnswer{200, {}, std::to_string(Body)});
  // The worker may still crash after an attempt has timed out.
  if (Late && End == AttemptEnd::ConnectionLost)
    return workerDied(T, Worker, Run, [] {});
  if (Late)
    return;
  T->OpenAttempt = 0;
  T->Attempts.push_back(
      {FaultWorld::workerId(Worker), FaultWorld::domain(Worker), End});
  if (End == AttemptEnd::Answered) {
    Quarantine.recordSuccess(T->Req.Print, now());
    Budget.recordSuccess(now());
  }
  if (End == AttemptEnd::TimedOut && T->Req.Crashes)
    World.recordOverlap(T->Req.Print);
  if (End == AttemptEnd::ConnectionLost)
    return workerDied(T, Worker, Run, [this, T, Body] { decide(T, Body); });
  decide(T, Body);
}

void FaultHost::workerDied(const TaskPtr &T, std::size_t Worker,
                           Incarnation Run, const Step &Then) {
  const InFlightRequest Lost{T->Req.Print, T->Sent};
  const auto Action = Quarantine.workerDied(FaultWorld::workerId(Worker), Run,
                                            std::span(&Lost, 1), now());
  spread(Action.Spread, Action.WaitLimit - now(), Then);
}

void FaultHost::decide(const TaskPtr &T, std::uint64_t Body) {
  RetryContext Context;
  Context.Repeatable = T->Req.Key.empty();
  Context.Forwarded = T->Origin == RequestOrigin::Forwarded;
  Context.AnswerStarted =
      T->Attempts.back().End == AttemptEnd::Truncated && World.chance(0.5);
  Context.RequestDeadline = T->Limit;
  Context.Now = now();
  Context.Attempts = T->Attempts;
  const RetryDecision Decision = decideRetry(Context, Budget, Engine);
  if (const auto *Stop = std::get_if<GiveUp>(&Decision))
    return finish(T, {Stop->ReportedOutcome, Body});
  T->Next = std::get<Retry>(Decision);
  at(T->Next.Backoff, [this, T] { attempt(T); });
}

void FaultHost::finish(const TaskPtr &T, const Reply &FinalReply) {
  T->Done = true;
  if (FinalReply.ReportedOutcome == Outcome::NotRun)
    World.recordNotRun(T->Id);
  if (T->Key) {
    Tasks.erase(T->Submission);
    const SubmissionId Id = T->Submission;
    if (FinalReply.ReportedOutcome == Outcome::Answered) {
      Guard.answered(*T->Key, Id,
                     StoredAnswer{200, {}, std::to_string(FinalReply.Body)});
      claims(ClaimCompleted{Id});
    } else if (FinalReply.ReportedOutcome == Outcome::NotRun) {
      Guard.notRun(*T->Key, Id);
      claims(ClaimNotRun{Id});
    } else {
      Guard.unknown(*T->Key, Id);
      claims(ClaimUnsettled{Id});
    }
  }
  reply(T, FinalReply);
}

void FaultHost::reply(const TaskPtr &T, const Reply &FinalReply) {
  World.told(T->Req, FinalReply);
  deliver(T, FinalReply);
}

void FaultHost::deliver(const TaskPtr &T, const Reply &FinalReply) {
  for (const Waiter &W : std::exchange(T->Waiting, {}))
    World.after(World.latency(), [To = W.To, FinalReply] { To(FinalReply); });
}

void FaultHost::claims(const IntentEvent &Event) {
  for (const IntentAction &Action : Claims.handle(Event, now()))
    std::visit([this](const auto &A) { on(A); }, Action);
  const auto Next = Claims.nextTimer();
  if (!Next || (TimerAt && *TimerAt <= *Next))
    return;
  TimerAt = Next;
  at(*Next - now(), [this] {
    TimerAt.reset();
    claims(IntentTick{});
  });
}

template <class Call> void FaultHost::store(const Call &C) {
  World.store(C, [this, This = shared_from_this()](const StoreAnswer &Answer) {
    at(0s, [this, Answer] {
      std::visit([this](const auto &A) { claims(A); }, Answer);
    });
  });
}

void FaultHost::on(const ClaimWon &Action) {
  const TaskPtr T = Tasks.at(Action.Claim);
  attempt(T);
}

FaultHost::TaskPtr FaultHost::notClaimed(SubmissionId Claim) {
  const TaskPtr T = Tasks.at(Claim);
  T->Done = true;
  Tasks.erase(Claim);
  Guard.notRun(*T->Key, Claim);
  World.recordNotRun(T->Id);
  return T;
}

void FaultHost::on(const ClaimHeld &Action) {
  const TaskPtr T = notClaimed(Action.Claim);
  if (T->Origin == RequestOrigin::Forwarded)
    reply(T, {Outcome::Unknown});
  else
    forward(T, Action.Holder, Action.Run);
}

void FaultHost::on(const ClaimRefused &Action) {
  reply(notClaimed(Action.Claim), {Outcome::NotRun});
}

void FaultHost::on(const ClaimUnknown &Action) {
  reply(notClaimed(Action.Claim), {Outcome::Unknown});
}

FaultFleet::FaultFleet(FaultWorld &W) : World(W) {
  for (std::size_t I = 0; I < HostCount; ++I) {
    Hosts.emplace_back();
    restart(I);
  }
}

std::shared_ptr<FaultHost> FaultFleet::find(const HostId &Id, Incarnation Run) {
  for (const auto &H : Hosts)
    if (H->alive() && H->self() == EntryHostRun{Id, Run})
      return H;
  return nullptr;
}

std::size_t FaultFleet::usable() const {
  return static_cast<std::size_t>(
      std::count_if(Hosts.begin(), Hosts.end(), [](const auto &H) {
        return H->serving() && !H->paused();
      }));
}

std::size_t FaultFleet::anyServing() {
  for (;;) {
    const std::size_t Index = World.below(HostCount);
    if (Hosts[Index]->serving() && !Hosts[Index]->paused())
      return Index;
  }
}

void FaultFleet::restart(std::size_t Index) {
  Hosts[Index] = std::make_shared<FaultHost>(
      World, *this,
      EntryHostRun{HostId("h" + std::to_string(Index)), {++LastRun}});
  if (LastRun > HostCount)
    Hosts[Index]->join();
}

void FaultFleet::disturb() {
  const std::size_t Index = World.below(HostCount);
  const bool Spare =
      Hosts[Index]->alive() && (Hosts[Index]->paused() || usable() > 2);
  if (Spare && World.chance(World.Rates.Kills)) {
    Hosts[Index]->kill();
    World.after(World.between(100ms, 5s), [this, Index] { restart(Index); });
  } else if (Spare && !Hosts[Index]->paused() &&
             World.chance(World.Rates.Pauses)) {
    pauseHost(Index);
  }
  if (World.chance(World.Rates.StoreOutages))
    World.StoreUpAt = World.Now + World.between(1s, 10s);
}

// Long pauses exceed the request deadline, the kept epochs or the claim age.
void FaultFleet::pauseHost(std::size_t Index) {
  const bool Long = !Quiet && World.chance(0.1);
  const Duration LongPauses[] = {61s, 11min, 61min};
  const Duration Length =
      Long ? LongPauses[World.below(3)] : World.between(50ms, 6s);
  Quiet = Quiet || Long;
  Hosts[Index]->pause();
  World.after(Length, [this, Long, Host = Hosts[Index]] {
    Host->resume();
    if (Long)
      Quiet = false;
  });
}

} // namespace masticgap::coordination::tests
