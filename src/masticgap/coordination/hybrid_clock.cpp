#include "masticgap/coordination/hybrid_clock.hpp"

#include <algorithm>
#include <limits>

namespace masticgap::coordination {

namespace {

//! Number of random bits below the start time in an incarnation, see
//! makeIncarnation().
constexpr unsigned IncarnationRandomBits = 16;
constexpr std::uint64_t MicrosPerMilli = 1000;

} // namespace

HybridClock::HybridClock(Incarnation Run, Instant StartTime)
    : AnchorMicros((Run.Value >> IncarnationRandomBits) * MicrosPerMilli),
      Start(StartTime) {}

std::uint64_t HybridClock::physical(Instant Now) const {
  const auto Passed =
      std::chrono::duration_cast<std::chrono::microseconds>(Now - Start);
  return AnchorMicros +
         static_cast<std::uint64_t>(std::max<std::int64_t>(0, Passed.count()));
}

void HybridClock::advance(const HybridTime &AtLeast) {
  if (AtLeast > Last)
    Last = AtLeast;
}

HybridTime HybridClock::stamp(Instant Now) {
  if (Last.Logical == std::numeric_limits<std::uint32_t>::max())
    Last = {Last.UnixMicros + 1, 0};
  else
    ++Last.Logical;
  advance({physical(Now), 0});
  return Last;
}

bool HybridClock::observe(const HybridTime &Remote, Instant Now) {
  const auto Ahead = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(MaxAhead).count());
  if (Remote.UnixMicros > physical(Now) + Ahead)
    return false;
  advance(Remote);
  return true;
}

} // namespace masticgap::coordination
