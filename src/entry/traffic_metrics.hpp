#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/state/outcome.hpp"
#include "masticgap/state/time.hpp"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace masticgap::entry {

//! Counters and latency histogram of the forwarding thread.
class TrafficMetrics {
public:
  TrafficMetrics();

  void recordOutcome(Outcome ReportedOutcome, Duration Latency);
  void recordAttempt(coordination::AttemptEnd End);
  void recordRefusal(const std::string &Kind) { ++Refusals[Kind]; }
  void recordRetry() { ++Retries; }

  std::uint64_t count(Outcome ReportedOutcome) const {
    return Outcomes.at(static_cast<std::size_t>(ReportedOutcome));
  }

  //! Returns the metrics as Prometheus text.
  std::string text() const;

private:
  using LogAxis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using LatencyHistogram =
      decltype(boost::histogram::make_histogram(LogAxis()));

  std::array<std::uint64_t, 3> Outcomes{};
  std::array<std::uint64_t, 8> Attempts{};
  std::map<std::string, std::uint64_t> Refusals;
  std::uint64_t Retries = 0;
  double LatencySum = 0;
  LatencyHistogram Latencies; //!< Seconds.
};

} // namespace masticgap::entry
