#pragma once

#include "masticgap/state/endpoint.hpp"

#include <optional>
#include <string>

namespace masticgap::tests {

//! Sends bytes on a new connection and reads until the peer closes or resets
//! it; the connection is closed on return.
//! \returns the received bytes, or nothing if the peer left it open for 10 s.
std::optional<std::string> receiveUntilClosed(const Endpoint &To,
                                              const std::string &Bytes);

} // namespace masticgap::tests
