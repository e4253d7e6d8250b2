#include "standins/worker/execution_log.hpp"

#include <algorithm>

namespace masticgap::standins {

void ExecutionLog::recordStart(const std::string &Key) {
  ++Started;
  if (!Key.empty())
    ++ExecutionsOfKey[Key];
}

void ExecutionLog::recordTransfer(const std::string &Region, std::uint64_t In,
                                  std::uint64_t Out, std::uint64_t UnixMs) {
  Bytes &Window = Windows[Region][UnixMs / WindowMs];
  Window.In += In;
  Window.Out += Out;
  ++Window.Requests;
}

void ExecutionLog::recordInUse(unsigned Slots) {
  HighestInUse = std::max(HighestInUse, Slots);
}

boost::json::object ExecutionLog::toJson() const {
  boost::json::object Result;
  Result["started"] = Started;
  Result["refused"] = Refused;
  Result["arrived_after_leaving"] = ArrivedAfterLeaving;
  Result["highest_in_use"] = HighestInUse;
  Result["drain_ms"] = DrainMs;
  Result["window_ms"] = WindowMs;
  boost::json::object Keys;
  for (const auto &[Key, Count] : ExecutionsOfKey)
    Keys[Key] = Count;
  Result["executions"] = std::move(Keys);
  boost::json::object Regions;
  for (const auto &[Region, ByTime] : Windows) {
    boost::json::array Rows;
    for (const auto &[Window, Sum] : ByTime)
      Rows.push_back(boost::json::array{Window, Sum.In, Sum.Out, Sum.Requests});
    Regions[Region] = std::move(Rows);
  }
  Result["bytes"] = std::move(Regions);
  return Result;
}

} // namespace masticgap::standins
