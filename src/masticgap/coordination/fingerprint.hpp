#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace masticgap::coordination {

//! Hash of a request's method, target and body.
struct Fingerprint {
  std::uint64_t Value = 0;

  friend auto operator<=>(const Fingerprint &, const Fingerprint &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Value); }
};

} // namespace masticgap::coordination

template <> struct std::hash<masticgap::coordination::Fingerprint> {
  std::size_t operator()(const masticgap::coordination::Fingerprint &F) const {
    return std::hash<std::uint64_t>()(F.Value);
  }
};
