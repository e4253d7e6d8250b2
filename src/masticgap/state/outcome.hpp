#pragma once

#include <string_view>

namespace masticgap {

//! Outcome of a request, as reported to the caller.
enum class Outcome {
  Answered, //!< The complete answer of a worker was returned.
  NotRun,   //!< The request was not executed and will not be.
  Unknown   //!< The request may or may not have been executed.
};

//! Returns the value of the Masticgap-Outcome header.
constexpr std::string_view toString(Outcome O) {
  switch (O) {
  case Outcome::Answered:
    return "answered";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

} // namespace masticgap
