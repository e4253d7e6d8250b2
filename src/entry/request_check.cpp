#include "entry/request_check.hpp"

#include "masticgap/transport/http_types.hpp"
#include "masticgap/transport/request_fingerprint.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <string_view>

namespace masticgap::entry {

namespace http = boost::beast::http;
using coordination::Deadline;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t MaxRequestIdBytes = 128;

std::string_view field(const http::fields &Fields, const char *FieldName) {
  const auto Found = Fields[FieldName];
  return {Found.data(), Found.size()};
}

std::string_view text(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string makeRequestId(std::mt19937_64 &Random) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Id;
  for (std::uint64_t Bits = Random(), Remaining = 16; Remaining > 0;
       --Remaining, Bits >>= 4)
    Id.push_back(Digits[Bits & 15]);
  return Id;
}

ServiceName serviceFromTarget(std::string_view Target) {
  const std::string_view Path = transport::targetPath(Target);
  if (Path.empty() || Path.front() != '/')
    return {};
  return ServiceName(std::string(Path.substr(1, Path.find('/', 1) - 1)));
}

bool isRepeatable(const http::request_header<> &Head,
                  const ServiceConfig *Config) {
  const http::verb Method = Head.method();
  if (Method == http::verb::get || Method == http::verb::head ||
      Method == http::verb::options)
    return true;
  if (!Config)
    return false;
  const auto &Listed = Config->RepeatableMethods;
  const std::string_view Text = text(Head.method_string());
  return std::find(Listed.begin(), Listed.end(), Text) != Listed.end();
}

std::optional<Refusal> readDeadline(CallerRequest &Request,
                                    const ConfigDocument &Config,
                                    const ServiceConfig *Service, Instant Now) {
  const milliseconds Limit = Service && Service->RequestTimeout
                                 ? *Service->RequestTimeout
                                 : Config.Defaults.RequestTimeout;
  const std::string_view Text = field(Request.Head, DeadlineField);
  if (Text.empty()) {
    Request.Deadline = Deadline::fromTimeLeft(Limit, Limit, Now);
    return std::nullopt;
  }
  std::int64_t Remaining = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Remaining);
  if (Failure != std::errc() || End != Text.data() + Text.size() ||
      Remaining < 0)
    return Refusal{http::status::bad_request, "invalid_request",
                   "Masticgap-Deadline-Ms is not a whole number; send the "
                   "milliseconds that are left"};
  Request.Deadline =
      Deadline::fromTimeLeft(milliseconds(Remaining), Limit, Now);
  return std::nullopt;
}

std::optional<Refusal> readKey(CallerRequest &Request) {
  const std::string_view Text = field(Request.Head, KeyField);
  if (Text.empty())
    return Refusal{http::status::bad_request, "key_missing",
                   "a request that is not repeatable needs an "
                   "Idempotency-Key; send key_prefix of the look-up answer "
                   "followed by text of your own"};
  Request.Key = coordination::parseIdempotencyKey(Text);
  if (Request.Key)
    return std::nullopt;
  return Refusal{http::status::bad_request, "key_malformed",
                 "the Idempotency-Key is too long, has no own text or has "
                 "characters that are not allowed; make a new one"};
}

std::optional<Refusal> readId(CallerRequest &Request, std::mt19937_64 &Random) {
  const std::string_view Text = field(Request.Head, RequestIdField);
  if (Text.size() > MaxRequestIdBytes) {
    Request.Id = RequestId(makeRequestId(Random));
    return Refusal{http::status::bad_request, "invalid_request",
                   "Masticgap-Request-Id is longer than 128 bytes; send a "
                   "shorter one or none"};
  }
  Request.Id =
      RequestId(Text.empty() ? makeRequestId(Random) : std::string(Text));
  return std::nullopt;
}

} // namespace

std::optional<Refusal> checkRequest(CallerRequest &Request,
                                    const SteeringSnapshot &Snapshot,
                                    std::mt19937_64 &Random, Instant Now) {
  if (auto Refused = readId(Request, Random))
    return Refused;
  if (!Snapshot.Config)
    return Refusal{http::status::service_unavailable, "unavailable",
                   "this entry host has no configuration yet; send the "
                   "request again or to another entry host"};
  Request.Service = serviceFromTarget(text(Request.Head.target()));
  if (!Snapshot.knowsService(Request.Service))
    return Refusal{http::status::not_found, "not_found",
                   "service \"" + Request.Service.value() +
                       "\" is unknown; request /<service>/... of a "
                       "configured service"};
  const ConfigDocument &Config = *Snapshot.Config;
  const auto Found = Config.Services.find(Request.Service);
  const ServiceConfig *Service =
      Found == Config.Services.end() ? nullptr : &Found->second;
  Request.Forwarded = !field(Request.Head, ForwardedField).empty();
  Request.Repeatable = isRepeatable(Request.Head, Service);
  Request.RequestFingerprint = transport::requestFingerprint(
      Request.Head, Request.Body, Request.Streamed);
  if (auto Refused = readDeadline(Request, Config, Service, Now))
    return Refused;
  return Request.Repeatable ? std::nullopt : readKey(Request);
}

} // namespace masticgap::entry
