#pragma once

#include "entry/caller_request.hpp"
#include "entry/local_answer.hpp"
#include "entry/steering_snapshot.hpp"
#include "masticgap/state/time.hpp"

#include <optional>
#include <random>

namespace masticgap::entry {

//! Fills in what the request path derives from head and body: service, id,
//! deadline, key, fingerprint and whether the request is repeatable.
//! \returns the answer if the request is refused.
std::optional<Refusal> checkRequest(CallerRequest &Request,
                                    const SteeringSnapshot &Snapshot,
                                    std::mt19937_64 &Random, Instant Now);

} // namespace masticgap::entry
