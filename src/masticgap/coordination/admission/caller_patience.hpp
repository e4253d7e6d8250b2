#pragma once

#include "masticgap/state/time.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Estimates how much time the callers of requests have already used, from the
//! remaining times that they state. A caller that retries states less than it
//! did at first.
class CallerPatience {
public:
  //! Time for which a stated remaining time is compared with others.
  static constexpr Duration PatienceWindow = std::chrono::seconds(10);
  //! Smaller differences come from the network and from waiting sockets.
  static constexpr Duration MinTimeUsed = std::chrono::milliseconds(50);

  //! Records the remaining time that a request of a route states.
  void record(std::string_view Route, Duration Remaining, Instant Now);

  //! Returns the time that the caller of a request has used.
  //! \param Remaining stated by the request; unset if it states none.
  //! \returns 0 for a request that states none, or at least MinTimeUsed less
  //! than the largest time stated on its route within PatienceWindow.
  Duration timeUsed(std::string_view Route, std::optional<Duration> Remaining,
                    Instant Now) const;

  //! Returns the number of routes with a record.
  std::size_t routes() const { return Routes.size(); }

private:
  static constexpr std::size_t Periods = 10;
  static constexpr Duration PeriodLength = PatienceWindow / Periods;

  //! Largest remaining time of each period, in a ring.
  struct Window {
    struct Period {
      std::int64_t Number = -1;
      Duration Largest{0};
    };
    std::array<Period, Periods> Ring;
  };

  static std::int64_t periodOf(Instant Time) {
    return Time.time_since_epoch() / PeriodLength;
  }
  static std::optional<Duration> largest(const Window &Route, Instant Now);

  std::map<std::string, Window, std::less<>> Routes;
};

} // namespace masticgap::coordination
