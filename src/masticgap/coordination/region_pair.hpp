#pragma once

#include "masticgap/state/names.hpp"

#include <compare>

namespace masticgap::coordination {

//! Directed pair of regions; bytes flow from From to To.
struct RegionPair {
  RegionName From;
  RegionName To;

  //! Returns the pair that carries the answers to requests on this pair.
  RegionPair reversed() const { return {To, From}; }

  friend auto operator<=>(const RegionPair &, const RegionPair &) = default;
};

} // namespace masticgap::coordination
