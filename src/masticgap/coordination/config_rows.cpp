#include "masticgap/coordination/config_rows.hpp"

namespace masticgap::coordination {

namespace {

//! Number of decimal digits of the largest 64-bit number.
constexpr std::size_t VersionDigits = 20;

} // namespace

std::string configHistoryKey(std::uint64_t Version) {
  const std::string Digits = std::to_string(Version);
  return std::string(ConfigHistoryPrefix) +
         std::string(VersionDigits - Digits.size(), '0') + Digits;
}

std::string configChangeKey(std::string_view ChangeId) {
  return "change/" + std::string(ChangeId);
}

} // namespace masticgap::coordination
