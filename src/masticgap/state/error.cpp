#include "masticgap/state/error.hpp"

namespace masticgap {

std::string_view toString(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::InvalidSettings:
    return "invalid_settings";
  case ErrorKind::InvalidConfiguration:
    return "invalid_configuration";
  case ErrorKind::InvalidRequest:
    return "invalid_request";
  case ErrorKind::NotFound:
    return "not_found";
  case ErrorKind::Conflict:
    return "conflict";
  case ErrorKind::Unavailable:
    return "unavailable";
  case ErrorKind::Timeout:
    return "timeout";
  case ErrorKind::Protocol:
    return "protocol";
  }
  return "protocol";
}

std::string describe(const Error &E) {
  if (E.Remedy.empty())
    return E.Message;
  return E.Message + "; " + E.Remedy;
}

} // namespace masticgap
