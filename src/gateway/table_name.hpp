#pragma once

#include "gateway/platform_api.hpp"

namespace masticgap::gateway {

//! Returns the name of a table for logs and metrics.
constexpr const char *tableName(StoreTable Table) {
  return Table == StoreTable::Operator ? "operator" : "workers";
}

} // namespace masticgap::gateway
