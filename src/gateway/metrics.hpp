#pragma once

#include "masticgap/state/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticgap::gateway {

//! Names of the stages whose latency is measured.
enum class Stage { Whole, Worker };

//! Counters and latency histograms of one gateway, in the text format that
//! Prometheus scrapes. Label values are names of routes and fixed words, so
//! their number is bounded by the configuration.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void count(std::string_view Name, std::string_view Label,
             std::uint64_t Number = 1);
  void observe(Stage Where, std::string_view Route, Duration Latency);

  //! \param Gauges present values, by name.
  std::string
  text(const std::vector<std::pair<std::string, double>> &Gauges) const;

private:
  struct Series;
  std::map<std::pair<std::string, std::string>, std::uint64_t> Counters;
  std::map<std::pair<Stage, std::string>, Series> Latencies;
};

} // namespace masticgap::gateway
