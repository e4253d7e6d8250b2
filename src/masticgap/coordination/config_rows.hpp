#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Table of the configuration rows.
inline constexpr std::string_view ConfigTable = "config";

//! Key of the row with the complete current document.
inline constexpr std::string_view ConfigCurrentKey = "current";

//! Prefix of the keys of all accepted documents.
inline constexpr std::string_view ConfigHistoryPrefix = "history/";

//! Returns the key of the row with the document of a version. The number is
//! padded to 20 digits, so that a scan returns the versions in order.
std::string configHistoryKey(std::uint64_t Version);

//! Returns the key of the row that proves that a change took effect.
std::string configChangeKey(std::string_view ChangeId);

} // namespace masticgap::coordination
