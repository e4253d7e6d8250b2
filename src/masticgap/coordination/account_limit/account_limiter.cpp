#include "masticgap/coordination/account_limit/account_limiter.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! A shorter pause does not get a host declared dead: gossip suspects a member
//! for three periods of 500 ms before.
constexpr Duration MaxPause = std::chrono::milliseconds(1500);
//! A host without messages of others for this time may have been declared dead.
//! Gossip exchanges messages in each period of 500 ms.
constexpr Duration MaxSilence = std::chrono::milliseconds(1500);

} // namespace

AccountLimiter::AccountLimiter(AccountLimitSettings Settings, HostId Self,
                               std::size_t MinMembers, std::uint64_t Seed,
                               Instant Started)
    : Settings(Settings), Owners(Settings, std::move(Self), MinMembers),
      Owned(Settings, Owners, Started), Credit(Settings, Owners, Seed, Started),
      LastHeartbeat(Started), LastContact(Started), RestartedAt(Started) {}

void AccountLimiter::heartbeat(Instant Now) {
  checkContinuity(Now);
  LastHeartbeat = Now;
}

void AccountLimiter::checkContinuity(Instant Now) {
  const bool Paused = Now - LastHeartbeat > MaxPause;
  if (Paused)
    LastHeartbeat = Now;
  // The settle time is longer than a heartbeat period, so that the buckets do
  // not fill before the next restart.
  const bool Due = isIsolated(Now) && Now - RestartedAt >= HeartbeatPeriod;
  if (Due)
    RestartedAt = Now;
  if (Paused || Due)
    Owned.restart(Now);
}

bool AccountLimiter::isIsolated(Instant Now) const {
  return Owners.liveMembers() > 1 &&
         Now - LastContact >
             std::max<Duration>(MaxSilence, Settings.GossipPeriod * 3);
}

void AccountLimiter::recordContact(Instant Now) {
  checkContinuity(Now);
  if (isIsolated(Now))
    Owned.restart(Now);
  LastContact = Now;
}

void AccountLimiter::setSettings(const AccountLimitSettings &New, Instant Now) {
  Settings = New;
  Owners.setSettings(New);
  Owned.setSettings(New);
  Credit.setSettings(New);
  Owned.update(Limits, Now);
}

void AccountLimiter::setLimits(std::vector<AccountLimit> New, Instant Now) {
  Limits = std::move(New);
  Owners.setAccounts(Limits);
  Owned.update(Limits, Now);
  Credit.setLimits(Limits, Now);
  route(Now);
}

void AccountLimiter::setMembers(std::span<const FleetMember> Members,
                                Instant Now) {
  Owners.setMembers(Members, Now);
  Owned.update(Limits, Now);
  Credit.ownersChanged(Now);
  route(Now);
}

AccountAdmission AccountLimiter::admit(AccountKey Account, Instant Now) {
  checkContinuity(Now);
  AccountAdmission Result = Credit.admit(Account, Now);
  route(Now);
  // The owner may be this host, so that the decision is there already.
  if (const auto *Waits = std::get_if<AwaitCredit>(&Result))
    if (const auto Decided = Credit.takeDecision(Waits->Waiter))
      return std::visit([](const auto &End) { return AccountAdmission(End); },
                        *Decided);
  return Result;
}

std::optional<AccountStatus> AccountLimiter::status(AccountKey Account,
                                                    Instant Now) const {
  auto Result = Credit.status(Account, Now);
  if (!Result)
    return std::nullopt;
  Result->Owner = Owners.owner(Account);
  // share() brings the owners up to date, so it is called on a copy.
  if (Owners.isOwnedHere(Account))
    Result->Bucket =
        Owned.bucket(Account, AccountOwners(Owners).share(Now), Now);
  return Result;
}

AccountAdmission AccountLimiter::preview(AccountKey Account,
                                         Instant Now) const {
  AccountCredit Copy = Credit;
  const AccountAdmission Result = Copy.admit(Account, Now);
  if (!std::holds_alternative<AwaitCredit>(Result))
    return Result;
  const auto Known = status(Account, Now);
  if (!Known || !Known->Bucket)
    return Result;
  if (Known->Bucket->Tokens >= 1)
    return AccountAdmitted{Now + Settings.creditValidity(), true, false};
  const auto Limit = std::ranges::find(Limits, Account, &AccountLimit::Key);
  const std::chrono::duration<double> Wait(Limit == Limits.end()
                                               ? 0
                                               : (1 - Known->Bucket->Tokens) /
                                                     Limit->RatePerSecond);
  return OverLimit{Known->Bucket->StartsIn +
                   std::chrono::duration_cast<Duration>(Wait)};
}

void AccountLimiter::handle(const HostId &From, const AccountMessage &Message,
                            Instant Now) {
  recordContact(Now);
  if (const auto *Request = std::get_if<CreditRequest>(&Message)) {
    if (const auto Grant = Owned.handle(From, *Request, Now))
      Messages.push_back({From, *Grant});
  } else {
    Credit.handle(From, std::get<CreditGrant>(Message), Now);
  }
  route(Now);
}

void AccountLimiter::advance(Instant Now) {
  checkContinuity(Now);
  Credit.advance(Now);
  route(Now);
}

void AccountLimiter::route(Instant Now) {
  // A grant may lead to another credit request, which ends when the bucket is
  // empty or nothing waits.
  while (true) {
    auto Next = Credit.takeMessages();
    if (Next.empty())
      return;
    for (OutgoingAccountMessage &Message : Next) {
      if (Message.To != Owners.self()) {
        Messages.push_back(std::move(Message));
        continue;
      }
      const auto &Request = std::get<CreditRequest>(Message.What);
      if (const auto Grant = Owned.handle(Owners.self(), Request, Now))
        Credit.handle(Owners.self(), *Grant, Now);
    }
  }
}

} // namespace masticgap::coordination
