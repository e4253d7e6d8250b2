#include "masticgap/coordination/account_limit/account_owner.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination {

namespace {

//! Answers are kept for a retransmission, which follows within a round trip.
constexpr Duration AnswerMemory = std::chrono::milliseconds(500);
constexpr std::size_t MaxAnswers = 4096;
//! Largest grant of credit in stock to a host.
constexpr std::uint32_t MaxStockGrant = 4;
//! Expired credit in stock is counted for this time longer at most, which saves
//! processor time.
constexpr Duration HeldCheckInterval = std::chrono::milliseconds(100);
//! Refused requests count as returning for about this time.
constexpr Duration RefusalDecay = std::chrono::seconds(1);
//! A host asks the account's next owner after this time.
constexpr Duration NotOwnerRetry = std::chrono::milliseconds(500);
//! Ownerships that begin within this time of the start of the process belong to
//! the start.
constexpr Duration StartTime = std::chrono::seconds(5);

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

std::uint32_t milliseconds(Duration Time) {
  return static_cast<std::uint32_t>(std::ceil(seconds(Time) * 1000));
}

} // namespace

double AccountOwner::capacity(const Bucket &Target, Instant Now) {
  // At least one request, or an account of a low rate would get none.
  return std::max(
      1.0, (Target.Limit.Burst + Settings.storedSlack() +
            Target.Limit.RatePerSecond * seconds(Settings.storedRate())) *
               Owners.share(Now));
}

void AccountOwner::fill(Bucket &Target, Instant Now) {
  const Instant From = std::max(Target.FilledAt, servesFrom(Target));
  if (Now > From)
    Target.Tokens +=
        Target.Limit.RatePerSecond * Owners.share(Now) * seconds(Now - From);
  Target.FilledAt = Now;
  Target.Tokens = std::min(Target.Tokens, maxTokens(Target, Now));
}

double AccountOwner::stock(Bucket &Target, Instant Now) {
  if (Now - Target.HeldCheckedAt >= HeldCheckInterval) {
    Target.HeldCheckedAt = Now;
    std::erase_if(Target.Held,
                  [&](const auto &Entry) { return Entry.second.Until <= Now; });
  }
  double Sum = Now < Target.InheritedUntil ? Target.Inherited : 0;
  for (const auto &[Host, Held] : Target.Held)
    Sum += Held.Count;
  return Sum;
}

double AccountOwner::maxTokens(Bucket &Target, Instant Now) {
  return std::max(0.0, capacity(Target, Now) - stock(Target, Now));
}

bool AccountOwner::isOutdated(const HostId &From,
                              const CreditRequest &Request) const {
  const auto Target = Buckets.find(Request.Account);
  if (Target == Buckets.end())
    return false;
  const auto Held = Target->second.Held.find(From);
  return Held != Target->second.Held.end() && Request.Id < Held->second.LastId;
}

void AccountOwner::recordStock(Bucket &Target, const HostId &From,
                               const CreditRequest &Request, Instant Now) {
  const auto Known = Target.Held.find(From);
  if (Known == Target.Held.end()) {
    // This process may have started after another one had granted the stock.
    if (Request.Stock > 0)
      Target.Held.emplace(From,
                          HeldStock{Request.Stock,
                                    Now + AccountLimitSettings::StockValidity,
                                    Request.Id});
    return;
  }
  HeldStock &Held = Known->second;
  if (Request.Stock > Held.Count)
    Held.Until = Now + AccountLimitSettings::StockValidity;
  // The answer to a repeated request may already have been sent.
  if (Request.Id != Held.LastId)
    Held.Count = Request.Stock;
  Held.LastId = Request.Id;
}

std::uint32_t AccountOwner::grantStock(Bucket &Target, const HostId &From,
                                       const CreditRequest &Request,
                                       Instant Now) {
  const auto Known = Target.Held.find(From);
  const std::size_t IsNew = Known == Target.Held.end() ? 1 : 0;
  const bool Repeated = IsNew == 0 && Known->second.LastId == Request.Id &&
                        Known->second.Count != Request.Stock;
  if (Request.StockWanted == 0 || Repeated || From == Owners.self() ||
      Now < servesFrom(Target) || Target.Tokens < capacity(Target, Now) / 2)
    return 0;
  const double Largest =
      AccountLimitSettings::maxStock(Target.Limit) * Owners.share(Now);
  // Hosts that held stock recently get equal parts, or a few would hold all.
  const double Part =
      std::max(1.0, Largest / static_cast<double>(Target.Held.size() + IsNew));
  const double Count = std::floor(std::min(
      {static_cast<double>(std::min(Request.StockWanted, MaxStockGrant)),
       Part - Request.Stock, Largest - stock(Target, Now), Target.Tokens}));
  if (Count < 1)
    return 0;
  Target.Tokens -= Count;
  HeldStock &Held = Target.Held[From];
  Held.Count += static_cast<std::uint32_t>(Count);
  Held.Until = Now + AccountLimitSettings::StockValidity;
  Held.LastId = Request.Id;
  return static_cast<std::uint32_t>(Count);
}

Instant AccountOwner::servesFrom(const Bucket &Target) const {
  if (!Target.Settles)
    return Target.BeganAt;
  const Instant Settled = Target.BeganAt + Owners.settleTime();
  const auto CommonStart = Owners.commonStart();
  if (!CommonStart || Target.BeganAt > StartedAt + StartTime)
    return Settled;
  return std::min(Settled, std::max(Target.BeganAt, *CommonStart));
}

void AccountOwner::begin(Bucket &Target, Instant BeganAt, bool Settles,
                         Instant Now) {
  Target.BeganAt = BeganAt;
  Target.Settles = Settles;
  Target.FilledAt = Now;
  Target.Tokens = 0;
  if (Target.InitialAt && Now - *Target.InitialAt < Settings.Window)
    return;
  Target.InitialAt = Now;
  Target.Tokens = std::min(Settings.initialCredit() * Owners.share(Now),
                           maxTokens(Target, Now));
}

void AccountOwner::update(std::span<const AccountLimit> Limits, Instant Now) {
  std::unordered_map<AccountKey, Bucket> Before = std::move(Buckets);
  Buckets.clear();
  for (const AccountLimit &Limit : Limits) {
    const HostId &Owner = Owners.owner(Limit.Key);
    const bool Here = Owner == Owners.self();
    const auto Found = Before.find(Limit.Key);
    Bucket Target;
    if (Found == Before.end()) {
      // The account is new, or this host has just started.
      Target.Limit = Limit;
      if (Here)
        begin(Target, StartedAt, true, Now);
    } else {
      Target = std::move(Found->second);
      const bool WasHere = Target.Owner == Owners.self();
      if (WasHere)
        fill(Target, Now);
      Target.Limit = Limit;
      if (Here && !WasHere) {
        // A host that stops as planned knows this before all others, so that
        // it grants nothing any more.
        const FleetMemberStatus Previous = Owners.status(Target.Owner);
        const bool HasStopped =
            !Target.Owner.empty() && (Previous == FleetMemberStatus::Stopping ||
                                      Previous == FleetMemberStatus::Left);
        if (HasStopped) {
          Target.Inherited =
              AccountLimitSettings::maxStock(Limit) * Owners.share(Now);
          Target.InheritedUntil = Now + AccountLimitSettings::StockValidity;
        }
        begin(Target, Now, !HasStopped, Now);
      }
      Target.Tokens =
          Here ? std::min(Target.Tokens, maxTokens(Target, Now)) : 0;
    }
    Target.Owner = Owner;
    Buckets.emplace(Limit.Key, std::move(Target));
  }
}

void AccountOwner::restart(Instant Now) {
  StartedAt = Now;
  for (auto &[Account, Target] : Buckets)
    begin(Target, Now, true, Now);
}

Duration AccountOwner::untilCredit(Bucket &Target, double Refused,
                                   Instant Now) {
  const double Rate =
      std::max(1e-3, Target.Limit.RatePerSecond * Owners.share(Now));
  const double Wait =
      std::min(seconds(Settings.Window),
               std::max(0.0, 1 - Target.Tokens + Refused) / Rate);
  return std::max(Duration(0), servesFrom(Target) - Now) +
         std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Wait));
}

CreditGrant AccountOwner::decide(const HostId &From,
                                 const CreditRequest &Request, Instant Now) {
  CreditGrant Result;
  Result.Id = Request.Id;
  Result.Account = Request.Account;
  const auto Found = Buckets.find(Request.Account);
  if (Found == Buckets.end() || !Owners.isOwnedHere(Request.Account)) {
    Result.Status = OwnerStatus::NotOwner;
    Result.RetryAfterMs = milliseconds(NotOwnerRetry);
    return Result;
  }
  Bucket &Target = Found->second;
  recordStock(Target, From, Request, Now);
  fill(Target, Now);
  if (Now < servesFrom(Target))
    Result.Status = OwnerStatus::Starting;
  const auto Available = static_cast<std::uint64_t>(Target.Tokens);
  const std::uint64_t Wanted = std::uint64_t{Request.Waiting} + Request.Ahead;
  Result.Granted = static_cast<std::uint32_t>(std::min(Available, Wanted));
  Target.Tokens -= Result.Granted;
  Result.Stock = grantStock(Target, From, Request, Now);
  Target.Refused *=
      std::exp(-seconds(Now - Target.RefusedAt) / seconds(RefusalDecay));
  Target.RefusedAt = Now;
  Target.Refused += Request.Refused;
  if (Result.Granted < Request.Waiting) {
    Result.RetryAfterMs =
        milliseconds(untilCredit(Target, Target.Refused, Now));
    Target.Refused += Request.Waiting - Result.Granted;
  }
  return Result;
}

std::optional<CreditGrant> AccountOwner::handle(const HostId &From,
                                                const CreditRequest &Request,
                                                Instant Now) {
  forgetAnswers(Now);
  AnswerKey Key(From, Request.Id);
  const auto Known = Answers.find(Key);
  if (Known != Answers.end())
    return Known->second.Grant;
  if (isOutdated(From, Request))
    return std::nullopt;
  Owners.recordKnownByPeer(Request.Members, Now);
  const CreditGrant Grant = decide(From, Request, Now);
  if (From != Owners.self()) {
    AnswerOrder.emplace_back(Now, Key);
    Answers.emplace(std::move(Key), Answered{Grant, Now});
  }
  return Grant;
}

std::optional<AccountBucket>
AccountOwner::bucket(AccountKey Account, double Share, Instant Now) const {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end() || !Owners.isOwnedHere(Account))
    return std::nullopt;
  const Bucket &Target = Found->second;
  const Instant Serves = servesFrom(Target);
  const Duration Filling = Now - std::max(Target.FilledAt, Serves);
  return AccountBucket{Target.Tokens + Target.Limit.RatePerSecond * Share *
                                           std::max(0.0, seconds(Filling)),
                       std::max(Duration(0), Serves - Now)};
}

std::optional<CreditBalance> AccountOwner::balance(AccountKey Account,
                                                   Instant Now) {
  const auto Found = Buckets.find(Account);
  if (Found == Buckets.end() || !Owners.isOwnedHere(Account))
    return std::nullopt;
  Bucket &Target = Found->second;
  fill(Target, Now);
  return CreditBalance{Target.Tokens, stock(Target, Now),
                       capacity(Target, Now)};
}

void AccountOwner::forgetAnswers(Instant Now) {
  while (!AnswerOrder.empty() &&
         (AnswerOrder.front().first + AnswerMemory <= Now ||
          AnswerOrder.size() > MaxAnswers)) {
    Answers.erase(AnswerOrder.front().second);
    AnswerOrder.pop_front();
  }
}

} // namespace masticgap::coordination
