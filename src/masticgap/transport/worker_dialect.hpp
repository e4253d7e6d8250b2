#pragma once

#include "masticgap/coordination/attempt_result.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>

namespace masticgap::transport {

//! Returns how an attempt ended if the answer's head states that the worker
//! refused the request before executing it, else nothing.
using RefusalReader = std::function<std::optional<coordination::AttemptEnd>(
    const boost::beast::http::response_header<> &)>;

//! Conventions that the workers of a deployment follow in their answers.
struct WorkerDialect {
  //! Header that a worker echoes, to match an answer to its request.
  std::string RequestIdField;
  RefusalReader Refusal;
  //! Whether an answer may have no length and end with its connection. If not,
  //! such an answer is not used, since it cannot be distinguished from a
  //! truncated one.
  bool AllowUnframedAnswers = false;
  //! Whether an answer that echoes another request's id is skipped and the next
  //! one is read. If not, such an answer ends the exchange.
  bool SkipMismatchedAnswers = false;
  //! Returns whether the head of an answer states that the worker leaves; may
  //! be empty.
  std::function<bool(const boost::beast::http::response_header<> &)> Leaving;
};

//! Returns the conventions of workers that use masticgap's own protocol.
const WorkerDialect &nativeWorkerDialect();

} // namespace masticgap::transport
