#include "ctl/ctl_options.hpp"

#include "masticgap/state/config_limits.hpp"
#include "masticgap/state/error.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace masticgap::ctl {

namespace {

boost::leaf::error_id invalidOption(std::string_view Option,
                                    std::string_view Text,
                                    std::string_view Accepted) {
  return boost::leaf::new_error(
      Error{ErrorKind::InvalidSettings,
            std::string(Option) + " is \"" + std::string(Text) + "\"",
            "accepted: " + std::string(Accepted)});
}

std::optional<std::uint64_t> parseUnsigned(std::string_view Text) {
  std::uint64_t Number = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Number;
}

std::uint64_t unitMilliseconds(char Unit) {
  switch (Unit) {
  case 's':
    return 1'000;
  case 'm':
    return 60'000;
  case 'h':
    return 3'600'000;
  case 'd':
    return 86'400'000;
  default:
    return 0;
  }
}

} // namespace

boost::leaf::result<Endpoint> parseEndpoint(std::string_view Option,
                                            std::string_view Text) {
  constexpr std::string_view Accepted =
      "ip:port, for example 10.0.0.1:7300 or [fd00::1]:7300";
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return invalidOption(Option, Text, Accepted);
  std::string Address(Text.substr(0, Colon));
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  boost::system::error_code Failure;
  boost::asio::ip::make_address(Address, Failure);
  const auto Port = parseUnsigned(Text.substr(Colon + 1));
  if (Failure || !Port || *Port == 0 || *Port > 65535)
    return invalidOption(Option, Text, Accepted);
  return Endpoint{Address, static_cast<std::uint16_t>(*Port)};
}

boost::leaf::result<std::vector<Endpoint>>
parseEndpoints(std::string_view Option, std::string_view Text) {
  std::vector<Endpoint> Endpoints;
  while (!Text.empty()) {
    const std::size_t Comma = Text.find(',');
    BOOST_LEAF_AUTO(Parsed, parseEndpoint(Option, Text.substr(0, Comma)));
    Endpoints.push_back(std::move(Parsed));
    Text.remove_prefix(Comma == std::string_view::npos ? Text.size()
                                                       : Comma + 1);
  }
  return Endpoints;
}

boost::leaf::result<std::uint64_t> parseExpires(std::string_view Text,
                                                std::uint64_t NowUnixMs) {
  constexpr std::string_view Accepted =
      "a time from now such as 90m, 2h or 3d, or Unix milliseconds that are "
      "still to come";
  if (Text.empty())
    return invalidOption("--expires", Text, Accepted);
  if (const auto UnixMs = parseUnsigned(Text)) {
    if (*UnixMs <= NowUnixMs || *UnixMs > MaxExactNumber)
      return invalidOption("--expires", Text, Accepted);
    return *UnixMs;
  }
  const auto Count = parseUnsigned(Text.substr(0, Text.size() - 1));
  const std::uint64_t Unit = unitMilliseconds(Text.back());
  if (!Count || *Count == 0 || Unit == 0 || *Count > MaxExactNumber / Unit / 2)
    return invalidOption("--expires", Text, Accepted);
  return NowUnixMs + *Count * Unit;
}

boost::leaf::result<std::uint64_t> parseNumber(std::string_view Name,
                                               std::string_view Text) {
  const auto Number = parseUnsigned(Text);
  if (!Number)
    return invalidOption(Name, Text, "a whole number");
  return *Number;
}

std::string toString(const Endpoint &E) {
  const bool IsV6 = E.Address.find(':') != std::string::npos;
  return (IsV6 ? "[" + E.Address + "]" : E.Address) + ":" +
         std::to_string(E.Port);
}

} // namespace masticgap::ctl
