#pragma once

#include "masticgap/state/config_document.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace masticgap {

//! One key whose value differs between two documents.
struct ConfigDifference {
  std::string Key;                   //!< For example "defaults.max_shift".
  std::optional<std::string> Before; //!< JSON text; absent when added.
  std::optional<std::string> After;  //!< JSON text; absent when removed.

  friend bool operator==(const ConfigDifference &,
                         const ConfigDifference &) = default;
};

//! Returns the steering values of a document as a map from dotted key to JSON
//! text, without the keys that describe the change itself (version, operator,
//! reason and so on).
std::map<std::string, std::string> flatten(const ConfigDocument &Document);

//! Returns the keys whose values differ, in lexicographic order.
std::vector<ConfigDifference> diff(const ConfigDocument &Before,
                                   const ConfigDocument &After);

} // namespace masticgap
