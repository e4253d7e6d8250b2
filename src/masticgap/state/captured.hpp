#pragma once

#include "masticgap/state/error.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <utility>
#include <variant>

namespace masticgap {

//! Value or Error that can be stored and passed between calls. A
//! boost::leaf::result keeps its error object only while a handler is on the
//! stack, so it cannot be handed to a callback that runs later.
template <class T> using Captured = std::variant<T, Error>;

//! Calls \p Make, which returns boost::leaf::result<T>, and returns its value
//! or its Error.
template <class T, class Function> Captured<T> capture(Function &&Make) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<Captured<T>> {
        boost::leaf::result<T> Result = std::forward<Function>(Make)();
        if (!Result)
          return Result.error();
        return Captured<T>(std::move(*Result));
      },
      [](const Error &E) { return Captured<T>(E); },
      [] {
        return Captured<T>(Error{ErrorKind::Protocol, "unknown error", ""});
      });
}

} // namespace masticgap
