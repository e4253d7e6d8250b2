#include "masticgap/coordination/load_exchange/load_message.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination {

namespace {

constexpr double FactorUnit = 0.05;
constexpr Duration AgeUnit = std::chrono::milliseconds(10);
constexpr unsigned MaxByte = 255;

} // namespace

LoadKey loadKey(const WorkerId &Id) {
  return static_cast<LoadKey>(workerHash(Id));
}

LoadEntry toEntry(const WorkerLoad &Load, Instant Now) {
  const Duration Age = std::max(Duration(0), Now - Load.Report.ReportedAt);
  const auto Units = (Age + AgeUnit - Duration(1)) / AgeUnit;
  const double Factor =
      std::clamp(std::round(Load.Report.WorkFactor / FactorUnit), 0.0,
                 static_cast<double>(MaxByte));
  return {Load.Worker,
          static_cast<std::uint8_t>(std::min(Load.Report.Busy, MaxByte)),
          static_cast<std::uint8_t>(Factor),
          static_cast<std::uint8_t>(
              std::min<Duration::rep>(Units, Duration::rep{MaxByte}))};
}

WorkerLoad fromEntry(const LoadEntry &Entry, Instant Now) {
  return {Entry.Worker,
          {Entry.Busy, Entry.Factor * FactorUnit, Now - Entry.Age * AgeUnit}};
}

} // namespace masticgap::coordination
