#pragma once

#include "masticgap/coordination/placement.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace masticgap::tests {

using namespace coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Simulates entry hosts with real placements over three regions of fake
//! workers.
class PlacementSimulation {
public:
  static constexpr std::size_t RegionCount = 3;
  static constexpr std::size_t HostCount = 26;
  static constexpr unsigned SlotsPerRegion = 60;
  static constexpr Duration StepLength = milliseconds(20);

  //! Faults of reports and restarts, and switches that disable a mechanism.
  struct Faults {
    bool ReportsMissing = false;
    bool ReportsLie = false; //!< Reports state half of the slots in use.
    //! Full regions refuse requests instead of overfilling.
    bool RefuseRemote = false;
    //! Each host assumes that it is the only one.
    bool ForgetOtherHosts = false;
    bool JumpAtRestart = false; //!< Peers report a weight above the cap.
  };
  Faults Fault;

  explicit PlacementSimulation(std::uint64_t Seed,
                               double MaxShiftPerSecond = 0.05);

  //! Sets the offered load of a region's callers, as a share of its slots.
  void demand(std::size_t Region, double Share) { Demand[Region] = Share; }
  void kill(std::size_t Region);
  void revive(std::size_t Region) { Regions[Region].Slots = SlotsPerRegion; }
  void restart(std::size_t Host);
  void step();
  void run(Duration Time);

  //! Returns the mean share that the hosts of a region send to other regions.
  double meanRemoteWeight(std::size_t Region) const;
  const std::string &violation() const { return Violation; }
  std::uint64_t steps() const { return Steps; }

  struct Counts {
    std::uint64_t Arrived = 0, Served = 0, Remote = 0, Shed = 0, Refused = 0;
  };
  Counts counts(std::size_t Region) const {
    return Regions[Region].RequestCounts;
  }

private:
  struct Region {
    RegionName Name;
    unsigned Slots = SlotsPerRegion;
    unsigned Home = 0;
    unsigned Remote = 0;
    std::uint64_t KillCount = 0;
    //! Requests from the region's own callers.
    Counts RequestCounts;
    //! Slots not used by the region's own callers, by step.
    std::deque<unsigned> Free;
    std::deque<RegionLoad> Reports;   //!< Reports by report period.
    std::deque<double> RemoteWeights; //!< Mean weight of other regions by tick.
  };
  struct Host {
    std::size_t Home = 0;
    std::unique_ptr<Placement> HostPlacement;
    std::uint64_t Generation = 0;
    std::size_t ReportLag = 0;        //!< In report periods.
    std::deque<double> RemoteWeights; //!< Weight of other regions by tick.
  };
  struct Running {
    Instant End;
    std::size_t Host, Region;
    std::uint64_t Generation, KillCount;
    bool operator<(const Running &O) const { return End > O.End; }
  };

  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  void start(std::size_t Index);
  void arrive(std::size_t Index);
  void finish(const Running &R);
  void report();
  void tick();
  double remoteWeight(const Host &H) const;
  double peersMedian(std::size_t Index) const;
  void checkShift(std::size_t Region);
  void checkOverfill();
  void fail(const std::string &Text);
  static ServiceName service() { return ServiceName("agenda"); }

  std::mt19937_64 Random;
  Instant Now{std::chrono::hours(1)};
  ConfigDocument Config;
  std::vector<EntryHostDescriptor> Listed;
  std::array<Region, RegionCount> Regions;
  std::vector<Host> Hosts;
  std::array<double, RegionCount> Demand{0.4, 0.4, 0.4};
  std::priority_queue<Running> InFlight;
  std::string Violation;
  std::uint64_t Steps = 0;
};

} // namespace masticgap::tests
