#include "entry/traffic_metrics.hpp"

#include <boost/histogram/indexed.hpp>

#include <sstream>
#include <string_view>

namespace masticgap::entry {

namespace histogram = boost::histogram;
using coordination::AttemptEnd;

namespace {

constexpr unsigned LatencyBins = 36;
constexpr double MinLatencySeconds = 1e-4;
constexpr double MaxLatencySeconds = 1e2;

} // namespace

TrafficMetrics::TrafficMetrics()
    : Latencies(histogram::make_histogram(
          LogAxis(LatencyBins, MinLatencySeconds, MaxLatencySeconds))) {}

void TrafficMetrics::recordOutcome(Outcome ReportedOutcome, Duration Latency) {
  ++Outcomes.at(static_cast<std::size_t>(ReportedOutcome));
  const double Seconds = std::chrono::duration<double>(Latency).count();
  Latencies(Seconds);
  LatencySum += Seconds;
}

void TrafficMetrics::recordAttempt(AttemptEnd End) {
  ++Attempts.at(static_cast<std::size_t>(End));
}

std::string TrafficMetrics::text() const {
  std::ostringstream Out;
  Out << "# TYPE masticgap_requests_total counter\n";
  std::uint64_t TotalCount = 0;
  for (const Outcome Each :
       {Outcome::Answered, Outcome::NotRun, Outcome::Unknown}) {
    Out << "masticgap_requests_total{outcome=\"" << toString(Each) << "\"} "
        << count(Each) << '\n';
    TotalCount += count(Each);
  }
  Out << "# TYPE masticgap_attempts_total counter\n";
  for (std::size_t I = 0; I < Attempts.size(); ++I)
    Out << "masticgap_attempts_total{end=\""
        << toString(static_cast<AttemptEnd>(I)) << "\"} " << Attempts.at(I)
        << '\n';
  Out << "# TYPE masticgap_refusals_total counter\n";
  for (const auto &[Kind, Count] : Refusals)
    Out << "masticgap_refusals_total{kind=\"" << Kind << "\"} " << Count
        << '\n';
  Out << "# TYPE masticgap_retries_total counter\nmasticgap_retries_total "
      << Retries << "\n# TYPE masticgap_request_seconds histogram\n";
  double CumulativeCount = Latencies.at(-1);
  for (auto &&Bin : histogram::indexed(Latencies)) {
    CumulativeCount += *Bin;
    Out << "masticgap_request_seconds_bucket{le=\"" << Bin.bin().upper()
        << "\"} " << CumulativeCount << '\n';
  }
  Out << "masticgap_request_seconds_bucket{le=\"+Inf\"} " << TotalCount
      << "\nmasticgap_request_seconds_sum " << LatencySum
      << "\nmasticgap_request_seconds_count " << TotalCount << '\n';
  return Out.str();
}

} // namespace masticgap::entry
