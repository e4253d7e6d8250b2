#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

namespace masticgap::coordination {

//! IPv4 or IPv6 address in network byte order; IPv4 uses the first 4 bytes.
struct ClientAddress {
  std::array<std::uint8_t, 16> Bytes{};
  bool V6 = false;

  //! Returns the address length of the family, in bits.
  constexpr unsigned bits() const { return V6 ? 128 : 32; }

  friend auto operator<=>(const ClientAddress &,
                          const ClientAddress &) = default;
};

//! Address prefix (CIDR block): all addresses that share the first Length bits.
struct ClientBlock {
  ClientAddress Prefix; //!< Bits after Length are zero.
  std::uint8_t Length = 0;

  friend auto operator<=>(const ClientBlock &, const ClientBlock &) = default;
};

//! Parses an address such as "192.0.2.1" or "2001:db8::1". An IPv4-mapped IPv6
//! address is converted to IPv4.
//! \returns std::nullopt when the text is not an address.
std::optional<ClientAddress> parseClientAddress(std::string_view Text);

//! Parses a client block such as "192.0.2.0/24". Bits after the prefix length
//! are cleared. The length of a block with an IPv4-mapped IPv6 address counts
//! the bits of the IPv4 address, so "::ffff:192.0.2.0/24" is 192.0.2.0/24.
//! \returns std::nullopt when the text is not a block.
std::optional<ClientBlock> parseClientBlock(std::string_view Text);

} // namespace masticgap::coordination
