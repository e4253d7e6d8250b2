#include "gateway/metrics.hpp"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <sstream>

namespace masticgap::gateway {

namespace {

//! Bucket bounds in seconds: 5 ms is about one hop within a region, and 10 s
//! exceeds all request deadlines observed. Longer latencies are counted in the
//! bucket "+Inf" only.
const std::vector<double> Buckets{0,   0.005, 0.02, 0.05, 0.1, 0.2, 0.3,
                                  0.5, 0.75,  1,    1.5,  2,   5,   10};
//! Maximum number of series; further label values are counted as "other".
constexpr std::size_t MaxSeries = 512;

//! Maximum number of accounts with their own series.
constexpr std::size_t MaxAccounts = 256;
constexpr const char *AccountOutcomeNames[] = {"served", "refused", "limited",
                                               "unauthorized", "failed"};

//! Escapes a label value; names of accounts are chosen by the operator.
std::string escaped(std::string_view Value) {
  std::string Text;
  for (const char C : Value) {
    if (C == '"' || C == '\\')
      Text += '\\';
    Text += C;
  }
  return Text;
}

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

void Metrics::countAccount(std::string_view Account, AccountOutcome Outcome,
                           std::string_view Reason) {
  auto Entry = Accounts.find(Account);
  if (Entry == Accounts.end()) {
    const bool Full = Accounts.size() >= MaxAccounts;
    Entry = Accounts.try_emplace(std::string(Full ? "other" : Account)).first;
  }
  AccountTotals &Totals = Entry->second;
  ++Totals.Outcomes.at(static_cast<std::size_t>(Outcome));
  // Reasons are fixed words, so that there are few.
  if (!Reason.empty())
    ++Totals.Reasons.try_emplace(std::string(Reason)).first->second;
}

const Metrics::AccountTotals *Metrics::account(std::string_view Account) const {
  const auto Entry = Accounts.find(Account);
  return Entry == Accounts.end() ? nullptr : &Entry->second;
}

void Metrics::observe(Stage Where, std::string_view Route, Duration Latency) {
  std::pair<Stage, std::string> Key(Where, Route);
  if (Latencies.size() >= MaxSeries && !Latencies.contains(Key))
    Key.second = "other";
  Series &Target = Latencies[std::move(Key)];
  const double Seconds = std::chrono::duration<double>(Latency).count();
  Target.Counts(Seconds);
  Target.Sum += Seconds;
  ++Target.Number;
}

std::string
Metrics::text(const std::vector<std::pair<std::string, double>> &Gauges) const {
  std::ostringstream Text;
  for (const auto &[Key, Number] : Counters)
    Text << "masticgap_" << Key.first << "_total{kind=\"" << Key.second
         << "\"} " << Number << '\n';
  for (const auto &[Account, Totals] : Accounts)
    for (std::size_t I = 0; I < AccountOutcomes; ++I)
      if (Totals.Outcomes.at(I) > 0)
        Text << "masticgap_account_requests_total{account=\""
             << escaped(Account) << "\",outcome=\"" << AccountOutcomeNames[I]
             << "\"} " << Totals.Outcomes.at(I) << '\n';
  for (const auto &[Name, Value] : Gauges)
    Text << "masticgap_" << Name << ' ' << Value << '\n';
  for (const auto &[Key, Latency] : Latencies) {
    const std::string Labels = std::string("stage=\"") + stageName(Key.first) +
                               "\",route=\"" + Key.second + "\"";
    // Bin -1 counts values below the first bound.
    double Cumulative = Latency.Counts.at(-1);
    for (int I = 0; I < static_cast<int>(Buckets.size()) - 1; ++I) {
      Cumulative += Latency.Counts.at(I);
      Text << "masticgap_latency_seconds_bucket{" << Labels << ",le=\""
           << Buckets[static_cast<std::size_t>(I) + 1] << "\"} " << Cumulative
           << '\n';
    }
    Text << "masticgap_latency_seconds_bucket{" << Labels << ",le=\"+Inf\"} "
         << Latency.Number << '\n'
         << "masticgap_latency_seconds_sum{" << Labels << "} " << Latency.Sum
         << '\n'
         << "masticgap_latency_seconds_count{" << Labels << "} "
         << Latency.Number << '\n';
  }
  return Text.str();
}

} // namespace masticgap::gateway
