#include "placement_simulation.hpp"

#include <algorithm>

namespace masticgap::tests {

namespace {

constexpr double ServiceSeconds = 0.25;
constexpr std::uint64_t StepsPerTick = 5;    // 100 ms.
constexpr std::uint64_t StepsPerReport = 12; // 240 ms.
constexpr std::size_t TicksPerSecond = 10;
//! Maximum report lag, in report periods; this is 2.4 s.
constexpr std::size_t LongestLag = 10;
//! A report can be used for 5 s after its arrival.
constexpr std::size_t ReportSteps = 250 + LongestLag * StepsPerReport;

} // namespace

PlacementSimulation::PlacementSimulation(std::uint64_t Seed,
                                         double MaxShiftPerSecond)
    : Random(Seed), Hosts(HostCount) {
  Config.Defaults.MaxShiftPerSecond = MaxShiftPerSecond;
  Config.Defaults.MaxShift = std::max(MaxShiftPerSecond, 0.5);
  const char *Names[] = {"luzon", "visayas", "mindanao"};
  for (std::size_t I = 0; I < RegionCount; ++I)
    Regions[I].Name = RegionName(Names[I]);
  for (std::size_t I = 0; I < RegionCount; ++I)
    for (std::size_t Next = 1; Next < RegionCount; ++Next)
      Config.Defaults.SpillOrder[Regions[I].Name].push_back(
          Regions[(I + Next) % RegionCount].Name);
  for (std::size_t I = 0; I < HostCount; ++I) {
    Hosts[I].Home = I % RegionCount;
    EntryHostDescriptor D;
    D.Id = HostId("host-" + std::to_string(I));
    D.Region = Regions[Hosts[I].Home].Name;
    Listed.push_back(D);
  }
  for (std::size_t I = 0; I < HostCount; ++I)
    start(I);
}

void PlacementSimulation::start(std::size_t Index) {
  Host &H = Hosts[Index];
  ++H.Generation;
  H.ReportLag = static_cast<std::size_t>(draw() * LongestLag);
  H.HostPlacement =
      std::make_unique<Placement>(Listed[Index].Id, Regions[H.Home].Name);
  H.HostPlacement->apply(Config);
  if (Fault.ForgetOtherHosts)
    H.HostPlacement->entryHosts({}, Now);
  else
    H.HostPlacement->entryHosts(Listed, Now);
}

void PlacementSimulation::restart(std::size_t Index) {
  std::vector<std::vector<RegionWeight>> Peers;
  for (std::size_t I = 0; I < HostCount; ++I)
    if (I != Index && Hosts[I].Home == Hosts[Index].Home)
      Peers.push_back(Hosts[I].HostPlacement->weights());
  if (Fault.JumpAtRestart)
    Peers.assign(1,
                 {{service(), Regions[(Hosts[Index].Home + 1) % 3].Name, 1}});
  // The peers served the callers of this host while it was down, so its start
  // weight counts as a change from theirs.
  std::ranges::fill(Hosts[Index].RemoteWeights, peersMedian(Index));
  start(Index);
  Hosts[Index].HostPlacement->startFrom(Peers, Now);
}

void PlacementSimulation::kill(std::size_t Index) {
  Region &R = Regions[Index];
  R.Slots = R.Home = R.Remote = 0;
  ++R.KillCount;
}

void PlacementSimulation::step() {
  Now += StepLength;
  ++Steps;
  while (!InFlight.empty() && InFlight.top().End <= Now) {
    finish(InFlight.top());
    InFlight.pop();
  }
  if (Steps % StepsPerTick == 0)
    tick();
  const double Seconds = std::chrono::duration<double>(StepLength).count();
  for (std::size_t R = 0; R < RegionCount; ++R) {
    const double Rate = Demand[R] * SlotsPerRegion / ServiceSeconds;
    const int Arrivals = std::poisson_distribution<>(Rate * Seconds)(Random);
    for (int I = 0; I < Arrivals; ++I) {
      const std::size_t Per = (HostCount - R + RegionCount - 1) / RegionCount;
      arrive(R + RegionCount * static_cast<std::size_t>(
                                   draw() * static_cast<double>(Per)));
    }
  }
  if (Steps % StepsPerReport == 0)
    report();
  checkOverfill();
}

void PlacementSimulation::run(Duration Time) {
  for (const Instant End = Now + Time; Now < End;)
    step();
}

void PlacementSimulation::arrive(std::size_t Index) {
  Host &H = Hosts[Index];
  Counts &RequestCounts = Regions[H.Home].RequestCounts;
  ++RequestCounts.Arrived;
  const PlacementChoice Choice =
      H.HostPlacement->choose(service(), Random, Now);
  const auto *Name = std::get_if<RegionName>(&Choice);
  if (Name == nullptr) {
    ++RequestCounts.Shed;
    return;
  }
  std::size_t ChosenRegion = 0;
  while (Regions[ChosenRegion].Name != *Name)
    ++ChosenRegion;
  Region &R = Regions[ChosenRegion];
  const bool IsHome = ChosenRegion == H.Home;
  // Requests in the home region wait outside the simulation when it is full.
  const bool Full = R.Home + R.Remote >= R.Slots;
  if (Full && (IsHome || Fault.RefuseRemote || R.Slots == 0)) {
    ++RequestCounts.Refused;
    if (!IsHome)
      H.HostPlacement->refusedFull(service(), *Name, Now);
    return;
  }
  ++RequestCounts.Served;
  RequestCounts.Remote += IsHome ? 0 : 1;
  ++(IsHome ? R.Home : R.Remote);
  H.HostPlacement->started(service(), *Name, Now);
  const double Length =
      std::exponential_distribution<>(1 / ServiceSeconds)(Random);
  InFlight.push({Now + Duration(static_cast<Duration::rep>(Length * 1e9)),
                 Index, ChosenRegion, H.Generation, R.KillCount});
}

void PlacementSimulation::finish(const Running &Done) {
  Region &R = Regions[Done.Region];
  Host &H = Hosts[Done.Host];
  if (R.KillCount == Done.KillCount)
    --(H.Home == Done.Region ? R.Home : R.Remote);
  if (H.Generation == Done.Generation)
    H.HostPlacement->finished(service(), R.Name, Now);
}

void PlacementSimulation::report() {
  for (Region &R : Regions) {
    const double InUse = R.Home + R.Remote;
    R.Reports.push_front({R.Slots, Fault.ReportsLie ? InUse / 2 : InUse,
                          R.Slots > 0 ? 1.0 : 0.0, R.Slots});
    if (R.Reports.size() > LongestLag + 1)
      R.Reports.pop_back();
  }
  for (Host &H : Hosts)
    for (Region &R : Regions)
      if (!Fault.ReportsMissing && draw() < 0.9 &&
          H.ReportLag < R.Reports.size())
        H.HostPlacement->observe(service(), R.Name, R.Reports[H.ReportLag],
                                 Now);
}

void PlacementSimulation::tick() {
  for (Host &H : Hosts) {
    H.HostPlacement->tick(Now);
    H.RemoteWeights.push_front(remoteWeight(H));
    H.RemoteWeights.resize(
        std::min(H.RemoteWeights.size(), TicksPerSecond + 1));
  }
  for (std::size_t I = 0; I < RegionCount; ++I)
    checkShift(I);
}

void PlacementSimulation::checkShift(std::size_t Index) {
  double InOneSecond = 0;
  for (const Host &H : Hosts)
    if (H.Home == Index)
      InOneSecond += H.RemoteWeights.front() - H.RemoteWeights.back();
  InOneSecond /= static_cast<double>(
      std::ranges::count(Hosts, Index, [](const Host &H) { return H.Home; }));
  if (InOneSecond > Config.Defaults.MaxShiftPerSecond + 1e-9)
    fail("shift of " + std::to_string(InOneSecond) + " in one second out of " +
         Regions[Index].Name.value());
  if (meanRemoteWeight(Index) > Config.Defaults.MaxShift + 1e-9)
    fail("total shift of " + std::to_string(meanRemoteWeight(Index)) +
         " out of " + Regions[Index].Name.value());
}

double PlacementSimulation::remoteWeight(const Host &H) const {
  double Sum = 0;
  for (const RegionWeight &W : H.HostPlacement->weights())
    if (W.Region != Regions[H.Home].Name)
      Sum += W.Weight;
  return Sum;
}

double PlacementSimulation::peersMedian(std::size_t Index) const {
  std::vector<double> Values;
  for (std::size_t I = 0; I < HostCount; ++I)
    if (I != Index && Hosts[I].Home == Hosts[Index].Home)
      Values.push_back(remoteWeight(Hosts[I]));
  std::ranges::sort(Values);
  return Values[Values.size() / 2];
}

double PlacementSimulation::meanRemoteWeight(std::size_t Index) const {
  double Sum = 0;
  double Count = 0;
  for (const Host &H : Hosts)
    if (H.Home == Index) {
      Sum += remoteWeight(H);
      ++Count;
    }
  return Sum / Count;
}

// Spilled requests may use at most the slots that the region's own callers left
// free at some time covered by a usable report.
void PlacementSimulation::checkOverfill() {
  for (Region &R : Regions) {
    R.Free.push_front(R.Slots - std::min(R.Home, R.Slots));
    // Without reports, hosts keep their share for some time.
    for (int I = 0; I < 2; ++I)
      if (!Fault.ReportsMissing && R.Free.size() > ReportSteps)
        R.Free.pop_back();
    if (R.Remote > R.Free.front() &&
        R.Remote > *std::ranges::max_element(R.Free))
      fail(std::to_string(R.Remote) + " requests of other regions in " +
           R.Name.value() + ", which had at most " +
           std::to_string(*std::ranges::max_element(R.Free)) +
           " slots not used by its own callers");
  }
}

void PlacementSimulation::fail(const std::string &Text) {
  if (Violation.empty())
    Violation = "step " + std::to_string(Steps) + ": " + Text;
}

} // namespace masticgap::tests
