#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

namespace masticgap {

//! One process of an upstream service, as the platform's host list reports it.
struct WorkerDescriptor {
  WorkerId Id;
  ServiceName Service;
  RegionName Region;
  FailureDomainName Domain;
  Endpoint Address;
  Incarnation Run;
  unsigned Slots = 1;
  unsigned MaxConnections = 1;
  bool Leaving = false;

  friend bool operator==(const WorkerDescriptor &,
                         const WorkerDescriptor &) = default;
};

} // namespace masticgap
