#include "standins/caller/report.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <iterator>

namespace masticgap::standins {

namespace {

boost::json::object percentiles(std::vector<double> Values) {
  std::ranges::sort(Values);
  const auto Percentile = [&](double P) {
    return Values.empty() ? 0.0
                          : Values[static_cast<std::size_t>(
                                P * static_cast<double>(Values.size() - 1))];
  };
  return {{"count", Values.size()},
          {"p50", Percentile(0.5)},
          {"p99", Percentile(0.99)},
          {"max", Percentile(1)}};
}

template <class T> void append(std::vector<T> &To, std::vector<T> &From) {
  To.insert(To.end(), std::make_move_iterator(From.begin()),
            std::make_move_iterator(From.end()));
}

} // namespace

void CallerReport::add(CallerReport Other) {
  for (const auto &[Name, Count] : Other.Outcomes)
    Outcomes[Name] += Count;
  for (const auto &[Name, Count] : Other.Reasons)
    Reasons[Name] += Count;
  for (auto &[Name, Values] : Other.ServiceMs)
    append(ServiceMs[Name], Values);
  Lookups += Other.Lookups;
  FailedLookups += Other.FailedLookups;
  Broken += Other.Broken;
  WrongAnswers += Other.WrongAnswers;
  append(LookupMs, Other.LookupMs);
  append(RequestMs, Other.RequestMs);
  append(Keys, Other.Keys);
}

boost::json::object CallerReport::toJson() const {
  boost::json::object Result;
  boost::json::object ByOutcome;
  for (const auto &[Name, Count] : Outcomes)
    ByOutcome[Name] = Count;
  Result["outcomes"] = std::move(ByOutcome);
  boost::json::object ByReason;
  for (const auto &[Name, Count] : Reasons)
    ByReason[Name] = Count;
  Result["reasons"] = std::move(ByReason);
  Result["lookups"] = Lookups;
  Result["failed_lookups"] = FailedLookups;
  Result["broken"] = Broken;
  Result["wrong_answers"] = WrongAnswers;
  Result["lookup_ms"] = percentiles(LookupMs);
  Result["request_ms"] = percentiles(RequestMs);
  boost::json::object ByService;
  for (const auto &[Name, Values] : ServiceMs)
    ByService[Name] = percentiles(Values);
  Result["service_ms"] = std::move(ByService);
  boost::json::array KeyList;
  for (const KeyRecord &Record : Keys)
    KeyList.push_back(boost::json::array{
        boost::json::string(Record.Key), boost::json::string(Record.Service),
        boost::json::string(Record.ReportedOutcome), Record.Sends});
  Result["keys"] = std::move(KeyList);
  return Result;
}

} // namespace masticgap::standins
