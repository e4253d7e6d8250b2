#pragma once

#include "masticgap/state/error.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap {

//! Collects the first error found in a JSON text; later errors are ignored.
class JsonErrors {
public:
  explicit JsonErrors(ErrorKind Kind) : Kind(Kind) {}

  //! Records that the value at \p Path is not one of the accepted values.
  void wrongValue(std::string_view Path, const boost::json::value &Value,
                  std::string_view Accepted);
  //! Records an error with its own message.
  void add(std::string Message, std::string Remedy);

  explicit operator bool() const { return First.has_value(); }
  const Error &first() const { return *First; }

private:
  ErrorKind Kind;
  std::optional<Error> First;
};

//! Parses a JSON text. The message of a syntax error contains its byte offset.
boost::json::value parseJson(std::string_view Text, JsonErrors &Errors);

//! Maximum length of a name, in characters.
inline constexpr std::size_t MaxNameLength = 64;

//! Returns whether \p Text is 1 to 64 letters, digits, '-', '_' or '.'.
bool isName(std::string_view Text);

//! Accepted values of a name, for error messages.
inline constexpr std::string_view AcceptedName =
    "a name of 1 to 64 letters, digits, '-', '_' or '.'";

//! Reads the members of one JSON object and checks their types and ranges. An
//! output is left unchanged if its member is absent or invalid.
class ObjectReader {
public:
  enum class Presence { Required, Optional };
  static constexpr Presence Required = Presence::Required;
  static constexpr Presence Optional = Presence::Optional;

  ObjectReader(const boost::json::value &Value, std::string Path,
               JsonErrors &Errors);

  //! Reads a string of 1 to \p MaxLength bytes without control characters.
  bool text(std::string_view Key, std::string &Out, std::size_t MaxLength,
            Presence P = Required);
  bool name(std::string_view Key, std::string &Out, Presence P = Required);
  bool flag(std::string_view Key, bool &Out, Presence P = Required);
  bool number(std::string_view Key, double &Out, double Min, double Max,
              Presence P = Required);
  bool integer(std::string_view Key, std::uint64_t &Out, std::uint64_t Min,
               std::uint64_t Max, Presence P = Required);
  //! Reads an integer up to \p Max into a narrower type.
  template <class T>
  bool integerAs(std::string_view Key, T &Out, std::uint64_t Min,
                 std::uint64_t Max = std::numeric_limits<T>::max(),
                 Presence P = Required) {
    std::uint64_t Wide = 0;
    if (!integer(Key, Wide, Min, Max, P))
      return false;
    Out = static_cast<T>(Wide);
    return true;
  }

  //! Returns a member of the given type; null if it is absent or invalid.
  const boost::json::object *object(std::string_view Key,
                                    Presence P = Required);
  const boost::json::array *array(std::string_view Key, Presence P = Required);
  const boost::json::value *any(std::string_view Key, Presence P = Required);

  //! Records an error for each member that has not been read.
  void rejectOthers();

  bool has(std::string_view Key) const;
  std::string path(std::string_view Key) const;
  std::string path(std::string_view Key, std::size_t Index) const;

private:
  const boost::json::value *find(std::string_view Key, Presence P);

  const boost::json::object *Members = nullptr;
  std::string Path;
  JsonErrors &Errors;
  std::vector<std::string> AcceptedKeys;
};

} // namespace masticgap
