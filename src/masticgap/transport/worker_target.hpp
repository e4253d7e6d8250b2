#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

#include <cstddef>

namespace masticgap::transport {

//! One run of a process that receives requests: a worker, or the entry host
//! that owns a key.
struct WorkerTarget {
  WorkerId Id;
  Incarnation Run;
  Endpoint Address;
  std::size_t MaxConnections = 1; //!< This host's share of the limit.
};

} // namespace masticgap::transport
