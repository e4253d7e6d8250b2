#pragma once

#include "masticgap/state/names.hpp"

#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Picks any eligible worker at random; the baseline of measurements.
struct UniformChoice {};

//! Draws two workers at random and picks the one with the lower estimated use.
struct TwoChoices {};

//! Prefers the slots that rendezvous hashing assigns to this entry host and
//! falls back to TwoChoices when they are in use.
struct SlotSubset {
  HostId Self;
  RegionName Region; //!< Local region; slots of other regions are not assigned.
  //! Live entry hosts of the region, including this one.
  std::vector<HostId> LiveHosts;
};

//! Picks the worker with the lowest estimated use; ties are broken at random.
struct LeastUsed {};

//! Policy by which a pool picks among the eligible workers.
using ChoicePolicy =
    std::variant<UniformChoice, TwoChoices, SlotSubset, LeastUsed>;

} // namespace masticgap::coordination
