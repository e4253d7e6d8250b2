#include "masticgap/coordination/idempotency_key.hpp"

#include <algorithm>
#include <charconv>

namespace masticgap::coordination {

namespace {

bool isVisibleAscii(char C) { return C >= '!' && C <= '~'; }

bool isHostCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '-' || C == '_' || C == '.';
}

//! Parses a decimal number without sign and leading zeros, so that each number
//! has only one valid form.
std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  if (Text.empty() || (Text.size() > 1 && Text.front() == '0'))
    return std::nullopt;
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Status] = std::from_chars(Text.data(), End, Number);
  if (Status != std::errc() || Stop != End)
    return std::nullopt;
  return Number;
}

//! Parses a key prefix without its final '~'. Host ids may contain dots, so the
//! numbers are parsed from the end.
std::optional<Binding> parseBinding(std::string_view Prefix) {
  const std::size_t EpochDot = Prefix.rfind('.');
  if (EpochDot == std::string_view::npos || EpochDot == 0)
    return std::nullopt;
  const std::size_t RunDot = Prefix.rfind('.', EpochDot - 1);
  if (RunDot == std::string_view::npos)
    return std::nullopt;
  const std::string_view Host = Prefix.substr(0, RunDot);
  if (Host.empty() || Host.size() > MaxKeyHostLength ||
      !std::all_of(Host.begin(), Host.end(), isHostCharacter))
    return std::nullopt;
  const auto Run =
      parseNumber(Prefix.substr(RunDot + 1, EpochDot - RunDot - 1));
  const auto Epoch = parseNumber(Prefix.substr(EpochDot + 1));
  if (!Run || !Epoch)
    return std::nullopt;
  return Binding{HostId(std::string(Host)), Incarnation{*Run}, *Epoch};
}

} // namespace

std::optional<IdempotencyKey> parseIdempotencyKey(std::string_view Text) {
  if (Text.empty() || Text.size() > MaxKeyLength ||
      !std::all_of(Text.begin(), Text.end(), isVisibleAscii))
    return std::nullopt;
  IdempotencyKey Key{std::string(Text), std::nullopt};
  const std::size_t PrefixEnd = Text.find('~');
  if (PrefixEnd == std::string_view::npos)
    return Key;
  Key.Bound = parseBinding(Text.substr(0, PrefixEnd));
  if (Key.Bound && PrefixEnd + 1 == Text.size())
    return std::nullopt;
  return Key;
}

std::string formatKeyPrefix(const Binding &B) {
  return B.Host.value() + "." + std::to_string(B.Run.Value) + "." +
         std::to_string(B.Epoch) + "~";
}

} // namespace masticgap::coordination
