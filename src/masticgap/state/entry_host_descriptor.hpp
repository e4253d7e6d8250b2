#pragma once

#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <string>

namespace masticgap {

//! Identity and location of one entry host, and the ports it listens on.
struct EntryHostDescriptor {
  HostId Id;
  RegionName Region;
  FailureDomainName Domain;
  Incarnation Run;
  std::string Address;
  std::uint16_t LookupPort = 0;
  std::uint16_t TrafficPort = 0;
  std::uint16_t AdminPort = 0;
  std::uint16_t GossipPort = 0;

  friend bool operator==(const EntryHostDescriptor &,
                         const EntryHostDescriptor &) = default;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Id, Region, Domain, Run, Address, LookupPort, TrafficPort, AdminPort,
       GossipPort);
  }
};

} // namespace masticgap
