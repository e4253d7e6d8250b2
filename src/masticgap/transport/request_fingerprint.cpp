#include "masticgap/transport/request_fingerprint.hpp"

#include <xxhash.h>

#include <string>

namespace masticgap::transport {

namespace http = boost::beast::http;

namespace {

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace

coordination::Fingerprint requestFingerprint(const http::request_header<> &Head,
                                             std::string_view Body,
                                             bool Streamed,
                                             std::string_view Scope) {
  // Newlines separate the fields, so that different requests do not concatenate
  // to the same text.
  std::string Fields(view(Head.method_string()));
  Fields += '\n';
  Fields += view(Head.target());
  Fields += '\n';
  if (Streamed)
    Fields += view(Head[http::field::content_length]);
  Fields += '\n';
  Fields += Scope;
  const std::uint64_t Seed = XXH3_64bits(Fields.data(), Fields.size());
  return {XXH3_64bits_withSeed(Body.data(), Body.size(), Seed)};
}

} // namespace masticgap::transport
