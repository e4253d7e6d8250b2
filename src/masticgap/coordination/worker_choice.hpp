#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <optional>
#include <span>
#include <variant>

namespace masticgap::coordination {

//! Requirements of a request on its worker.
struct ChoiceRequest {
  RegionName Region;                 //!< Region in which the worker has to be.
  std::span<const WorkerId> Tried{}; //!< Workers that are not chosen again.
  //! Failure domain to avoid if another one has a worker; set for retries.
  std::optional<FailureDomainName> AvoidDomain{};
};

//! A worker was chosen.
struct WorkerChosen {
  WorkerDescriptor Worker;
};

//! Eligible workers exist, but none has a free slot as far as this host knows.
struct AllWorkersFull {
  Duration RetryAfter{}; //!< Time after which a slot may be free.
};

//! No worker is eligible: none is known, or all are leaving, ejected or tried.
struct NoWorkers {};

using WorkerChoice = std::variant<WorkerChosen, AllWorkersFull, NoWorkers>;

} // namespace masticgap::coordination
