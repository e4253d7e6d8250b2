#include "masticgap/coordination/rumor_spread.hpp"

#include "masticgap/coordination/relay_choice.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Time for which a finished relay still acknowledges repeated pushes from its
//! origin.
constexpr std::chrono::seconds FinishedRelayLifetime{2};
//! Time after which a waiting rumor is no longer pushed, but only gossiped. It
//! is longer than a few intervals between spreads of one member.
constexpr std::chrono::seconds MaxWaitingTime{10};
//! Running spreads for which the resend interval grows once by its length:
//! acknowledgements queue behind those of the other spreads.
constexpr std::size_t SpreadsPerResend = 4;

const MemberRecord *findMember(std::span<const MemberRecord> Members,
                               const HostId &Id) {
  const auto Position = std::ranges::lower_bound(
      Members, Id, {}, [](const MemberRecord &M) { return M.Host.Id; });
  if (Position == Members.end() || Position->Host.Id != Id)
    return nullptr;
  return &*Position;
}

} // namespace

RumorSpread::RumorSpread(HostId Host, const MembershipTiming &Limits,
                         std::uint64_t Seed)
    : Self(std::move(Host)), Timing(Limits), Random(Seed) {}

void RumorSpread::refillAllowance(Instant Now) {
  const std::chrono::duration<double> Passed = Now - AllowanceAt;
  const std::chrono::duration<double> Share = Timing.RumorSpreadShare;
  Allowance = std::min(SpreadBurst, Allowance + Passed / Share);
  AllowanceAt = Now;
}

void RumorSpread::recordHeard(Instant Now) {
  refillAllowance(Now);
  --Allowance;
}

Duration RumorSpread::drawInterval(std::span<const MemberRecord> Members) {
  std::uniform_real_distribution<double> Factor(0.5, 1.5);
  return std::chrono::duration_cast<Duration>(
      Timing.RumorSpreadShare *
      static_cast<double>(std::ranges::count_if(Members, isLive)) *
      Factor(Random));
}

const RumorSpread::Spread *RumorSpread::findRelay(std::uint64_t Rumor,
                                                  const HostId &Origin) const {
  const auto Position = std::ranges::find_if(Spreads, [&](const Spread &S) {
    return S.Rumors.front() == Rumor && S.Origin == Origin;
  });
  return Position == Spreads.end() ? nullptr : &*Position;
}

std::vector<RumorSpread::Target>
RumorSpread::domainTargets(std::span<const MemberRecord> Members,
                           const FailureDomainName &Domain) const {
  std::vector<Target> Result;
  for (const MemberRecord &M : Members)
    if (isLive(M) && M.Host.Id != Self && M.Host.Domain == Domain)
      Result.push_back({M.Host.Id, std::nullopt});
  return Result;
}

std::vector<RumorSpread::Target>
RumorSpread::targets(std::span<const MemberRecord> Members,
                     std::uint64_t Rumor) const {
  std::map<FailureDomainName, std::vector<HostId>> Domains;
  std::size_t Others = 0;
  for (const MemberRecord &M : Members) {
    if (!isLive(M) || M.Host.Id == Self)
      continue;
    Domains[M.Host.Domain].push_back(M.Host.Id);
    ++Others;
  }
  const MemberRecord *Own = findMember(Members, Self);
  std::vector<Target> Result;
  for (const auto &[Domain, Hosts] : Domains) {
    const bool Direct = Others <= Timing.DirectRumorMembers ||
                        (Own && Own->Host.Domain == Domain) ||
                        Hosts.size() == 1;
    if (!Direct)
      Result.push_back(
          {relayOrder(Members, Domain, Self, Rumor).front(), Domain});
    else
      for (const HostId &Host : Hosts)
        Result.push_back({Host, std::nullopt});
  }
  return Result;
}

void RumorSpread::send(Spread &S, SpreadStep &Step, Instant Now) {
  for (Target &T : S.Pending) {
    ++T.Sends;
    Step.Pushes.push_back({T.Member, S.Rumors, T.RelayFor.has_value()});
  }
  S.NextSend =
      Now + Timing.RumorResend * (1 + Spreads.size() / SpreadsPerResend);
}

void RumorSpread::finish(const Spread &S, SpreadStep &Step) {
  if (S.Origin) {
    if (S.Pending.empty())
      Step.Covered.push_back({*S.Origin, S.Rumors.front()});
    return;
  }
  std::vector<HostId> Missing;
  for (const Target &T : S.Pending)
    Missing.push_back(T.Member);
  for (const std::uint64_t Rumor : S.Rumors)
    if (std::ranges::find(S.Settled, Rumor) == S.Settled.end())
      Step.Ended.push_back({Rumor, Missing.empty(), Missing});
}

void RumorSpread::add(Spread S, SpreadStep &Step, Instant Now) {
  if (S.Pending.empty() || Spreads.size() >= MaxSpreads) {
    finish(S, Step);
    return;
  }
  send(S, Step, Now);
  Spreads.push_back(std::move(S));
}

SpreadStep RumorSpread::start(std::uint64_t Rumor, Instant Now) {
  SpreadStep Step;
  for (Spread &S : Spreads)
    if (!S.Origin && std::ranges::find(S.Rumors, Rumor) != S.Rumors.end()) {
      std::erase(S.Settled, Rumor);
      return Step;
    }
  const Instant SettleAt = Now + Timing.RumorSpreadTime;
  const auto Known = std::ranges::find(Waiting, Rumor, &WaitingRumor::Rumor);
  if (Known != Waiting.end()) {
    if (std::exchange(Known->Settled, false))
      Known->SettleAt = SettleAt;
    return Step;
  }
  if (Waiting.size() >= MaxWaiting) {
    Step.Ended.push_back({Rumor, false, {}});
    return Step;
  }
  if (Waiting.empty())
    NextStart = std::max(NextStart, Now + Timing.RumorCollectTime);
  Waiting.push_back({Rumor, SettleAt});
  return Step;
}

void RumorSpread::settleWaiting(SpreadStep &Step, Instant Now) {
  for (WaitingRumor &W : Waiting)
    if (W.SettleAt <= Now && !std::exchange(W.Settled, true))
      Step.Ended.push_back({W.Rumor, false, {}});
  std::erase_if(Waiting, [Now](const WaitingRumor &W) {
    return W.SettleAt + MaxWaitingTime <= Now;
  });
}

void RumorSpread::startWaiting(
    std::span<const MemberRecord> Members,
    const std::function<bool(std::uint64_t)> &IsStored, SpreadStep &Step,
    Instant Now) {
  refillAllowance(Now);
  if (Allowance < 1) {
    NextStart = Now + drawInterval(Members);
    return;
  }
  Spread S;
  S.NextSend = Now;
  S.EndsAt = Now + Timing.RumorSpreadTime;
  while (!Waiting.empty() && S.Rumors.size() < MaxBatch) {
    const WaitingRumor Next = Waiting.front();
    Waiting.pop_front();
    if (!IsStored(Next.Rumor)) {
      if (!Next.Settled)
        Step.Ended.push_back({Next.Rumor, false, {}});
      continue;
    }
    S.Rumors.push_back(Next.Rumor);
    if (Next.Settled)
      S.Settled.push_back(Next.Rumor);
    else
      S.EndsAt = std::min(S.EndsAt, Next.SettleAt);
  }
  if (S.Rumors.empty())
    return;
  --Allowance;
  NextStart = Now + drawInterval(Members);
  S.Pending = targets(Members, S.Rumors.front());
  add(std::move(S), Step, Now);
}

SpreadStep RumorSpread::relay(std::vector<std::uint64_t> Rumors,
                              const HostId &Origin,
                              std::span<const MemberRecord> Members,
                              Instant Now) {
  SpreadStep Step;
  // finish() reports only a relay without pending targets.
  if (const Spread *Stored = findRelay(Rumors.front(), Origin)) {
    finish(*Stored, Step);
    return Step;
  }
  const MemberRecord *Own = findMember(Members, Self);
  if (!Own)
    return Step;
  Spread S;
  S.Rumors = std::move(Rumors);
  S.Origin = Origin;
  S.Pending = domainTargets(Members, Own->Host.Domain);
  S.EndsAt = Now + Timing.RumorSpreadTime;
  std::erase_if(S.Pending, [&](const Target &T) { return T.Member == Origin; });
  add(std::move(S), Step, Now);
  return Step;
}

SpreadStep RumorSpread::acknowledged(std::uint64_t Rumor, const HostId &From,
                                     bool Covered, Instant Now) {
  SpreadStep Step;
  for (Spread &S : Spreads) {
    if (S.Rumors.front() != Rumor || S.Pending.empty())
      continue;
    std::erase_if(S.Pending, [&](const Target &T) {
      return T.Member == From && (Covered || !T.RelayFor);
    });
    if (!S.Pending.empty())
      continue;
    finish(S, Step);
    if (S.Origin)
      S.EndsAt = Now + FinishedRelayLifetime;
  }
  std::erase_if(Spreads,
                [](const Spread &S) { return !S.Origin && S.Pending.empty(); });
  return Step;
}

bool RumorSpread::changeRelay(const Spread &S, Target &T,
                              std::span<const MemberRecord> Members) const {
  const auto Order = relayOrder(Members, *T.RelayFor, Self, S.Rumors.front());
  if (Order.empty())
    return false;
  T.Member = Order[++T.RelaysTried % Order.size()];
  T.Sends = 0;
  return true;
}

bool RumorSpread::dropEndedTargets(Spread &S,
                                   std::span<const MemberRecord> Members) {
  std::erase_if(S.Pending, [&](Target &T) {
    const MemberRecord *M = findMember(Members, T.Member);
    const bool Live = M && isLive(*M);
    if (!T.RelayFor)
      return !Live;
    return (!Live || T.Sends >= SendsPerRelay) && !changeRelay(S, T, Members);
  });
  return S.Pending.empty();
}

SpreadStep RumorSpread::tick(std::span<const MemberRecord> Members,
                             const std::function<bool(std::uint64_t)> &IsStored,
                             Instant Now) {
  SpreadStep Step;
  settleWaiting(Step, Now);
  if (!Waiting.empty() && Now >= NextStart)
    startWaiting(Members, IsStored, Step, Now);
  for (Spread &S : Spreads) {
    if (S.Pending.empty() || (Now < S.NextSend && Now < S.EndsAt))
      continue;
    if (dropEndedTargets(S, Members) || Now >= S.EndsAt) {
      finish(S, Step);
      S.EndsAt =
          S.Pending.empty() && S.Origin ? Now + FinishedRelayLifetime : Now;
      continue;
    }
    send(S, Step, Now);
  }
  std::erase_if(Spreads, [&](const Spread &S) { return S.EndsAt <= Now; });
  return Step;
}

std::optional<Instant> RumorSpread::nextDeadline() const {
  std::optional<Instant> Next;
  if (!Waiting.empty())
    Next = NextStart;
  for (const WaitingRumor &W : Waiting)
    if (!W.Settled)
      Next = std::min(*Next, W.SettleAt);
  for (const Spread &S : Spreads) {
    const Instant Due =
        S.Pending.empty() ? S.EndsAt : std::min(S.NextSend, S.EndsAt);
    Next = Next ? std::min(*Next, Due) : Due;
  }
  return Next;
}

} // namespace masticgap::coordination
