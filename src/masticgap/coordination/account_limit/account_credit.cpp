#include "masticgap/coordination/account_limit/account_credit.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace masticgap::coordination {

namespace {

//! A timer that fires later than this shows that the event loop of this host
//! was late, and that the owner's answer may be as well.
constexpr Duration MaxLateness = std::chrono::milliseconds(50);
//! Demand that is requested ahead. Half of the longest validity, so that little
//! credit expires.
constexpr Duration AheadTime = std::chrono::milliseconds(100);
//! Decay of the demand estimate.
constexpr Duration DemandDecay = std::chrono::milliseconds(200);
//! Longest time for which a refusal of the owner answers further requests. With
//! a round trip it stays below the time for which the bucket stores rate.
constexpr Duration MaxHold = std::chrono::milliseconds(50);
//! The retransmission follows this time after an ordinary round trip.
constexpr Duration ResendMargin = std::chrono::milliseconds(5);
//! Retry-After while the owner does not answer; its death is known to all hosts
//! within a few seconds.
constexpr Duration NoOwnerRetry = std::chrono::seconds(1);
//! An unused admission of the floor is kept for this time, and for a fifth of
//! the window at most.
constexpr Duration MaxFloorKept = std::chrono::seconds(1);
//! Requests of one account that may wait at a host at the same time.
constexpr std::size_t MaxWaiting = 512;
constexpr double MaxAhead = 4096;
//! Credit in stock that a host may hold of one account.
constexpr std::uint32_t MaxStockWanted = 4;

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Time) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Time));
}

} // namespace

AccountCredit::AccountCredit(AccountLimitSettings Settings,
                             const AccountOwners &Owners, std::uint64_t Seed,
                             Instant Started)
    : Settings(Settings), Owners(Owners), Random(Seed),
      NextId(static_cast<std::uint64_t>(
          std::chrono::nanoseconds(Started.time_since_epoch()).count())) {}

void AccountCredit::setLimits(std::span<const AccountLimit> Limits,
                              Instant Now) {
  std::unordered_map<AccountKey, State> Before = std::move(States);
  States.clear();
  for (const AccountLimit &Limit : Limits) {
    const auto Found = Before.find(Limit.Key);
    State Target;
    if (Found != Before.end()) {
      Target = std::move(Found->second);
      Before.erase(Found);
    }
    if (Limit != Target.Limit) {
      Target.HoldUntil = Target.ExpectedAt = Now;
      Target.Stock.clear();
    }
    Target.Limit = Limit;
    States.emplace(Limit.Key, std::move(Target));
  }
  for (const auto &[Account, Target] : Before) {
    Active.erase(Account);
    for (const Waiter &Next : Target.Waiting)
      Decisions.push_back({Next.Id, AccountAdmitted()});
  }
}

void AccountCredit::ownersChanged(Instant Now) {
  for (auto &[Account, Target] : States) {
    if (!Target.Stock.empty() && Target.StockOwner != Owners.owner(Account))
      Target.Stock.clear();
    if (Target.NoOwner ||
        (Target.Open && Target.Open->Owner != Owners.owner(Account))) {
      Target.NoOwner = false;
      Target.Open.reset();
      Target.HoldUntil = Target.ExpectedAt = Now;
      if (!Target.Waiting.empty())
        ask(Target, Now);
      updateActive(Target);
    }
  }
}

std::uint32_t AccountCredit::available(std::deque<Lot> &Lots, Instant Now) {
  std::erase_if(Lots, [&](const Lot &Held) {
    return Held.Count == 0 || Held.Expires <= Now;
  });
  std::uint32_t Sum = 0;
  for (const Lot &Held : Lots)
    Sum += Held.Count;
  return Sum;
}

std::optional<AccountAdmitted> AccountCredit::take(State &Target,
                                                   Instant Now) const {
  if (available(Target.Lots, Now) > 0) {
    Lot &First = Target.Lots.front();
    --First.Count;
    return AccountAdmitted{First.Expires, true, false};
  }
  if (available(Target.Stock, Now) == 0)
    return std::nullopt;
  // The owner counts this credit as used from its next message on, so that it
  // is credit without stock when it is given back.
  Lot &First = Target.Stock.front();
  --First.Count;
  ++Target.Totals.FromStock;
  return AccountAdmitted{
      std::min(First.Expires, Now + Settings.creditValidity()), true, false};
}

std::uint32_t AccountCredit::stock(AccountKey Account, Instant Now) {
  const auto Found = States.find(Account);
  return Found == States.end() ? 0 : available(Found->second.Stock, Now);
}

std::uint32_t AccountCredit::usefulStock(const State &Target, Instant Now) {
  const auto IsShort = [](Duration Gap) {
    return Gap < AccountLimitSettings::StockValidity;
  };
  // Credit in stock of a host with rare requests would expire unused.
  if (!IsShort(Target.LastGap) || !IsShort(Now - Target.DemandAt))
    return 0;
  return std::clamp(
      static_cast<std::uint32_t>(std::min(MaxAhead, Target.Recent)),
      std::uint32_t{1}, MaxStockWanted);
}

double AccountCredit::recentRate(const State &Target) const {
  return Target.Demand / seconds(DemandDecay);
}

void AccountCredit::recordDemand(State &Target, Instant Now) const {
  Target.LastGap = Now - Target.DemandAt;
  const double Elapsed = seconds(Target.LastGap);
  Target.Demand = Target.Demand * std::exp(-Elapsed / seconds(DemandDecay)) + 1;
  Target.Recent =
      Target.Recent *
          std::exp(-Elapsed / seconds(AccountLimitSettings::StockValidity)) +
      1;
  Target.DemandAt = Now;
}

AccountAdmission AccountCredit::admit(AccountKey Account, Instant Now) {
  const auto Found = States.find(Account);
  if (Found == States.end())
    return AccountAdmitted();
  State &Target = Found->second;
  recordDemand(Target, Now);
  if (Target.Waiting.empty()) {
    const std::uint64_t FromStock = Target.Totals.FromStock;
    if (const auto Credit = take(Target, Now)) {
      askAhead(Target, Now);
      if (Target.Totals.FromStock > FromStock)
        refillStock(Target, Now);
      return *Credit;
    }
  }
  // One request at a time finds out whether the owner answers again.
  const bool Refuse =
      Target.NoOwner
          ? Target.Open.has_value() || Now < Target.HoldUntil
          : Now < Target.HoldUntil && Target.ExpectedAt + Settings.RoundTrip >
                                          Now + Settings.creditValidity();
  if (Refuse || Target.Waiting.size() >= MaxWaiting) {
    const auto Result = withoutCredit(Target, Now);
    if (const auto *ByFloor = std::get_if<AccountAdmitted>(&Result))
      return *ByFloor;
    ++Target.Refused;
    return std::get<OverLimit>(Result);
  }
  const std::uint64_t Id = NextWaiter++;
  Target.Waiting.push_back({Id, Now + Settings.creditValidity(), false});
  if (!Target.Open && Now >= Target.HoldUntil)
    ask(Target, Now);
  updateActive(Target);
  return AwaitCredit{Id};
}

void AccountCredit::cancel(AccountKey Account, std::uint64_t Id) {
  const auto Found = States.find(Account);
  if (Found == States.end())
    return;
  std::erase_if(Found->second.Waiting,
                [&](const Waiter &Next) { return Next.Id == Id; });
  updateActive(Found->second);
}

void AccountCredit::giveBack(AccountKey Account, const AccountAdmitted &Unused,
                             Instant Now) {
  const auto Found = States.find(Account);
  if (Found == States.end() || !Unused.Limited || Unused.ByFloor ||
      Unused.Expires <= Now)
    return;
  Found->second.Lots.push_front({1, Unused.Expires});
  serveWaiting(Found->second, Now);
  updateActive(Found->second);
}

void AccountCredit::ask(State &Target, Instant Now) {
  const HostId &Owner = Owners.owner(Target.Limit.Key);
  if (Owner.empty())
    return;
  const double Expected =
      std::min(MaxAhead, recentRate(Target) * seconds(AheadTime)) -
      static_cast<double>(available(Target.Lots, Now)) -
      static_cast<double>(Target.Waiting.size());
  CreditRequest Request;
  Request.Id = NextId++;
  Request.Account = Target.Limit.Key;
  Request.Waiting = static_cast<std::uint32_t>(Target.Waiting.size());
  Request.Ahead = static_cast<std::uint32_t>(std::max(0.0, Expected));
  Request.Refused = std::exchange(Target.Refused, 0);
  Request.Members = static_cast<std::uint32_t>(Owners.knownMembers());
  Request.Stock = available(Target.Stock, Now);
  // The decision of this host as the owner needs no message.
  if (Owner != Owners.self()) {
    const std::uint32_t Useful = usefulStock(Target, Now);
    Request.StockWanted = Useful - std::min(Useful, Request.Stock);
  }
  Target.Totals.Requested +=
      Request.Waiting + Request.Ahead + Request.StockWanted;
  Messages.push_back({Owner, Request});
  Target.Open = {Request, Owner, Now, false};
}

void AccountCredit::askAhead(State &Target, Instant Now) {
  const double Rate = recentRate(Target);
  if (Target.Open || Target.NoOwner || Now < Target.HoldUntil ||
      Rate * seconds(AheadTime) < 2 ||
      available(Target.Lots, Now) > Rate * seconds(Settings.RoundTrip))
    return;
  ask(Target, Now);
  updateActive(Target);
}

void AccountCredit::refillStock(State &Target, Instant Now) {
  // Asking for half of the stock or more at once saves messages.
  if (Target.Open || Target.NoOwner || Now < Target.HoldUntil ||
      available(Target.Stock, Now) > usefulStock(Target, Now) / 2)
    return;
  ask(Target, Now);
  updateActive(Target);
}

void AccountCredit::handle(const HostId &From, const CreditGrant &Grant,
                           Instant Now) {
  const auto Found = States.find(Grant.Account);
  if (Found == States.end())
    return;
  State &Target = Found->second;
  if (!Target.Open || Target.Open->What.Id != Grant.Id ||
      Target.Open->Owner != From)
    return;
  const OpenRequest Asked = *std::exchange(Target.Open, std::nullopt);
  const std::uint32_t Granted =
      std::min(Grant.Granted, Asked.What.Waiting + Asked.What.Ahead);
  const std::uint32_t Stock = std::min(Grant.Stock, Asked.What.StockWanted);
  Target.Totals.Granted += Granted + Stock;
  // The validity counts from the sending of the request, which was before the
  // debit, so that clocks need not agree.
  const Instant Expires = Asked.SentAt + Settings.creditValidity();
  if (Granted > 0 && Expires > Now)
    Target.Lots.push_back({Granted, Expires});
  const Instant StockExpires =
      Asked.SentAt + AccountLimitSettings::StockValidity;
  if (Stock > 0 && StockExpires > Now) {
    Target.Stock.push_back({Stock, StockExpires});
    Target.StockOwner = From;
  }
  serveWaiting(Target, Now);
  const bool Short = Granted < Asked.What.Waiting;
  if (!Short || Grant.Status == OwnerStatus::Owner)
    Target.NoOwner = false;
  if (Short) {
    const Duration Wait = std::chrono::milliseconds(
        std::max<std::uint32_t>(1, Grant.RetryAfterMs));
    Target.ExpectedAt = Now + Wait;
    Target.HoldUntil = Now + std::min(Wait, MaxHold);
    if (Grant.Status != OwnerStatus::Owner)
      loseOwner(Target, Now);
    refuseWaiting(Target, Target.ExpectedAt + Settings.RoundTrip, Now);
  } else if (!Target.Waiting.empty()) {
    ask(Target, Now);
  }
  updateActive(Target);
}

void AccountCredit::serveWaiting(State &Target, Instant Now) {
  while (!Target.Waiting.empty()) {
    const auto Credit = take(Target, Now);
    if (!Credit)
      return;
    Decisions.push_back({Target.Waiting.front().Id, *Credit});
    Target.Waiting.pop_front();
  }
}

void AccountCredit::refuseWaiting(State &Target, Instant Before, Instant Now) {
  // Waiting requests are ordered by the end of their wait.
  while (!Target.Waiting.empty() && Target.Waiting.front().Until <= Before) {
    Decisions.push_back(
        {Target.Waiting.front().Id, withoutCredit(Target, Now)});
    Target.Waiting.pop_front();
  }
}

Duration AccountCredit::floorInterval(const State &Target) const {
  const double Rate = Settings.floorShare() * Target.Limit.RatePerSecond /
                      static_cast<double>(Owners.knownMembers());
  return fromSeconds(Rate > 0 ? std::min(1e6, 1 / Rate) : 1e6);
}

void AccountCredit::loseOwner(State &Target, Instant Now) {
  if (std::exchange(Target.NoOwner, true))
    return;
  // A random phase spreads the admissions of all hosts evenly, although each
  // host admits whole requests.
  Target.NextFloor =
      Now + fromSeconds(std::uniform_real_distribution<double>(0, 1)(Random) *
                        seconds(floorInterval(Target)));
}

std::variant<AccountAdmitted, OverLimit>
AccountCredit::withoutCredit(State &Target, Instant Now) {
  if (Target.NoOwner) {
    const Duration Interval = floorInterval(Target);
    const Duration Kept = std::min(MaxFloorKept, Settings.Window / 5);
    if (Target.NextFloor + Kept < Now) {
      const double Missed =
          std::ceil(seconds(Now - Kept - Target.NextFloor) / seconds(Interval));
      Target.NextFloor += fromSeconds(Missed * seconds(Interval));
    }
    if (Target.NextFloor <= Now) {
      Target.NextFloor += Interval;
      ++Target.Totals.Floor;
      return AccountAdmitted{Now + Settings.arrivalDelay(), true, true};
    }
  }
  ++Target.Totals.Refused;
  const Duration Expected = std::max(Target.ExpectedAt, Target.HoldUntil) - Now;
  return OverLimit{Target.NoOwner
                       ? std::max(Expected, NoOwnerRetry)
                       : std::max<Duration>(Expected, Settings.RoundTrip)};
}

void AccountCredit::extendWaits(State &Target, Instant Now) {
  const auto First =
      std::ranges::find(Target.Waiting, false, &Waiter::Extended);
  if (First == Target.Waiting.end() || First->Until + MaxLateness >= Now)
    return;
  for (auto Next = First; Next != Target.Waiting.end(); ++Next)
    *Next = {Next->Id, Now + Settings.creditValidity(), true};
}

void AccountCredit::advance(State &Target, Instant Now) {
  extendWaits(Target, Now);
  if (Target.Open) {
    const bool Late =
        Now >= Target.Open->SentAt + Settings.RoundTrip + ResendMargin;
    const Instant End = Target.Open->SentAt + Settings.creditValidity();
    if (Now >= End) {
      Target.Open.reset();
      if (Now <= End + MaxLateness)
        loseOwner(Target, Now);
    } else if (Late && !std::exchange(Target.Open->Repeated, true)) {
      Messages.push_back({Target.Open->Owner, Target.Open->What});
    }
  }
  if (!Target.Waiting.empty() && Target.Waiting.front().Until <= Now) {
    if (Target.Open && Target.Open->Repeated)
      loseOwner(Target, Now);
    refuseWaiting(Target, Now, Now);
  }
  if (!Target.Open && !Target.Waiting.empty() && Now >= Target.ExpectedAt)
    ask(Target, Now);
  updateActive(Target);
}

void AccountCredit::advance(Instant Now) {
  const std::vector<AccountKey> Due(Active.begin(), Active.end());
  for (const AccountKey Account : Due)
    advance(States.at(Account), Now);
}

std::optional<Instant> AccountCredit::nextDeadline() const {
  std::optional<Instant> Next;
  const auto Consider = [&](Instant At) {
    if (!Next || At < *Next)
      Next = At;
  };
  for (const AccountKey Account : Active) {
    const State &Target = States.at(Account);
    if (Target.Open)
      Consider(Target.Open->SentAt + (Target.Open->Repeated
                                          ? Settings.creditValidity()
                                          : Settings.RoundTrip + ResendMargin));
    if (!Target.Waiting.empty()) {
      Consider(Target.Waiting.front().Until);
      if (!Target.Open && !Owners.owner(Account).empty())
        Consider(Target.ExpectedAt);
    }
  }
  return Next;
}

void AccountCredit::updateActive(const State &Target) {
  if (Target.Open || !Target.Waiting.empty())
    Active.insert(Target.Limit.Key);
  else
    Active.erase(Target.Limit.Key);
}

std::optional<std::variant<AccountAdmitted, OverLimit>>
AccountCredit::takeDecision(std::uint64_t Id) {
  const auto Found = std::ranges::find(Decisions, Id, &AccountDecision::Waiter);
  if (Found == Decisions.end())
    return std::nullopt;
  auto Result = Found->Result;
  Decisions.erase(Found);
  return Result;
}

const AccountCounters *AccountCredit::counters(AccountKey Account) const {
  const auto Found = States.find(Account);
  return Found == States.end() ? nullptr : &Found->second.Totals;
}

std::optional<AccountStatus> AccountCredit::status(AccountKey Account,
                                                   Instant Now) const {
  const auto Found = States.find(Account);
  if (Found == States.end())
    return std::nullopt;
  const State &Target = Found->second;
  AccountStatus Result;
  Result.Totals = Target.Totals;
  for (const Lot &Held : Target.Lots)
    Result.Held += Held.Expires > Now ? Held.Count : 0;
  Result.Waiting = Target.Waiting.size();
  Result.OwnerAnswers = !Target.NoOwner;
  return Result;
}

} // namespace masticgap::coordination
