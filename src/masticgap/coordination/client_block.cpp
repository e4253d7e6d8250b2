#include "masticgap/coordination/client_block.hpp"

#include <algorithm>
#include <charconv>
#include <string>

#include <arpa/inet.h>

namespace masticgap::coordination {

namespace {

//! Length of the prefix ::ffff:0:0/96 of IPv4-mapped addresses.
constexpr std::size_t MappedPrefixBytes = 12;

bool isMappedV4(const ClientAddress &A) {
  const auto *Bytes = A.Bytes.data();
  return std::all_of(Bytes, Bytes + 10, [](auto B) { return B == 0; }) &&
         Bytes[10] == 0xff && Bytes[11] == 0xff;
}

void clearAfter(ClientAddress &A, unsigned Length) {
  for (unsigned Bit = Length; Bit < A.bits(); ++Bit)
    A.Bytes[Bit / 8] &= static_cast<std::uint8_t>(~(0x80U >> (Bit % 8)));
}

} // namespace

std::optional<ClientAddress> parseClientAddress(std::string_view Text) {
  const std::string Copy(Text);
  ClientAddress A;
  if (inet_pton(AF_INET, Copy.c_str(), A.Bytes.data()) == 1)
    return A;
  if (inet_pton(AF_INET6, Copy.c_str(), A.Bytes.data()) != 1)
    return std::nullopt;
  A.V6 = true;
  if (!isMappedV4(A))
    return A;
  ClientAddress V4;
  std::copy_n(A.Bytes.begin() + MappedPrefixBytes, 4, V4.Bytes.begin());
  return V4;
}

std::optional<ClientBlock> parseClientBlock(std::string_view Text) {
  const std::size_t Slash = Text.find('/');
  if (Slash == std::string_view::npos)
    return std::nullopt;
  const auto Address = parseClientAddress(Text.substr(0, Slash));
  const std::string_view Digits = Text.substr(Slash + 1);
  unsigned Length = 0;
  const auto [End, Ec] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Length);
  if (!Address || Ec != std::errc() || End != Digits.data() + Digits.size() ||
      Length > Address->bits())
    return std::nullopt;
  ClientBlock Block{*Address, static_cast<std::uint8_t>(Length)};
  clearAfter(Block.Prefix, Length);
  return Block;
}

} // namespace masticgap::coordination
