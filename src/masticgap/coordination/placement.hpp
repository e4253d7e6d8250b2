#pragma once

#include "masticgap/coordination/internal/placement_service.hpp"
#include "masticgap/coordination/load_report.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/entry_host_descriptor.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <map>
#include <random>
#include <span>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! All regions are full: the request is refused early as "not run".
struct Shed {
  friend bool operator==(const Shed &, const Shed &) = default;
};

//! Region for a request, or its refusal.
using PlacementChoice = std::variant<RegionName, Shed>;

//! Share of a service's traffic that one host sends to a region.
struct RegionWeight {
  ServiceName Service;
  RegionName Region;
  double Weight = 0;

  friend bool operator==(const RegionWeight &, const RegionWeight &) = default;
};

//! Chooses the region of each request of one entry host.
//!
//! A service runs in the home region up to the target utilization. Traffic
//! above it spills to other regions in the configured order. Three limits
//! apply: this host's share of proved free slots, max_shift_per_second and
//! max_shift. Each host enforces all limits, so that they also hold for the sum
//! over hosts. One thread owns the object.
class Placement {
public:
  Placement(HostId Self, RegionName Home);

  //! Applies defaults and exceptions of a configuration. Versions older than
  //! the last one are ignored. A ShiftCap that names a service or the home
  //! region caps the share that leaves the home region; one that names another
  //! region caps the share sent there. The caller must leave out expired
  //! exceptions.
  void apply(const ConfigDocument &Config);

  //! Sets the entry hosts that may exist, live or not. A host that is no longer
  //! listed is counted for another 60 s, so that the share of a partitioned
  //! host is not given to others at once.
  void entryHosts(std::span<const EntryHostDescriptor> Hosts, Instant Now);

  //! Records the load of a region for a service. A load without any fresh
  //! report (FreshShare 0) proves no headroom.
  void observe(const ServiceName &Service, const RegionName &Region,
               const RegionLoad &Load, Instant Now);

  //! Sets the initial weights to the median of the weights of peers in the same
  //! region; without peers, all traffic starts in the home region. Call it once
  //! after a start. The entry host does not call it yet.
  void startFrom(std::span<const std::vector<RegionWeight>> Peers, Instant Now);

  //! Adjusts the weights. Call it about every 100 ms; after a longer gap,
  //! weights move by at most one second's shift.
  void tick(Instant Now);

  //! Chooses the region of a request. Call started() when it is dispatched.
  PlacementChoice choose(const ServiceName &Service, std::mt19937_64 &Random,
                         Instant Now);

  //! Records that a request was dispatched to a region.
  void started(const ServiceName &Service, const RegionName &Region,
               Instant Now);
  //! Records that a dispatched request ended.
  void finished(const ServiceName &Service, const RegionName &Region,
                Instant Now);
  //! Records that all tried workers of a region refused a request as full,
  //! which contradicts the region's reports.
  void refusedFull(const ServiceName &Service, const RegionName &Region,
                   Instant Now);

  //! Returns this host's weights, for starting peers and for metrics.
  std::vector<RegionWeight> weights() const;

  //! Returns whether an exception excludes a failure domain from new work.
  //! Worker pools leave its workers out of selection and of RegionLoad.
  bool avoids(const ServiceName &Service,
              const FailureDomainName &Domain) const;

private:
  struct PerService {
    internal::PlacementService Weights;
    internal::PlacementLimits Limits;
  };

  PerService &service(const ServiceName &Name);
  internal::HeadroomRank rank(const ServiceName &Service,
                              const RegionName &Region) const;
  internal::PlacementLimits limits(const ServiceName &Name) const;

  HostId Self;
  RegionName Home;
  ConfigDocument Config;
  std::map<HostId, internal::ListedHost> Hosts;
  std::map<ServiceName, PerService> Services;
};

} // namespace masticgap::coordination
