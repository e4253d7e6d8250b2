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
  //! Share of the requests of a route that has to state about the largest
  //! remaining time. Where callers state different times, or a single one
  //! states far more, the difference says nothing about retries.
  static constexpr double MinUsualShare = 0.25;

  //! Records the remaining time that a request of a route states.
  void record(std::string_view Route, Duration Remaining, Instant Now);

  //! Returns the time that the caller of a request has used.
  //! \param Remaining stated by the request; unset if it states none.
  //! \returns the difference to the largest time stated on the route within
  //! PatienceWindow; 0 if it is below MinTimeUsed, if the request states none,
  //! or if too few requests state about the largest time.
  Duration timeUsed(std::string_view Route, std::optional<Duration> Remaining,
                    Instant Now) const;

  //! Returns the number of routes with a record.
  std::size_t routes() const { return Routes.size(); }

private:
  static constexpr std::size_t Periods = 10;
  static constexpr Duration PeriodLength = PatienceWindow / Periods;

  //! Remaining times that were stated in a period.
  struct Period {
    std::int64_t Number = -1;
    Duration Largest{0};
    unsigned Requests = 0;
    unsigned NearLargest = 0; //!< Requests less than MinTimeUsed below it.

    void add(Duration Remaining);
  };
  using Window = std::array<Period, Periods>;

  static std::int64_t periodOf(Instant Time) {
    return Time.time_since_epoch() / PeriodLength;
  }
  //! Returns whether a period is within PatienceWindow.
  static bool isRecent(const Period &Each, Instant Now);

  std::map<std::string, Window, std::less<>> Routes;
};

} // namespace masticgap::coordination
