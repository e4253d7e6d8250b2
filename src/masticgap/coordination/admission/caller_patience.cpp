#include "masticgap/coordination/admission/caller_patience.hpp"

#include <algorithm>

namespace masticgap::coordination {

void CallerPatience::record(std::string_view Route, Duration Remaining,
                            Instant Now) {
  auto RouteIt = Routes.find(Route);
  if (RouteIt == Routes.end()) {
    // Routes of earlier configurations are dropped when a new one appears.
    std::erase_if(Routes, [Now](const auto &Entry) {
      return !largest(Entry.second, Now);
    });
    RouteIt = Routes.try_emplace(std::string(Route)).first;
  }
  const std::int64_t Number = periodOf(Now);
  Window::Period &Current =
      RouteIt->second.Ring.at(static_cast<std::size_t>(Number) % Periods);
  if (Current.Number != Number)
    Current = {Number, Remaining};
  Current.Largest = std::max(Current.Largest, Remaining);
}

std::optional<Duration> CallerPatience::largest(const Window &Route,
                                                Instant Now) {
  const std::int64_t Number = periodOf(Now);
  std::optional<Duration> Result;
  for (const Window::Period &Period : Route.Ring)
    if (Period.Number > Number - static_cast<std::int64_t>(Periods) &&
        Period.Number <= Number)
      Result = std::max(Result.value_or(Period.Largest), Period.Largest);
  return Result;
}

Duration CallerPatience::timeUsed(std::string_view Route,
                                  std::optional<Duration> Remaining,
                                  Instant Now) const {
  const auto RouteIt = Routes.find(Route);
  if (!Remaining || RouteIt == Routes.end())
    return Duration(0);
  const auto Largest = largest(RouteIt->second, Now);
  if (!Largest || *Largest - *Remaining < MinTimeUsed)
    return Duration(0);
  return *Largest - *Remaining;
}

} // namespace masticgap::coordination
