#include "masticgap/coordination/rumor_spread.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Time for which a finished relay still acknowledges repeated pushes from its
//! origin.
constexpr std::chrono::seconds FinishedRelayLifetime{2};

const MemberRecord *findMember(std::span<const MemberRecord> Members,
                               const HostId &Id) {
  const auto Position = std::ranges::lower_bound(
      Members, Id, {}, [](const MemberRecord &M) { return M.Host.Id; });
  if (Position == Members.end() || Position->Host.Id != Id)
    return nullptr;
  return &*Position;
}

} // namespace

RumorSpread::RumorSpread(HostId Host, const MembershipTiming &Limits)
    : Self(std::move(Host)), Timing(Limits) {}

RumorSpread::Spread *RumorSpread::find(std::uint64_t Rumor,
                                       const std::optional<HostId> &Origin) {
  const auto Position = std::ranges::find_if(Spreads, [&](const Spread &S) {
    return S.Rumor == Rumor && S.Origin == Origin;
  });
  return Position == Spreads.end() ? nullptr : &*Position;
}

std::vector<RumorSpread::Target>
RumorSpread::domainTargets(std::span<const MemberRecord> Members,
                           const FailureDomainName &Domain) const {
  std::vector<Target> Result;
  for (const MemberRecord &M : Members)
    if (isLive(M) && M.Host.Id != Self && M.Host.Domain == Domain)
      Result.push_back({M.Host.Id, std::nullopt, 0});
  return Result;
}

std::vector<RumorSpread::Target>
RumorSpread::targets(std::span<const MemberRecord> Members) const {
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
      Result.push_back({Hosts[0], Domain, 0});
    else
      for (const HostId &Host : Hosts)
        Result.push_back({Host, std::nullopt, 0});
  }
  return Result;
}

void RumorSpread::send(Spread &S, SpreadStep &Step, Instant Now) {
  for (Target &T : S.Pending) {
    ++T.Sends;
    Step.Pushes.push_back({T.Member, S.Rumor, T.RelayFor.has_value()});
  }
  S.NextSend = Now + Timing.RumorResend;
}

void RumorSpread::finish(const Spread &S, SpreadStep &Step) {
  if (S.Origin) {
    if (S.Pending.empty())
      Step.Covered.push_back({*S.Origin, S.Rumor});
    return;
  }
  SpreadEnded Ended{S.Rumor, S.Pending.empty(), {}};
  for (const Target &T : S.Pending)
    Ended.Missing.push_back(T.Member);
  Step.Ended.push_back(std::move(Ended));
}

void RumorSpread::add(Spread S, SpreadStep &Step, Instant Now) {
  if (S.Pending.empty() || Spreads.size() >= MaxSpreads) {
    finish(S, Step);
    return;
  }
  send(S, Step, Now);
  Spreads.push_back(std::move(S));
}

SpreadStep RumorSpread::start(std::uint64_t Rumor,
                              std::span<const MemberRecord> Members,
                              Instant Now) {
  SpreadStep Step;
  if (find(Rumor, std::nullopt))
    return Step;
  add({Rumor, std::nullopt, targets(Members), Now,
       Now + Timing.RumorSpreadTime},
      Step, Now);
  return Step;
}

SpreadStep RumorSpread::relay(std::uint64_t Rumor, const HostId &Origin,
                              std::span<const MemberRecord> Members,
                              Instant Now) {
  SpreadStep Step;
  // finish() reports only a relay without pending targets.
  if (const Spread *Stored = find(Rumor, Origin)) {
    finish(*Stored, Step);
    return Step;
  }
  const MemberRecord *Own = findMember(Members, Self);
  if (!Own)
    return Step;
  Spread S{Rumor, Origin, domainTargets(Members, Own->Host.Domain), Now,
           Now + Timing.RumorSpreadTime};
  std::erase_if(S.Pending, [&](const Target &T) { return T.Member == Origin; });
  add(std::move(S), Step, Now);
  return Step;
}

SpreadStep RumorSpread::acknowledged(std::uint64_t Rumor, const HostId &From,
                                     bool Covered, Instant Now) {
  SpreadStep Step;
  for (Spread &S : Spreads) {
    if (S.Rumor != Rumor || S.Pending.empty())
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

bool RumorSpread::changeRelay(Target &T,
                              std::span<const MemberRecord> Members) {
  const auto Candidates = domainTargets(Members, *T.RelayFor);
  if (Candidates.empty())
    return false;
  const auto Next = std::ranges::upper_bound(
      Candidates, T.Member, {}, [](const Target &C) { return C.Member; });
  T.Member = (Next == Candidates.end() ? Candidates.front() : *Next).Member;
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
    return (!Live || T.Sends >= SendsPerRelay) && !changeRelay(T, Members);
  });
  return S.Pending.empty();
}

SpreadStep RumorSpread::tick(std::span<const MemberRecord> Members,
                             Instant Now) {
  SpreadStep Step;
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
  for (const Spread &S : Spreads) {
    const Instant Due =
        S.Pending.empty() ? S.EndsAt : std::min(S.NextSend, S.EndsAt);
    Next = Next ? std::min(*Next, Due) : Due;
  }
  return Next;
}

} // namespace masticgap::coordination
