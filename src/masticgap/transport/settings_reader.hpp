#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/error.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::transport {

//! Reads the keys of a JSON object and records the first error.
class SettingsReader {
public:
  explicit SettingsReader(const boost::json::object &Object) : Object(Object) {}

  //! Reads a required, non-empty string.
  std::string text(std::string_view Key);
  //! Reads a required IP address.
  std::string address(std::string_view Key);
  //! Reads a required endpoint "ip:port".
  Endpoint endpoint(std::string_view Key);
  //! Reads an optional list of endpoints.
  std::vector<Endpoint> endpoints(std::string_view Key);
  //! Reads an optional integer from \p Min to \p Max.
  template <class T>
  T number(std::string_view Key, std::uint64_t Min, std::uint64_t Max,
           T Default) {
    return static_cast<T>(integer(Key, Min, Max, Default));
  }
  //! Reads an optional time in milliseconds.
  std::chrono::milliseconds time(std::string_view Key, std::uint64_t Min,
                                 std::uint64_t Max,
                                 std::chrono::milliseconds Default) {
    return std::chrono::milliseconds(
        integer(Key, Min, Max, static_cast<std::uint64_t>(Default.count())));
  }

  //! Reads an optional time: a number of milliseconds, or a string with the
  //! unit "ms" or "s".
  std::chrono::milliseconds duration(std::string_view Key, std::uint64_t Min,
                                     std::uint64_t Max,
                                     std::chrono::milliseconds Default);
  //! Reads an optional decimal number.
  double decimal(std::string_view Key, double Min, double Max, double Default);
  bool flag(std::string_view Key, bool Default);
  //! Reads an optional string that is one of several words.
  //! \returns the index of the word.
  std::size_t word(std::string_view Key,
                   std::span<const std::string_view> Accepted,
                   std::size_t Default);
  //! Reads a required object whose values are strings.
  std::map<std::string, std::string> texts(std::string_view Key);

  //! Checks for unknown keys.
  //! \returns the first error, or nothing if there is none.
  std::optional<Error> finish();

private:
  const boost::json::value *find(std::string_view Key);
  std::uint64_t integer(std::string_view Key, std::uint64_t Min,
                        std::uint64_t Max, std::uint64_t Default);
  Endpoint parseEndpoint(std::string_view Key, const boost::json::value &Value);
  void reject(std::string_view Key, const boost::json::value &Value,
              const std::string &Remedy);
  void report(std::string Message, std::string Remedy);

  const boost::json::object &Object;
  std::set<std::string, std::less<>> AcceptedKeys;
  std::optional<Error> FirstError;
};

//! Returns whether \p Text is an IP address.
bool isAddress(std::string_view Text);

//! Parses a duration such as "1500ms" or "2.5s".
//! \returns nothing if \p Text is not a valid duration of at most a year.
std::optional<std::chrono::nanoseconds> parseDuration(std::string_view Text);

} // namespace masticgap::transport
