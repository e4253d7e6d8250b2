#pragma once

#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Maximum length of an idempotency key, in bytes. Together with the limit of
//! 131,072 stored keys it bounds the memory for their text to 32 MiB.
inline constexpr std::size_t MaxKeyLength = 255;

//! Maximum length of the host id in a key prefix, in bytes.
inline constexpr std::size_t MaxKeyHostLength = 63;

//! The only process that may dispatch a key, and the epoch in which that
//! process issued the key.
struct Binding {
  HostId Host;
  Incarnation Run;
  std::uint64_t Epoch = 0;

  friend auto operator<=>(const Binding &, const Binding &) = default;
};

//! Parsed Idempotency-Key header.
struct IdempotencyKey {
  std::string Text;             //!< Complete text, including any prefix.
  std::optional<Binding> Bound; //!< Absent for a bare key.

  friend bool operator==(const IdempotencyKey &,
                         const IdempotencyKey &) = default;
};

//! Parses an Idempotency-Key header.
//!
//! A key whose prefix does not have the exact form written by formatKeyPrefix()
//! is a bare key, so that all entry hosts classify a text in the same way.
//! \returns nothing if the text is empty, is longer than MaxKeyLength, contains
//! a character outside visible ASCII, or consists of a key prefix only (callers
//! would share such a key).
std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text);

//! Returns the prefix `<host>.<incarnation>.<epoch>~`, to which callers append
//! a text of their own.
std::string formatKeyPrefix(const Binding &B);

} // namespace masticgap::coordination
