#pragma once

#include "masticgap/coordination/attempt_result.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <functional>
#include <optional>
#include <string>

namespace masticgap::transport {

//! What a worker's refusal before execution looks like.
using RefusalReader = std::function<std::optional<coordination::AttemptEnd>(
    const boost::beast::http::response_header<> &)>;

//! How the workers of a deployment mark their answers.
struct WorkerDialect {
  //! Header that a worker echoes, so that an answer can be matched.
  std::string RequestIdField;
  RefusalReader Refusal;
  //! An answer may have no length and end with its connection. Otherwise such
  //! an answer cannot be told from a broken one and is not used.
  bool UnframedAnswers = false;
  //! Answers that echo another request's id are skipped, and the next one is
  //! read. Otherwise they end the exchange.
  bool SkipsForeignAnswers = false;
};

//! Marks of workers that speak masticgap's own protocol.
const WorkerDialect &ownWorkerDialect();

} // namespace masticgap::transport
