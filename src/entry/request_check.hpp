#pragma once

#include "entry/caller_request.hpp"
#include "entry/local_answer.hpp"
#include "entry/steering_snapshot.hpp"
#include "masticgap/state/time.hpp"

#include <optional>
#include <random>

namespace masticgap::entry {

//! Validates a request and sets the values derived from its head and body:
//! service, id, deadline, key, fingerprint and whether it is repeatable.
//! \returns the refusal if the request is invalid.
std::optional<Refusal> checkRequest(CallerRequest &Request,
                                    const SteeringSnapshot &Snapshot,
                                    std::mt19937_64 &Random, Instant Now);

} // namespace masticgap::entry
