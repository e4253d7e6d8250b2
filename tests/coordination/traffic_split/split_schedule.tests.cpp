#include "masticgap/coordination/traffic_split/split_schedule.hpp"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace masticgap;
using namespace masticgap::coordination;

namespace {

Route split(std::vector<SplitPart> Parts) {
  Route Result;
  Result.Name = std::string(1, 'r');
  Result.Parts = std::move(Parts);
  return Result;
}

} // namespace

// Guards against a part whose share differs from that of its weight. The
// specified tolerance is 0.1 over a few hundred requests.
TEST_CASE("each part gets the share of its weight over all hosts") {
  struct Case {
    const char *Name;
    std::vector<SplitPart> Parts;
  };
  const ServiceName A("a");
  const ServiceName B("b");
  const ServiceName C("c");
  const Case Cases[] = {
      {"one", {{A, 1}}},
      {"halves", {{A, 1}, {B, 1}}},
      {"ninety to ten", {{A, 90}, {B, 10}}},
      {"three", {{A, 5}, {B, 3}, {C, 2}}},
      {"a part without weight", {{A, 0}, {B, 4}}},
  };
  for (const auto &SplitCase : Cases) {
    CAPTURE(SplitCase.Name);
    const Route SplitRoute = split(SplitCase.Parts);
    double Total = 0;
    for (const SplitPart &Part : SplitRoute.Parts)
      Total += Part.Weight;
    std::map<ServiceName, int> Counts;
    constexpr int Hosts = 16;
    constexpr int Requests = 20;
    for (int Host = 0; Host < Hosts; ++Host) {
      SplitSchedule Schedule(Host);
      for (int I = 0; I < Requests; ++I)
        ++Counts[Schedule.next(SplitRoute)];
    }
    for (const SplitPart &Part : SplitRoute.Parts) {
      const double Share =
          static_cast<double>(Counts[Part.Service]) / (Hosts * Requests);
      CHECK(std::abs(Share - Part.Weight / Total) < 0.1);
      if (Part.Weight == 0)
        CHECK(Counts[Part.Service] == 0);
    }
  }
}

TEST_CASE("new weights take effect with the next request") {
  SplitSchedule Schedule(1);
  const ServiceName A("a");
  const ServiceName B("b");
  for (int I = 0; I < 50; ++I)
    Schedule.next(split({{A, 1}, {B, 1}}));
  int ToA = 0;
  for (int I = 0; I < 50; ++I)
    ToA += Schedule.next(split({{A, 0}, {B, 1}})) == A;
  CHECK(ToA == 0);
}
