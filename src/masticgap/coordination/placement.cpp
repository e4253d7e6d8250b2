#include "masticgap/coordination/placement.hpp"

#include <algorithm>
#include <set>

#include <xxhash.h>

namespace masticgap::coordination {

namespace {

//! Time for which an unlisted host counts. It may be partitioned and still
//! route requests.
constexpr Duration UnlistedHostLifetime = std::chrono::seconds(60);

bool applies(const ConfigException &E, const ServiceName &Service) {
  return !E.Service || *E.Service == Service;
}

std::uint64_t hashOf(const std::string &Text, std::uint64_t Seed) {
  return XXH64(Text.data(), Text.size(), Seed);
}

//! Returns the median; of an even number of values, the smaller middle one.
double median(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

} // namespace

Placement::Placement(HostId SelfId, RegionName HomeRegion)
    : Self(std::move(SelfId)), Home(std::move(HomeRegion)) {}

void Placement::apply(const ConfigDocument &C) {
  if (C.Version < Config.Version)
    return;
  Config = C;
  for (auto &[Name, S] : Services)
    S.Limits = limits(Name);
}

void Placement::entryHosts(std::span<const EntryHostDescriptor> Listed,
                           Instant Now) {
  for (const EntryHostDescriptor &H : Listed)
    Hosts[H.Id] = {H.Region, Now};
  Hosts[Self] = {Home, Now};
  std::erase_if(Hosts, [&](const auto &H) {
    return Now - H.second.LastListed > UnlistedHostLifetime;
  });
  for (auto &[Service, S] : Services)
    for (const auto &[Region, Headroom] : S.Weights.regions())
      S.Weights.region(Region).setRank(rank(Service, Region));
}

void Placement::observe(const ServiceName &Service, const RegionName &Region,
                        const RegionLoad &Load, Instant Now) {
  PerService &S = service(Service);
  S.Weights.region(Region).observe(Load, Now);
  // Initial weights from peers can have created the region before its first
  // report, without a rank.
  if (S.Weights.region(Region).isRanked())
    return;
  S.Weights.region(Region).setRank(rank(Service, Region));
  // Without a configured spill order, the order consists of the known regions.
  S.Limits = limits(Service);
}

void Placement::startFrom(std::span<const std::vector<RegionWeight>> Peers,
                          Instant Now) {
  std::map<ServiceName, std::map<RegionName, std::vector<double>>> PeerWeights;
  std::map<ServiceName, std::size_t> PeerCounts;
  for (const std::vector<RegionWeight> &Peer : Peers) {
    std::set<ServiceName> PeerServices;
    for (const RegionWeight &W : Peer) {
      PeerWeights[W.Service][W.Region].push_back(W.Weight);
      PeerServices.insert(W.Service);
    }
    for (const ServiceName &Service : PeerServices)
      ++PeerCounts[Service];
  }
  for (auto &[Service, Regions] : PeerWeights) {
    std::map<RegionName, double> Start;
    for (auto &[Region, Values] : Regions) {
      // A peer that lists the service but not the region sends no traffic
      // there.
      Values.resize(PeerCounts[Service], 0);
      Start[Region] = median(std::move(Values));
    }
    PerService &S = service(Service);
    S.Weights.startFrom(std::move(Start), S.Limits, Now);
  }
}

void Placement::tick(Instant Now) {
  for (auto &[Service, S] : Services)
    S.Weights.tick(S.Limits, Now);
}

PlacementChoice Placement::choose(const ServiceName &Service,
                                  std::mt19937_64 &Random, Instant Now) {
  using internal::PlacementService;
  PerService &S = service(Service);
  const double Draw = std::uniform_real_distribution<>(0, 1)(Random);
  const PlacementService::Choice C = S.Weights.choose(Draw, S.Limits, Now);
  if (C.What == PlacementService::Pick::Shed)
    return Shed{};
  return C.Region;
}

void Placement::started(const ServiceName &Service, const RegionName &Region,
                        Instant Now) {
  service(Service).Weights.region(Region).started(Now);
}

void Placement::finished(const ServiceName &Service, const RegionName &Region,
                         Instant Now) {
  service(Service).Weights.region(Region).finished(Now);
}

void Placement::refusedFull(const ServiceName &Service,
                            const RegionName &Region, Instant Now) {
  service(Service).Weights.region(Region).refusedFull(Now);
}

std::vector<RegionWeight> Placement::weights() const {
  std::vector<RegionWeight> All;
  for (const auto &[Service, S] : Services) {
    double RemoteShare = 0;
    for (const auto &[Region, Weight] : S.Weights.weights()) {
      All.push_back({Service, Region, Weight});
      RemoteShare += Weight;
    }
    All.push_back({Service, Home, 1 - RemoteShare});
  }
  return All;
}

bool Placement::avoids(const ServiceName &Service,
                       const FailureDomainName &Domain) const {
  return std::ranges::any_of(Config.Exceptions, [&](const auto &E) {
    return E.Kind == ExceptionKind::AvoidDomain && applies(E, Service) &&
           E.Subject == Domain.value();
  });
}

Placement::PerService &Placement::service(const ServiceName &Name) {
  const auto It = Services.find(Name);
  if (It != Services.end())
    return It->second;
  return Services
      .emplace(Name, PerService{internal::PlacementService(Home), limits(Name)})
      .first->second;
}

// Ranks are ordered by a hash, so that the hosts that get the remainder slots
// differ between services and regions.
internal::HeadroomRank Placement::rank(const ServiceName &Service,
                                       const RegionName &Region) const {
  const auto Order = [&](const HostId &Id) {
    return std::pair(
        hashOf(Id.value(), hashOf(Region.value(), hashOf(Service.value(), 0))),
        Id);
  };
  const auto Own = Order(Self);
  internal::HeadroomRank Rank{0, 0};
  for (const auto &[Id, Host] : Hosts) {
    if (Host.Region == Region)
      continue;
    ++Rank.Hosts;
    Rank.Rank += Order(Id) < Own ? 1 : 0;
  }
  return Rank;
}

internal::PlacementLimits Placement::limits(const ServiceName &Name) const {
  const ConfigDefaults &D = Config.Defaults;
  internal::PlacementLimits L;
  L.MaxShiftPerSecond = D.MaxShiftPerSecond;
  L.MaxShift = D.MaxShift;
  L.TargetUtilization = D.TargetUtilization;
  if (const auto It = D.SpillOrder.find(Home); It != D.SpillOrder.end())
    L.Order = It->second;
  else if (const auto S = Services.find(Name); S != Services.end())
    for (const auto &[Region, Headroom] : S->second.Weights.regions())
      L.Order.push_back(Region);
  for (const ConfigException &E : Config.Exceptions) {
    if (!applies(E, Name))
      continue;
    if (E.Kind == ExceptionKind::AvoidRegion)
      L.Avoided.insert(RegionName(E.Subject));
    if (E.Kind != ExceptionKind::ShiftCap || !E.Value)
      continue;
    if (E.Subject == Name.value() || E.Subject == Home.value())
      L.MaxShift = *E.Value;
    else
      L.RegionCaps[RegionName(E.Subject)] = *E.Value;
  }
  return L;
}

} // namespace masticgap::coordination
