#include "gateway/metrics.hpp"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <sstream>

namespace masticgap::gateway {

namespace {

//! Upper ends of the buckets in seconds: 5 ms is about one hop within a
//! region, 10 s is above every deadline seen.
const std::vector<double> Buckets{0,   0.005, 0.02, 0.05, 0.1, 0.2, 0.3,
                                  0.5, 0.75,  1,    1.5,  2,   5,   10};
//! Label values of one metric; further ones are counted together.
constexpr std::size_t MaxSeries = 512;

using Axis = boost::histogram::axis::variable<double>;
using Histogram = decltype(boost::histogram::make_histogram(Axis(Buckets)));

const char *stageName(Stage Where) {
  return Where == Stage::Request ? "whole" : "worker";
}

} // namespace

struct Metrics::Series {
  Histogram Counts = boost::histogram::make_histogram(Axis(Buckets));
  double Sum = 0;
  std::uint64_t Number = 0;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::count(std::string_view Name, std::string_view Label,
                    std::uint64_t Number) {
  std::pair<std::string, std::string> Key(Name, Label);
  if (Counters.size() >= MaxSeries && !Counters.contains(Key))
    Key.second = "other";
  Counters[std::move(Key)] += Number;
}

void Metrics::observe(Stage Where, std::string_view Route, Duration Latency) {
  std::pair<Stage, std::string> Key(Where, Route);
  if (Latencies.size() >= MaxSeries && !Latencies.contains(Key))
    Key.second = "other";
  Series &Into = Latencies[std::move(Key)];
  const double Seconds = std::chrono::duration<double>(Latency).count();
  Into.Counts(Seconds);
  Into.Sum += Seconds;
  ++Into.Number;
}

std::string
Metrics::text(const std::vector<std::pair<std::string, double>> &Gauges) const {
  std::ostringstream Out;
  for (const auto &[Key, Number] : Counters)
    Out << "masticgap_" << Key.first << "_total{kind=\"" << Key.second << "\"} "
        << Number << '\n';
  for (const auto &[Name, Value] : Gauges)
    Out << "masticgap_" << Name << ' ' << Value << '\n';
  for (const auto &[Key, Each] : Latencies) {
    const std::string Labels = std::string("stage=\"") + stageName(Key.first) +
                               "\",route=\"" + Key.second + "\"";
    double Below = Each.Counts.at(-1);
    for (int I = 0; I < static_cast<int>(Buckets.size()) - 1; ++I) {
      Below += Each.Counts.at(I);
      Out << "masticgap_latency_seconds_bucket{" << Labels << ",le=\""
          << Buckets[static_cast<std::size_t>(I) + 1] << "\"} " << Below
          << '\n';
    }
    Out << "masticgap_latency_seconds_bucket{" << Labels << ",le=\"+Inf\"} "
        << Each.Number << '\n'
        << "masticgap_latency_seconds_sum{" << Labels << "} " << Each.Sum
        << '\n'
        << "masticgap_latency_seconds_count{" << Labels << "} " << Each.Number
        << '\n';
  }
  return Out.str();
}

} // namespace masticgap::gateway
