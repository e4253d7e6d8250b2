#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace masticgap {

//! Identifies one run of a process: its start time in milliseconds, shifted
//! left by 16 bits, with random bits below. A larger value denotes a newer run
//! of the same process.
struct Incarnation {
  std::uint64_t Value = 0;

  friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Value); }
};

//! Makes an incarnation from the wall-clock start time and 16 random bits.
constexpr Incarnation makeIncarnation(std::uint64_t UnixMilliseconds,
                                      std::uint16_t RandomBits) {
  return Incarnation{(UnixMilliseconds << 16) | RandomBits};
}

} // namespace masticgap

template <> struct std::hash<masticgap::Incarnation> {
  std::size_t operator()(const masticgap::Incarnation &I) const {
    return std::hash<std::uint64_t>()(I.Value);
  }
};
