#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace masticgap {

//! IP address and port; host names are not resolved.
struct Endpoint {
  std::string Address;
  std::uint16_t Port = 0;

  friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
  template <class Archive> void serialize(Archive &Ar) { Ar(Address, Port); }
};

} // namespace masticgap
