#include "masticgap/transport/worker_dialect.hpp"

namespace masticgap::transport {

namespace http = boost::beast::http;
using coordination::AttemptEnd;

namespace {

std::optional<AttemptEnd> readRefusal(const http::response_header<> &Head) {
  const auto Refused = Head["Worker-Refused"];
  if (Head.result() != http::status::service_unavailable)
    return std::nullopt;
  if (Refused == "full")
    return AttemptEnd::RefusedFull;
  if (Refused == "leaving")
    return AttemptEnd::RefusedLeaving;
  return std::nullopt;
}

} // namespace

const WorkerDialect &nativeWorkerDialect() {
  static const WorkerDialect NativeDialect{"Masticgap-Request-Id", readRefusal,
                                           false, false, nullptr};
  return NativeDialect;
}

} // namespace masticgap::transport
