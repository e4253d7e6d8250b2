#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/error.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::transport {

//! Reads the keys of a JSON object and keeps the first problem that it meets.
class SettingsReader {
public:
  explicit SettingsReader(const boost::json::object &Object) : Object(Object) {}

  //! Text that is required and not empty.
  std::string text(std::string_view Key);
  //! Required IP number.
  std::string address(std::string_view Key);
  //! Required endpoint "ip:port".
  Endpoint endpoint(std::string_view Key);
  //! Optional list of endpoints.
  std::vector<Endpoint> endpoints(std::string_view Key);
  //! Optional number from Least to Most.
  template <class T>
  T number(std::string_view Key, std::uint64_t Least, std::uint64_t Most,
           T Default) {
    return static_cast<T>(integer(Key, Least, Most, Default));
  }
  //! Optional time in milliseconds.
  std::chrono::milliseconds time(std::string_view Key, std::uint64_t Least,
                                 std::uint64_t Most,
                                 std::chrono::milliseconds Default) {
    return std::chrono::milliseconds(
        integer(Key, Least, Most, static_cast<std::uint64_t>(Default.count())));
  }

  //! Optional time as milliseconds, or as text with the unit "ms" or "s".
  std::chrono::milliseconds duration(std::string_view Key, std::uint64_t Least,
                                     std::uint64_t Most,
                                     std::chrono::milliseconds Default);
  //! Optional number with a fraction.
  double decimal(std::string_view Key, double Least, double Most,
                 double Default);
  bool flag(std::string_view Key, bool Default);
  //! Required object whose values are texts.
  std::map<std::string, std::string> texts(std::string_view Key);

  //! First problem, unknown keys included; nothing if there is none.
  std::optional<Error> finish();

private:
  const boost::json::value *find(std::string_view Key);
  std::uint64_t integer(std::string_view Key, std::uint64_t Least,
                        std::uint64_t Most, std::uint64_t Default);
  Endpoint parseEndpoint(std::string_view Key, const boost::json::value &Value);
  void reject(std::string_view Key, const boost::json::value &Value,
              const std::string &Remedy);
  void report(std::string Message, std::string Remedy);

  const boost::json::object &Object;
  std::set<std::string, std::less<>> Known;
  std::optional<Error> Problem;
};

//! Reads a duration such as "1500ms" or "2.5s".
//! \returns nothing when the text is no such duration.
std::optional<std::chrono::nanoseconds> parseDuration(std::string_view Text);

} // namespace masticgap::transport
