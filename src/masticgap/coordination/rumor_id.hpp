#pragma once

#include "masticgap/coordination/rumor.hpp"

#include <cstdint>

namespace masticgap::coordination {

//! Returns a hash of the rumor's content, so that the same information from two
//! hosts is one rumor.
std::uint64_t rumorId(const Rumor &What);

} // namespace masticgap::coordination
