#pragma once

#include "masticgap/state/config_document.hpp"

namespace masticgap::tests {

//! Returns a small document with the given version.
inline ConfigDocument testDocument(std::uint64_t Version,
                                   const std::string &ChangeId = "") {
  ConfigDocument D;
  D.Version = Version;
  D.BaseVersion = Version - 1;
  D.ChangeId = ChangeId.empty() ? "c" + std::to_string(Version) : ChangeId;
  D.Operator = "ana";
  D.Reason = "test";
  return D;
}

} // namespace masticgap::tests
