#pragma once

#include "masticgap/coordination/deadline.hpp"
#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/coordination/idempotency_key.hpp"
#include "masticgap/state/names.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>

namespace masticgap::entry {

//! Request of a caller and the values derived from it by checkRequest().
struct CallerRequest {
  boost::beast::http::request_header<> Head;
  std::string Body;      //!< Complete body, or the first part of a large one.
  bool Streamed = false; //!< The rest of the body is still unread.

  ServiceName Service;
  RequestId Id;
  coordination::Deadline Deadline;
  std::optional<coordination::IdempotencyKey> Key;
  coordination::Fingerprint RequestFingerprint;
  bool Repeatable = false;
  bool Forwarded = false; //!< Another entry host forwarded it.
};

} // namespace masticgap::entry
