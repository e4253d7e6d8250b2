#pragma once

#include <string>
#include <string_view>

namespace masticgap {

//! Kinds of errors that are passed between modules.
enum class ErrorKind {
  InvalidSettings,
  InvalidConfiguration,
  InvalidRequest,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  Protocol
};

//! Error message with a remedy for the operator or caller.
struct Error {
  ErrorKind Kind = ErrorKind::Protocol;
  std::string Message;
  std::string Remedy;

  friend bool operator==(const Error &, const Error &) = default;
};

//! Returns the name of the kind in JSON bodies, for example "invalid_settings".
std::string_view toString(ErrorKind Kind);

//! Returns the message and the remedy in one line.
std::string describe(const Error &E);

} // namespace masticgap
