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
                                             std::string_view Caller) {
  // The line ends keep the parts apart.
  std::string Parts(view(Head.method_string()));
  Parts += '\n';
  Parts += view(Head.target());
  Parts += '\n';
  if (Streamed)
    Parts += view(Head[http::field::content_length]);
  Parts += '\n';
  Parts += Caller;
  const std::uint64_t Seed = XXH3_64bits(Parts.data(), Parts.size());
  return {XXH3_64bits_withSeed(Body.data(), Body.size(), Seed)};
}

} // namespace masticgap::transport
