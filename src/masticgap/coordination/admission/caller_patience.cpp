#include "masticgap/coordination/admission/caller_patience.hpp"

#include <algorithm>

namespace masticgap::coordination {

void CallerPatience::Period::add(Duration Remaining) {
  ++Requests;
  if (Remaining >= Largest + MinTimeUsed)
    NearLargest = 0;
  if (Remaining > Largest - MinTimeUsed)
    ++NearLargest;
  Largest = std::max(Largest, Remaining);
}

bool CallerPatience::isRecent(const Period &Each, Instant Now) {
  const std::int64_t Number = periodOf(Now);
  return Each.Number > Number - static_cast<std::int64_t>(Periods) &&
         Each.Number <= Number;
}

void CallerPatience::record(std::string_view Route, Duration Remaining,
                            Instant Now) {
  auto RouteIt = Routes.find(Route);
  if (RouteIt == Routes.end()) {
    // Routes of earlier configurations are dropped when a new one appears.
    std::erase_if(Routes, [Now](const auto &Entry) {
      return std::ranges::none_of(Entry.second, [Now](const Period &Each) {
        return isRecent(Each, Now);
      });
    });
    RouteIt = Routes.try_emplace(std::string(Route)).first;
  }
  const std::int64_t Number = periodOf(Now);
  Period &Current =
      RouteIt->second.at(static_cast<std::size_t>(Number) % Periods);
  if (Current.Number != Number)
    Current = {.Number = Number, .Largest = Remaining};
  Current.add(Remaining);
}

Duration CallerPatience::timeUsed(std::string_view Route,
                                  std::optional<Duration> Remaining,
                                  Instant Now) const {
  const auto RouteIt = Routes.find(Route);
  if (!Remaining || RouteIt == Routes.end())
    return Duration(0);
  Duration Largest{0};
  for (const Period &Each : RouteIt->second)
    if (isRecent(Each, Now))
      Largest = std::max(Largest, Each.Largest);
  unsigned Requests = 0;
  unsigned NearLargest = 0;
  for (const Period &Each : RouteIt->second)
    if (isRecent(Each, Now)) {
      Requests += Each.Requests;
      if (Each.Largest > Largest - MinTimeUsed)
        NearLargest += Each.NearLargest;
    }
  const Duration Used = Largest - *Remaining;
  return Used < MinTimeUsed || NearLargest < MinUsualShare * Requests
             ? Duration(0)
             : Used;
}

} // namespace masticgap::coordination
