#include "masticgap/coordination/internal/link_bucket.hpp"

#include <algorithm>
#include <numeric>

namespace masticgap::coordination::internal {

namespace {

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

//! Returns the start of the slot after the one that contains At.
Instant nextSlot(Instant At) {
  return std::chrono::floor<std::chrono::milliseconds>(At) + LinkSlot;
}

} // namespace

static_assert(LinkSlot == std::chrono::milliseconds(1));

void LinkBucket::setCap(double CapBytesPerSecond, double FloorBytesPerSecond,
                        Instant Now) {
  advance(Now);
  Cap = CapBytesPerSecond;
  Floor = FloorBytesPerSecond;
  dropTokensAbove(weighted(&RateSplit::Accruing, Now));
}

void LinkBucket::setGrant(const LinkGrant &G, Instant Now) {
  advance(Now);
  Grant = G;
  GrantEnded = Now >= Grant.ExpiresAt;
  dropTokensAbove(weighted(&RateSplit::Accruing, Now));
}

bool LinkBucket::take(double Bytes, Instant Now) {
  if (Bytes > available(Now))
    return false;
  spend(Bytes, Now);
  return true;
}

bool LinkBucket::reserve(double Bytes, Instant Now) {
  advance(Now);
  const double MaxReserved = weighted(&RateSplit::ReserveSeconds, Now);
  if (Bytes > tokens() || Reserved + Bytes > MaxReserved)
    return false;
  Reserved += Bytes;
  return true;
}

void LinkBucket::release(double Bytes, double Used, Instant Now) {
  advance(Now);
  Reserved = std::max(0.0, Reserved - Bytes);
  spend(Used, Now);
}

double LinkBucket::available(Instant Now) {
  advance(Now);
  return std::clamp(tokens(), 0.0, largestTake(Now));
}

double LinkBucket::largestTake(Instant Now) const {
  return weighted(&RateSplit::SpendSeconds, Now);
}

std::optional<Duration> LinkBucket::timeUntil(double Bytes, Instant Now) {
  if (Bytes > largestTake(Now))
    return std::nullopt;
  if (Bytes <= available(Now))
    return Duration(0);
  LinkBucket Forecast = *this;
  for (Instant At = nextSlot(Now); At < Now + LinkWindow; At += LinkSlot)
    if (Bytes <= Forecast.available(At))
      return At - Now;
  return LinkWindow;
}

double LinkBucket::rate(Instant Now) const {
  return weighted(&RateSplit::Accruing, Now);
}

std::size_t LinkBucket::slotOf(Instant At) {
  return static_cast<std::size_t>(At.time_since_epoch() / LinkSlot) % SlotCount;
}

double LinkBucket::grantAt(Instant At) const {
  if (At >= Grant.ExpiresAt)
    return 0;
  if (Grant.CapBytesPerSecond <= Cap)
    return Grant.BytesPerSecond;
  return Grant.BytesPerSecond * Cap / Grant.CapBytesPerSecond;
}

double LinkBucket::weighted(double RateSplit::*Part, Instant At) const {
  return Floor * FloorSplit.*Part + grantAt(At) * GrantSplit.*Part;
}

void LinkBucket::advance(Instant Now) {
  Instant At = std::max(Updated, Now - LinkWindow - LinkSlot);
  if (At > Updated) {
    Accrued.fill(0);
    Spent.fill(0);
    recomputeSums();
  }
  while (At < Now) {
    const Instant End = std::min(nextSlot(At), Now);
    accrue(At, End);
    if (slotOf(End) != slotOf(At))
      enterSlot(slotOf(End));
    At = End;
  }
  Updated = std::max(Updated, Now);
  // Every use of tokens advances the bucket first, so an expired lease is
  // detected here before its tokens are used.
  if (!GrantEnded && Now >= Grant.ExpiresAt) {
    GrantEnded = true;
    dropTokensAbove(weighted(&RateSplit::Accruing, Now));
  }
}

void LinkBucket::accrue(Instant From, Instant To) {
  const Instant GrantEnd = std::clamp(Grant.ExpiresAt, From, To);
  const double Tokens =
      weighted(&RateSplit::Accruing, From) * seconds(GrantEnd - From) +
      weighted(&RateSplit::Accruing, GrantEnd) * seconds(To - GrantEnd);
  Accrued[slotOf(From)] += Tokens;
  AccruedSum += Tokens;
}

void LinkBucket::spend(double Bytes, Instant Now) {
  const std::size_t Slot = slotOf(Now);
  Spent[Slot] += Bytes;
  SpentSum += Bytes;
  SpentAt[Slot] = Now;
}

void LinkBucket::enterSlot(std::size_t Slot) {
  AccruedSum -= Accrued[Slot];
  SpentSum -= Spent[Slot];
  Accrued[Slot] = Spent[Slot] = 0;
  // Recomputing prevents rounding errors of the running sums from accumulating.
  if (Slot == 0)
    recomputeSums();
}

void LinkBucket::dropTokensAbove(double Rate) {
  for (double &Slot : Accrued)
    Slot = std::min(Slot, Rate * seconds(LinkSlot));
  recomputeSums();
}

void LinkBucket::recomputeSums() {
  AccruedSum = std::accumulate(Accrued.begin(), Accrued.end(), 0.0);
  SpentSum = std::accumulate(Spent.begin(), Spent.end(), 0.0);
}

double LinkBucket::tokens() const {
  // The oldest slot lies only partly within the window. Its tokens do not
  // count. Its spends count unless all of them are older than the window.
  const std::size_t Oldest = (slotOf(Updated) + 1) % SlotCount;
  const bool Expired = SpentAt[Oldest] <= Updated - LinkWindow;
  return AccruedSum - Accrued[Oldest] - SpentSum +
         (Expired ? Spent[Oldest] : 0) - Reserved;
}

} // namespace masticgap::coordination::internal
