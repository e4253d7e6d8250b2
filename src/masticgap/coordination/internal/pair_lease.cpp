#include "masticgap/coordination/internal/pair_lease.hpp"

#include "masticgap/coordination/link_limits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace masticgap::coordination::internal {

namespace {

using std::chrono::milliseconds;

//! Time from a write to its renewal. It leaves 5 s of the lease for retries.
constexpr Duration RenewAfter = milliseconds(5000);
//! Retry delay while others hold more than their fair share.
constexpr Duration UnsatisfiedRetry = milliseconds(2000);
//! Retry delay when the row has no space for another holder.
constexpr Duration RowFullRetry = milliseconds(8000);
//! Minimum time between writes due to increased demand.
constexpr Duration GrowthSpacing = milliseconds(1000);
constexpr Duration FirstBackoff = milliseconds(100);
constexpr Duration MaxBackoff = milliseconds(4000);
//! Time-out for answers that never arrive; longer than the time-out of the
//! transport.
constexpr Duration CallTimeout = milliseconds(3000);

//! A host that ran out of tokens requests this multiple of the rate it spent.
constexpr double LimitedDemandFactor = 4;
//! A host that ran out of tokens requests at least this multiple of its floor.
constexpr double MinLimitedFloors = 8;
//! Factor by which the request of a host with enough tokens exceeds its spent
//! rate.
constexpr double DemandMargin = 1.3;
//! A host whose demand is below this share of its floor needs no grant.
constexpr double FloorSufficientShare = 0.9;
//! Minimum factor of demand growth that causes a write before the renewal.
constexpr double MinGrowthForWrite = 1.2;
//! Time constant of the exponential decay of past demand, in seconds.
constexpr double DemandDecaySeconds = 3;
//! Time for which a demand counts after its last report. Reports stop when a
//! configuration no longer caps the pair.
constexpr Duration DemandLifetime = milliseconds(10000);

Duration jitter(Duration D, std::mt19937_64 &Random) {
  const double Factor = std::uniform_real_distribution<>(0.9, 1.1)(Random);
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(D.count()) * Factor));
}

Duration randomUpTo(Duration D, std::mt19937_64 &Random) {
  return Duration(
      std::uniform_int_distribution<Duration::rep>(0, D.count())(Random));
}

} // namespace

void PairLease::setCap(const LeaseCap &C) { Configured = C; }

void PairLease::demand(const LinkDemand &D, LeaseContext &Context,
                       Instant Now) {
  const double Since = std::chrono::duration<double>(Now - DemandAt).count();
  DemandAt = Now;
  double Target = D.BytesPerSecond * DemandMargin;
  if (D.Limited)
    Target = std::max(D.BytesPerSecond * LimitedDemandFactor,
                      Configured.Floor * MinLimitedFloors);
  Target = std::max(Target, Wanted * std::exp(-Since / DemandDecaySeconds));
  Target = std::min(Target, Configured.Cap * LinkLeasedShare);
  Wanted = Target > Configured.Floor * FloorSufficientShare ? Target : 0;
  if (Wanted == 0 || isCalling() || Failures > 0)
    return;
  if (!Due) {
    Due = Context.Growth.reserve(Now);
  } else if (Wanted > WantedInRow * MinGrowthForWrite && !GrowthPlanned) {
    GrowthPlanned = true;
    Due = std::min(*Due, Context.Growth.reserve(
                             std::max(Now, LastWriteAt + GrowthSpacing)));
  }
}

std::optional<Instant> PairLease::dueAt() const {
  return isCalling() ? std::optional(CallDeadline) : Due;
}

void PairLease::startRead(LeaseContext &Context, Instant Now) {
  CallId = Context.NextCallId++;
  CallDeadline = Now + CallTimeout;
  Due.reset();
  GrowthPlanned = false;
  Context.Actions.push_back(
      StoreRead{CallId, std::string(LinkGrantTable), linkGrantKey(Pair)});
}

void PairLease::onRow(const StoreRow &Row, LeaseContext &Context, Instant Now) {
  CallId = 0;
  auto Parsed = Row.Found ? parseLinkGrantRow(Row.Value) : LinkGrantRow{};
  if (!Parsed || rejectOutdated(Row, Now))
    return retryLater(Context, Now);
  const auto Own =
      std::ranges::find_if(Parsed->Entries, [&](const LinkGrantEntry &E) {
        return Context.Owner.owns(E);
      });
  settle(Own == Parsed->Entries.end() ? nullptr : &*Own, Context, Now);
  Observer.observe(Parsed->Entries, Now);
  plan(Row, *Parsed, Context, Now);
}

// A store that returns older rows may have lost grants of other hosts. Rows
// older than a known one are rejected until all lost grants have expired. The
// version of any other row is recorded.
bool PairLease::rejectOutdated(const StoreRow &Row, Instant Now) {
  const std::uint64_t Version = Row.Found ? Row.Version : 0;
  if (Version < KnownVersion && Now - KnownAt < LinkLeaseForOthers)
    return true;
  KnownVersion = Version;
  KnownAt = Now;
  return false;
}

void PairLease::settle(const LinkGrantEntry *Own, LeaseContext &Context,
                       Instant Now) {
  if (Pending && Own != nullptr && Own->Sequence == Pending->Sequence &&
      Now < Pending->SentAt + LinkLease)
    confirm(*Pending, Context);
  Pending.reset();
  RowRate.reset();
  if (Own != nullptr)
    RowRate = static_cast<double>(Own->Rate);
}

LeaseCap PairLease::capInForce(const LinkGrantRow &Row,
                               LeaseContext &Context) const {
  if (Row.ConfigVersion <= Configured.ConfigVersion)
    return Configured;
  LeaseCap C = Configured;
  C.ConfigVersion = Row.ConfigVersion;
  C.Cap = static_cast<double>(Row.Cap);
  Context.Actions.push_back(LinkCapSeen{Pair, C.ConfigVersion, C.Cap});
  return C;
}

void PairLease::plan(const StoreRow &Base, const LinkGrantRow &Row,
                     LeaseContext &Context, Instant Now) {
  if (Now - DemandAt > DemandLifetime)
    Wanted = 0;
  const LeaseCap C = capInForce(Row, Context);
  const double Scale = RowCap > C.Cap ? C.Cap / RowCap : 1;
  const GrantRequest Request{Wanted, C.Cap * LinkLeasedShare,
                             RowRate.value_or(0) * Scale};
  const GrantPlan P = planGrant(Row, Context.Owner, Observer, Request, Now);
  if (Wanted == 0 && !RowRate) {
    Failures = 0;
    return;
  }
  if (P.RowFull)
    return scheduleAfter(RowFullRetry, Context, Now);
  write(Base, P, C, Context, Now);
}

void PairLease::write(const StoreRow &Base, const GrantPlan &P,
                      const LeaseCap &C, LeaseContext &Context, Instant Now) {
  Attempt A;
  A.Sequence = ++LastSequence;
  A.Rate = std::floor(P.Rate);
  A.Target = P.Target;
  A.Cap = C.Cap;
  A.Releases = Wanted == 0;
  A.SentAt = Now;
  LinkGrantRow Row{C.ConfigVersion, static_cast<std::uint64_t>(C.Cap),
                   P.Others};
  if (!A.Releases)
    Row.Entries.push_back({Context.Owner.Self, Context.Owner.Run, A.Sequence,
                           static_cast<std::uint64_t>(A.Rate),
                           static_cast<std::uint64_t>(Wanted)});
  // Other hosts may use the rate that this write releases as soon as it takes
  // effect, which can be before its answer arrives.
  spendAtMost(A.Releases ? 0 : A.Rate, Context);
  WantedInRow = Wanted;
  RowCap = std::max(RowCap, A.Cap);
  LastWriteAt = Now;
  Pending = A;
  CallId = Context.NextCallId++;
  CallDeadline = Now + CallTimeout;
  Due.reset();
  StoreOp Op{StoreOp::Kind::Put, std::string(LinkGrantTable),
             linkGrantKey(Pair), toJson(Row), Base.Found ? Base.Version : 0};
  Context.Actions.push_back(StoreTransact{CallId, {std::move(Op)}});
}

void PairLease::onCommitted(LeaseContext &Context, Instant Now) {
  CallId = 0;
  Failures = 0;
  if (!Pending)
    return;
  const Attempt A = *Pending;
  Pending.reset();
  if (!A.Releases) {
    RowRate = A.Rate;
    if (Now < A.SentAt + LinkLease)
      confirm(A, Context);
    return scheduleRenewal(A, Context);
  }
  RowRate.reset();
  RowCap = 0;
  if (Wanted > 0)
    scheduleAfter(Duration(0), Context, Now);
}

void PairLease::onConflict(LeaseContext &Context, Instant Now) {
  CallId = 0;
  Pending.reset();
  Failures = 0;
  // A conflict means that another host wrote the row. The random delay
  // separates the next attempts.
  scheduleAfter(FirstBackoff / 5 + randomUpTo(FirstBackoff, Context.Random),
                Context, Now);
}

void PairLease::onLost(LeaseContext &Context, Instant Now) {
  CallId = 0;
  retryLater(Context, Now);
}

void PairLease::confirm(const Attempt &A, LeaseContext &Context) {
  RowCap = A.Cap;
  Spendable = LinkGrant{Pair, A.Rate, A.SentAt + LinkLease, A.Cap};
  Context.Actions.push_back(Spendable);
}

void PairLease::spendAtMost(double Rate, LeaseContext &Context) {
  if (Spendable.BytesPerSecond <= Rate)
    return;
  Spendable.BytesPerSecond = Rate;
  Context.Actions.push_back(Spendable);
}

// A grant, or a write that may have taken effect, is renewed without pacing.
// MaxHoldersPerRow bounds the store calls for these.
bool PairLease::isHeld() const { return RowRate || Pending; }

void PairLease::scheduleAfter(Duration Delay, LeaseContext &Context,
                              Instant Now) {
  Due = isHeld() ? Now + Delay : Context.Growth.reserve(Now + Delay);
}

void PairLease::scheduleRenewal(const Attempt &A, LeaseContext &Context) {
  Due = A.SentAt + jitter(RenewAfter, Context.Random);
  // A grant of at least 95 % of its target needs no early retry.
  if (A.Rate < A.Target * 0.95)
    Due = std::min(*Due, Context.Growth.reserve(A.SentAt + UnsatisfiedRetry));
}

void PairLease::retryLater(LeaseContext &Context, Instant Now) {
  const Duration Backoff =
      std::min(MaxBackoff, FirstBackoff * (1U << std::min(Failures, 6U)));
  ++Failures;
  scheduleAfter(Backoff / 2 + randomUpTo(Backoff / 2, Context.Random), Context,
                Now);
}

} // namespace masticgap::coordination::internal
