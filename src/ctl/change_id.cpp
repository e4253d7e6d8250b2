#include "ctl/change_id.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>

namespace masticgap::ctl {

namespace {

constexpr std::string_view TimePattern = "00000000T000000Z";

bool startsWithTime(std::string_view Text) {
  if (Text.size() < TimePattern.size())
    return false;
  for (std::size_t I = 0; I < TimePattern.size(); ++I) {
    const bool IsDigit = Text[I] >= '0' && Text[I] <= '9';
    if (TimePattern[I] == '0' ? !IsDigit : Text[I] != TimePattern[I])
      return false;
  }
  return true;
}

} // namespace

std::string makeChangeId(std::uint64_t UnixMs, std::uint32_t Random) {
  const auto Seconds = static_cast<std::time_t>(UnixMs / 1000);
  std::tm Parts{};
  ::gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Time{};
  std::strftime(Time.data(), Time.size(), "%Y%m%dT%H%M%SZ", &Parts);
  std::array<char, 16> Digits{};
  std::snprintf(Digits.data(), Digits.size(), "-%08x", Random);
  return std::string(Time.data()) + Digits.data();
}

std::string changeTime(std::string_view ChangeId) {
  if (!startsWithTime(ChangeId))
    return std::string(ChangeId);
  const auto Part = [&](std::size_t At, std::size_t Count) {
    return std::string(ChangeId.substr(At, Count));
  };
  return Part(0, 4) + "-" + Part(4, 2) + "-" + Part(6, 2) + " " + Part(9, 2) +
         ":" + Part(11, 2) + ":" + Part(13, 2) + " UTC";
}

} // namespace masticgap::ctl
