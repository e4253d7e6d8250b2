#include "masticgap/transport/settings_reader.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace masticgap::transport {

namespace json = boost::json;

namespace {

//! Longest duration that is accepted. Its sum with any point in time can be
//! represented.
constexpr std::chrono::hours MaxDuration{24 * 366};

std::string_view view(const json::string &Text) {
  return {Text.data(), Text.size()};
}

} // namespace

const json::value *SettingsReader::find(std::string_view Key) {
  AcceptedKeys.emplace(Key);
  return Object.if_contains({Key.data(), Key.size()});
}

void SettingsReader::report(std::string Message, std::string Remedy) {
  if (!FirstError)
    FirstError = Error{ErrorKind::InvalidSettings, std::move(Message),
                       std::move(Remedy)};
}

void SettingsReader::reject(std::string_view Key, const json::value &Value,
                            const std::string &Remedy) {
  report("setting \"" + std::string(Key) + "\" has the value " +
             json::serialize(Value),
         Remedy);
}

std::string SettingsReader::text(std::string_view Key) {
  const json::value *Value = find(Key);
  if (!Value) {
    report("setting \"" + std::string(Key) + "\" is missing",
           "add it to the settings file");
    return {};
  }
  if (!Value->is_string() || Value->as_string().empty()) {
    reject(Key, *Value, "set it to a non-empty string");
    return {};
  }
  return std::string(view(Value->as_string()));
}

std::string SettingsReader::address(std::string_view Key) {
  std::string Text = text(Key);
  if (!FirstError && !isAddress(Text))
    reject(Key, Text.c_str(), "set it to an IP address, for example 10.0.0.1");
  return Text;
}

Endpoint SettingsReader::parseEndpoint(std::string_view Key,
                                       const json::value &Value) {
  const std::string Remedy =
      "set it to \"ip:port\", for example \"10.0.0.1:7000\"";
  if (!Value.is_string()) {
    reject(Key, Value, Remedy);
    return {};
  }
  const std::string_view Text = view(Value.as_string());
  const std::size_t Colon = Text.rfind(':');
  std::uint16_t Port = 0;
  const std::string_view PortText =
      Colon == std::string_view::npos ? "" : Text.substr(Colon + 1);
  const auto [End, Failure] =
      std::from_chars(PortText.data(), PortText.data() + PortText.size(), Port);
  const bool PortIsValid =
      Failure == std::errc() && End == PortText.data() + PortText.size();
  if (!PortIsValid || Port == 0 || !isAddress(Text.substr(0, Colon))) {
    reject(Key, Value, Remedy);
    return {};
  }
  return {std::string(Text.substr(0, Colon)), Port};
}

Endpoint SettingsReader::endpoint(std::string_view Key) {
  const json::value *Value = find(Key);
  if (Value)
    return parseEndpoint(Key, *Value);
  text(Key);
  return {};
}

std::vector<Endpoint> SettingsReader::endpoints(std::string_view Key) {
  const json::value *Value = find(Key);
  std::vector<Endpoint> Result;
  if (!Value)
    return Result;
  if (!Value->is_array()) {
    reject(Key, *Value, "set it to a list of \"ip:port\"");
    return Result;
  }
  for (const json::value &Item : Value->as_array())
    Result.push_back(parseEndpoint(Key, Item));
  return Result;
}

std::uint64_t SettingsReader::integer(std::string_view Key, std::uint64_t Min,
                                      std::uint64_t Max,
                                      std::uint64_t Default) {
  const json::value *Value = find(Key);
  if (!Value)
    return Default;
  json::error_code Failure;
  const auto Number = Value->to_number<std::uint64_t>(Failure);
  const bool IsInteger = Value->is_int64() || Value->is_uint64();
  if (Failure || !IsInteger || Number < Min || Number > Max) {
    reject(Key, *Value,
           "set it to a whole number from " + std::to_string(Min) + " to " +
               std::to_string(Max));
    return Default;
  }
  return Number;
}

std::chrono::milliseconds
SettingsReader::duration(std::string_view Key, std::uint64_t Min,
                         std::uint64_t Max, std::chrono::milliseconds Default) {
  const json::value *Value = find(Key);
  if (!Value || !Value->is_string())
    return time(Key, Min, Max, Default);
  const auto Parsed = parseDuration(view(Value->as_string()));
  if (Parsed) {
    const auto Milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(*Parsed);
    const auto Count = static_cast<std::uint64_t>(Milliseconds.count());
    if (Count >= Min && Count <= Max)
      return Milliseconds;
  }
  reject(Key, *Value,
         "set it to milliseconds or a string such as \"2.5s\", from " +
             std::to_string(Min) + " to " + std::to_string(Max) + " ms");
  return Default;
}

double SettingsReader::decimal(std::string_view Key, double Min, double Max,
                               double Default) {
  const json::value *Value = find(Key);
  if (!Value)
    return Default;
  json::error_code Failure;
  const double Number = Value->to_number<double>(Failure);
  if (Failure || Number < Min || Number > Max) {
    reject(Key, *Value,
           "set it to a number from " + std::to_string(Min) + " to " +
               std::to_string(Max));
    return Default;
  }
  return Number;
}

bool SettingsReader::flag(std::string_view Key, bool Default) {
  const json::value *Value = find(Key);
  if (!Value)
    return Default;
  if (!Value->is_bool()) {
    reject(Key, *Value, "set it to true or false");
    return Default;
  }
  return Value->as_bool();
}

std::size_t SettingsReader::word(std::string_view Key,
                                 std::span<const std::string_view> Accepted,
                                 std::size_t Default) {
  const json::value *Value = find(Key);
  if (!Value)
    return Default;
  std::string Remedy = "set it to one of";
  for (std::size_t I = 0; I < Accepted.size(); ++I) {
    if (Value->is_string() && view(Value->as_string()) == Accepted[I])
      return I;
    Remedy.append(" \"").append(Accepted[I]).append("\"");
  }
  reject(Key, *Value, Remedy);
  return Default;
}

std::map<std::string, std::string> SettingsReader::texts(std::string_view Key) {
  std::map<std::string, std::string> Result;
  const json::value *Value = find(Key);
  if (!Value) {
    report("setting \"" + std::string(Key) + "\" is missing",
           "add it to the settings file");
    return Result;
  }
  if (!Value->is_object()) {
    reject(Key, *Value, "set it to an object whose values are strings");
    return Result;
  }
  for (const auto &Member : Value->as_object()) {
    if (!Member.value().is_string()) {
      reject(Key, *Value, "set it to an object whose values are strings");
      continue;
    }
    Result.emplace(std::string(Member.key()),
                   std::string(view(Member.value().as_string())));
  }
  return Result;
}

bool isAddress(std::string_view Text) {
  boost::system::error_code Failure;
  boost::asio::ip::make_address(std::string(Text), Failure);
  return !Failure;
}

std::optional<std::chrono::nanoseconds> parseDuration(std::string_view Text) {
  double Count = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Failure != std::errc() || Count < 0)
    return std::nullopt;
  const std::string_view Unit = Text.substr(End - Text.data());
  std::chrono::duration<double> Seconds{0};
  if (Unit == "ms")
    Seconds = std::chrono::duration<double, std::milli>(Count);
  else if (Unit == "s")
    Seconds = std::chrono::duration<double>(Count);
  else
    return std::nullopt;
  // Written so that NaN is rejected too.
  if (!(Seconds <= MaxDuration))
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds);
}

std::optional<Error> SettingsReader::finish() {
  for (const auto &Member : Object) {
    const std::string_view Key(Member.key().data(), Member.key().size());
    if (AcceptedKeys.find(Key) == AcceptedKeys.end())
      report("setting \"" + std::string(Key) + "\" with the value " +
                 json::serialize(Member.value()) + " is unknown",
             "remove it or correct its name; --help names the page that lists "
             "all settings");
  }
  return FirstError;
}

} // namespace masticgap::transport
