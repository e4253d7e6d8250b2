#pragma once

#include "entry/caller_request.hpp"
#include "entry/local_answer.hpp"
#include "entry/traffic_state.hpp"
#include "masticgap/coordination/retry_policy.hpp"
#include "masticgap/coordination/worker_choice.hpp"
#include "masticgap/transport/attempt_control.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace masticgap::entry {

//! Workers and failure domain ruled out by earlier attempts of the request.
struct RouteLimits {
  std::vector<WorkerId> Tried;
  std::optional<FailureDomainName> AvoidedDomain;
};

using Route = std::variant<WorkerDescriptor, Refusal>;

//! Chooses region and worker of an attempt. Waits in the service's queue while
//! all workers are full.
boost::asio::awaitable<Route> chooseWorker(TrafficState &State,
                                           const CallerRequest &Request,
                                           const RouteLimits &Limits,
                                           transport::AttemptControl &Control);

} // namespace masticgap::entry
