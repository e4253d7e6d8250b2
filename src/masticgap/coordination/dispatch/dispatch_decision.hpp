#pragma once

#include "masticgap/state/time.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <cstddef>
#include <variant>

namespace masticgap::coordination {

//! Worker to which the request is sent.
struct WorkerPick {
  WorkerDescriptor Worker;
  //! Maximum number of connections of this host to the worker.
  unsigned Connections = 1;
  Duration QueueWait{0};        //!< Expected time in the worker's queue.
  Duration ExpectedLatency{0};  //!< Expected time until the answer.
  double Occupancy = 0;         //!< Estimated requests at the worker.
  std::size_t AffinityRank = 0; //!< In the object's rendezvous order.
  bool Cold = false;
};

//! Reason why no worker is chosen.
enum class RejectReason {
  NoWorkers,  //!< No worker of the service accepts requests.
  Overloaded, //!< The request would wait too long.
  NoTime      //!< The deadline has passed.
};

//! The request is rejected before it is sent.
struct Rejection {
  RejectReason Reason = RejectReason::NoWorkers;
  Duration RetryAfter{0};
  Duration QueueWait{0}; //!< Expected at the best worker, if there is one.
};
using DispatchDecision = std::variant<WorkerPick, Rejection>;

} // namespace masticgap::coordination
