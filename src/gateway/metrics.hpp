#pragma once

#include "masticgap/state/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticgap::gateway {

//! Stages of a request whose latency is measured.
enum class Stage {
  Request, //!< From arrival to answer, exported as "whole".
  Worker   //!< One exchange with a worker.
};

//! Counters and latency histograms of one gateway, exported in the Prometheus
//! text format. Label values are route names and fixed words. Routes of earlier
//! configurations remain, so the number of series is limited.
class Metrics {
public:
  Metrics();
  ~Metrics();

  //! Adds to a counter.
  //! \param Label value of the label "kind".
  void count(std::string_view Name, std::string_view Label,
             std::uint64_t Number = 1);
  //! Adds a latency to the histogram of a stage and route.
  void observe(Stage Where, std::string_view Route, Duration Latency);

  //! Returns all metrics in the Prometheus text format.
  //! \param Gauges current values by name.
  std::string
  text(const std::vector<std::pair<std::string, double>> &Gauges) const;

private:
  struct Series;
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counters;
  std::map<std::pair<Stage, std::string>, Series> Latencies;
};

} // namespace masticgap::gateway
