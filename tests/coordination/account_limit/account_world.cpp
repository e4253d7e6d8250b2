#include "coordination/account_limit/account_world.hpp"

#include <algorithm>

namespace masticgap::tests {

using namespace coordination;

namespace {

constexpr std::size_t Regions = 3;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Time) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Time));
}

} // namespace

AccountWorld::AccountWorld(std::size_t Count, std::vector<AccountLoad> AllLoads,
                           std::uint64_t Seed)
    : Random(Seed), Hosts(Count), Loads(std::move(AllLoads)),
      Results(Loads.size()), Arrivals(Loads.size()),
      EarlierLimits(Loads.size()) {
  for (std::size_t I = 0; I < Count; ++I) {
    Hosts[I].Id = HostId("h" + std::to_string(I));
    Hosts[I].View.assign(Count, FleetMemberStatus::Live);
    Hosts[I].ViewChange.assign(Count, 0);
  }
  for (std::size_t I = 0; I < Count; ++I)
    start(I);
  for (std::size_t I = 0; I < Loads.size(); ++I)
    scheduleRequest(I);
}

void AccountWorld::at(Instant When, std::function<void()> Run) {
  Events.push({When, Order++, std::move(Run)});
}

void AccountWorld::onHost(std::size_t Index, std::function<void()> Run) {
  const Host &Target = Hosts[Index];
  if (Target.PausedUntil <= Now)
    Run();
  else
    at(Target.PausedUntil,
       [this, Index, Run = std::move(Run)] { onHost(Index, Run); });
}

Duration AccountWorld::between(double MinMs, double MaxMs) {
  return fromSeconds(
      std::uniform_real_distribution<double>(MinMs, MaxMs)(Random) / 1000);
}

Duration AccountWorld::oneWay(std::size_t From, std::size_t To) {
  return From % Regions == To % Regions ? between(0.2, 2) : between(12, 20);
}

bool AccountWorld::reaches(std::size_t From, std::size_t To) const {
  return Hosts[From].Part == Hosts[To].Part && Hosts[From].Sends &&
         Hosts[To].Receives;
}

std::vector<AccountLimit> AccountWorld::limits() const {
  std::vector<AccountLimit> Result;
  for (const AccountLoad &Load : Loads)
    Result.push_back(Load.Limit);
  return Result;
}

void AccountWorld::run(Duration Time) {
  const Instant End = Now + Time;
  while (!Events.empty() && Events.top().At <= End) {
    const Event Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Run();
  }
  Now = End;
}

void AccountWorld::resetTotals() {
  for (Totals &Result : Results)
    Result = {};
}

void AccountWorld::scheduleRequest(std::size_t Load) {
  const double Wait = std::exponential_distribution<double>(
      Loads[Load].RequestsPerSecond)(Random);
  at(Now + fromSeconds(Wait), [this, Load] {
    const AccountLoad &From = Loads[Load];
    request(Load, From.FirstHost + Random() % From.Hosts);
    scheduleRequest(Load);
  });
}

void AccountWorld::request(std::size_t Load, std::size_t Index) {
  if (!Hosts[Index].Running)
    return;
  onHost(Index, [this, Load, Index, Run = Hosts[Index].Run] {
    Host &Target = Hosts[Index];
    if (!Target.Running || Target.Run != Run)
      return;
    ++Results[Load].Requests;
    const AccountAdmission Answer =
        Target.Limiter->admit(Loads[Load].Limit.Key, Now);
    if (std::holds_alternative<AccountAdmitted>(Answer))
      admitted(Load);
    else if (const auto *Waits = std::get_if<AwaitCredit>(&Answer)) {
      ++Results[Load].Waited;
      Target.Waiting.emplace(Waits->Waiter, Load);
    } else
      ++Results[Load].Refused;
    pump(Index);
  });
}

void AccountWorld::admitted(std::size_t Load) {
  ++Results[Load].Served;
  at(Now + fromSeconds(seconds(Settings.arrivalDelay()) *
                       std::uniform_real_distribution<double>(0, 1)(Random)),
     [this, Load] { arrive(Load); });
}

void AccountWorld::arrive(std::size_t Load) {
  std::deque<Instant> &Window = Arrivals[Load];
  Window.push_back(Now);
  while (Window.front() <= Now - Settings.Window)
    Window.pop_front();
  AccountLimit Limit = Loads[Load].Limit;
  for (const auto &[Until, Earlier] : EarlierLimits[Load])
    if (Now < Until) {
      Limit.RatePerSecond =
          std::max(Limit.RatePerSecond, Earlier.RatePerSecond);
      Limit.Burst = std::max(Limit.Burst, Earlier.Burst);
    }
  const double Bound =
      (Limit.RatePerSecond * seconds(Settings.Window) + Limit.Burst) *
          (1 + Settings.Overage) +
      Settings.Slack;
  Totals &Result = Results[Load];
  Result.LargestExcess = std::max(Result.LargestExcess,
                                  static_cast<double>(Window.size()) - Bound);
}

void AccountWorld::pump(std::size_t Index) {
  Host &Target = Hosts[Index];
  for (const AccountDecision &Decision : Target.Limiter->takeDecisions()) {
    const auto Waiter = Target.Waiting.find(Decision.Waiter);
    if (Waiter == Target.Waiting.end())
      continue;
    if (std::holds_alternative<AccountAdmitted>(Decision.Result))
      admitted(Waiter->second);
    else
      ++Results[Waiter->second].Refused;
    Target.Waiting.erase(Waiter);
  }
  for (OutgoingAccountMessage &Message : Target.Limiter->takeMessages()) {
    ++Sent;
    const auto To =
        static_cast<std::size_t>(std::stoul(Message.To.value().substr(1)));
    if (std::uniform_real_distribution<double>(0, 1)(Random) < Loss)
      continue;
    at(Now + oneWay(Index, To), [this, Index, To, What = Message.What] {
      if (!reaches(Index, To))
        return;
      onHost(To, [this, Index, To, What] {
        if (!Hosts[To].Running)
          return;
        Hosts[To].Limiter->handle(Hosts[Index].Id, What, Now);
        pump(To);
      });
    });
  }
  if (const auto Next = Target.Limiter->nextDeadline())
    at(std::max(*Next, Now + std::chrono::microseconds(100)),
       [this, Index, Run = Target.Run] {
         onHost(Index, [this, Index, Run] {
           Host &Later = Hosts[Index];
           const auto Due =
               Later.Running ? Later.Limiter->nextDeadline() : std::nullopt;
           if (!Due || *Due > Now || Later.Run != Run)
             return;
           Later.Limiter->advance(Now);
           pump(Index);
         });
       });
}

void AccountWorld::heartbeat(std::size_t Index, unsigned Run) {
  onHost(Index, [this, Index, Run] {
    Host &Target = Hosts[Index];
    if (!Target.Running || Target.Run != Run)
      return;
    Target.Limiter->heartbeat(Now);
    gossip(Index);
    at(Now + AccountLimiter::HeartbeatPeriod,
       [this, Index, Run] { heartbeat(Index, Run); });
  });
}

void AccountWorld::gossip(std::size_t From) {
  // A probe of a random member; dead members are probed rarely.
  const std::size_t To = Random() % Hosts.size();
  const bool IsLive = Hosts[From].View[To] == FleetMemberStatus::Live;
  if (To != From && (IsLive || Random() % 10 == 0))
    deliverGossip(From, To, true);
}

void AccountWorld::deliverGossip(std::size_t From, std::size_t To,
                                 bool Answered) {
  if (std::uniform_real_distribution<double>(0, 1)(Random) < Loss)
    return;
  at(Now + oneWay(From, To), [this, From, To, Answered] {
    if (!reaches(From, To))
      return;
    const bool SaysDead = Hosts[From].View[To] == FleetMemberStatus::Dead;
    onHost(To, [this, From, To, Answered, SaysDead] {
      if (!Hosts[To].Running)
        return;
      if (SaysDead)
        Hosts[To].Limiter->recordDeclaredDead(Now);
      else
        Hosts[To].Limiter->recordContact(Now);
      if (Answered)
        deliverGossip(To, From, false);
    });
  });
}

void AccountWorld::tell(std::size_t Viewer) {
  onHost(Viewer, [this, Viewer] {
    Host &Target = Hosts[Viewer];
    if (!Target.Running)
      return;
    std::vector<FleetMember> Members;
    for (std::size_t I = 0; I < Hosts.size(); ++I)
      Members.push_back(
          {Hosts[I].Id, Target.View[I], Hosts[I].SizeClass, Hosts[I].Started});
    Target.Limiter->setMembers(Members, Now);
    pump(Viewer);
  });
}

void AccountWorld::see(std::size_t Viewer, std::size_t Target,
                       FleetMemberStatus Status, Duration After) {
  const unsigned Change = ++Hosts[Viewer].ViewChange[Target];
  at(Now + After, [this, Viewer, Target, Status, Change] {
    Host &Here = Hosts[Viewer];
    if (Here.ViewChange[Target] != Change || Here.View[Target] == Status)
      return;
    Here.View[Target] = Status;
    tell(Viewer);
  });
}

void AccountWorld::updateViews(std::size_t Target) {
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    if (I == Target)
      continue;
    const bool Reached =
        reaches(Target, I) && reaches(I, Target) && Hosts[Target].Running;
    if (Hosts[I].View[Target] == FleetMemberStatus::Left && !Reached)
      continue;
    see(I, Target, Reached ? FleetMemberStatus::Live : FleetMemberStatus::Dead,
        Reached ? between(100, 1500) : between(1800, 4000));
  }
}

void AccountWorld::kill(std::size_t Index) {
  if (!std::exchange(Hosts[Index].Running, false))
    return;
  Hosts[Index].Waiting.clear();
  updateViews(Index);
}

void AccountWorld::start(std::size_t Index) {
  Host &Target = Hosts[Index];
  Target.Running = true;
  Target.PausedUntil = Now;
  ++Target.Run;
  Target.Started = makeIncarnation(
      static_cast<std::uint64_t>(seconds(Now.time_since_epoch()) * 1000), 0);
  Target.Limiter = std::make_unique<AccountLimiter>(
      Settings, Target.Id, Hosts.size(), Random(), Now);
  Target.Limiter->setLimits(limits(), Now);
  // A host that joins gets the list of live members first, without dead ones.
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    if (I != Index && (!Hosts[I].Running || Hosts[I].Part != Target.Part))
      Target.View[I] = FleetMemberStatus::Left;
  tell(Index);
  heartbeat(Index, Target.Run);
  updateViews(Index);
}

void AccountWorld::stopAsPlanned(std::size_t Index) {
  if (!Hosts[Index].Running)
    return;
  // The host knows it first, and tells the others.
  Hosts[Index].View[Index] = FleetMemberStatus::Stopping;
  tell(Index);
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    if (I != Index)
      see(I, Index, FleetMemberStatus::Left, between(50, 1000));
  at(Now + std::chrono::seconds(2), [this, Index, Run = Hosts[Index].Run] {
    Host &Target = Hosts[Index];
    Target.View[Index] = FleetMemberStatus::Live;
    if (Target.Run == Run) {
      Target.Running = false;
      Target.Waiting.clear();
    }
  });
}

void AccountWorld::pause(std::size_t Index, Duration Time) {
  Hosts[Index].PausedUntil = Now + Time;
  if (Time < std::chrono::seconds(2))
    return;
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    if (I != Index)
      see(I, Index, FleetMemberStatus::Dead, between(1800, 4000));
  at(Now + Time, [this, Index] { updateViews(Index); });
}

void AccountWorld::cut(const std::function<unsigned(std::size_t)> &Part) {
  std::vector<unsigned> Before;
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    Before.push_back(std::exchange(Hosts[I].Part, Part(I)));
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    for (std::size_t J = 0; J < Hosts.size(); ++J) {
      const bool Was = Before[I] == Before[J];
      const bool Is = Hosts[I].Part == Hosts[J].Part;
      if (I == J || Was == Is || !Hosts[J].Running)
        continue;
      see(I, J, Is ? FleetMemberStatus::Live : FleetMemberStatus::Dead,
          Is ? between(100, 1500) : between(1800, 4000));
    }
}

void AccountWorld::setSizeClass(std::size_t Index, std::uint8_t Class) {
  Hosts[Index].SizeClass = Class;
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    tell(I);
}

void AccountWorld::isolate(std::size_t Index, bool Sends, bool Receives) {
  Host &Target = Hosts[Index];
  Target.Sends = Sends;
  Target.Receives = Receives;
  const bool Reached = Sends && Receives;
  updateViews(Index);
  Duration Probed = between(0, 500);
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    if (I == Index || !Hosts[I].Running)
      continue;
    see(Index, I, Reached ? FleetMemberStatus::Live : FleetMemberStatus::Dead,
        Reached ? between(100, 1500)
                : Probed + std::chrono::milliseconds(2000));
    Probed += AccountLimiter::HeartbeatPeriod;
  }
}

std::size_t AccountWorld::owner(std::size_t Load) const {
  const auto Viewer = std::ranges::find_if(Hosts, [](const Host &Each) {
    return Each.Running && Each.Sends && Each.Receives;
  });
  const HostId &Owner = Viewer->Limiter->owner(Loads[Load].Limit.Key);
  return Owner.empty()
             ? 0
             : static_cast<std::size_t>(std::stoul(Owner.value().substr(1)));
}

bool AccountWorld::holdsBucket(std::size_t Load) {
  const AccountLimit &Limit = Loads[Load].Limit;
  double Stock = 0;
  for (Host &Each : Hosts)
    Stock += Each.Limiter->stock(Limit.Key, Now);
  const auto Bucket = Hosts[owner(Load)].Limiter->balance(Limit.Key, Now);
  return Bucket && Stock <= AccountLimitSettings::maxStock(Limit) &&
         Bucket->Tokens + Stock <= Bucket->Capacity + 1e-9;
}

void AccountWorld::setLimit(std::size_t Load, AccountLimit Limit) {
  const AccountLimit Old = std::exchange(Loads[Load].Limit, Limit);
  // A lower limit is binding one window, and the time until all hosts have the
  // configuration, after it is written.
  constexpr Duration Apply = std::chrono::seconds(3);
  EarlierLimits[Load].emplace_back(Now + Settings.Window + Apply, Old);
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    at(Now + fromSeconds(seconds(Apply) *
                         std::uniform_real_distribution<double>(0, 1)(Random)),
       [this, I] {
         onHost(I, [this, I] {
           if (!Hosts[I].Running)
             return;
           Hosts[I].Limiter->setLimits(limits(), Now);
           pump(I);
         });
       });
}

} // namespace masticgap::tests
