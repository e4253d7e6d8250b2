#pragma once

#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Table of the intents.
inline constexpr std::string_view IntentTable = "intent";

//! State of a claim in its row.
enum class IntentState {
  Claimed, //!< The holder may dispatch it or may have dispatched it.
  NotRun,  //!< It did not run; another claim may take the row over.
  Done     //!< It ran and was answered.
};

//! Claim of a bare key. The holder, its run and the nonce together identify the
//! claim.
struct IntentRow {
  std::string Key; //!< Complete key; the row is named by its hash only.
  HostId Holder;
  Incarnation Run;
  std::uint64_t Nonce = 0;
  Fingerprint Request;
  IntentState State = IntentState::Claimed;

  friend bool operator==(const IntentRow &, const IntentRow &) = default;
};

//! Returns the name of the key's row: its XXH3 128-bit hash in hexadecimal.
std::string intentRowKey(std::string_view Key);

//! Returns the JSON text of a row.
std::string encodeIntentRow(const IntentRow &Row);

//! Parses a row.
//! \returns nothing if the text is not a complete row.
std::optional<IntentRow> decodeIntentRow(std::string_view Json);

} // namespace masticgap::coordination
