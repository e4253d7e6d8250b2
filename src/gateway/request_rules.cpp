// Decisions about a request that do not change the state of the gateway.
#include "gateway/request_rules.hpp"

#include "masticgap/coordination/admission/stop_policy.hpp"
#include "masticgap/transport/http_types.hpp"

#include <span>
#include <utility>

namespace masticgap::gateway {

namespace http = boost::beast::http;
using namespace coordination;

namespace {

//! Retry-After of a gateway without a configuration. It usually gets one from
//! the store or a peer within this time.
constexpr Duration NoConfigRetry = std::chrono::milliseconds(500);
//! Retry-After of a request that cannot be served before the operator changes
//! the configuration.
constexpr Duration ConfigErrorRetry = std::chrono::seconds(1);

} // namespace

LocalAnswer unavailable(std::string Reason, Duration RetryAfter) {
  return {http::status::service_unavailable, std::move(Reason), RetryAfter};
}

LocalAnswer unauthorized() {
  return {http::status::unauthorized, "unauthorized", Duration(0)};
}

const char *reasonText(RejectReason Reason) {
  return Reason == RejectReason::NoWorkers    ? "no_workers"
         : Reason == RejectReason::Overloaded ? "overloaded"
                                              : "no_time";
}

RouteMatch matchRoute(const TrafficConfig *Config, std::string_view HostHeader,
                      std::string_view Target) {
  if (!Config)
    return {nullptr, unavailable("no_config", NoConfigRetry)};
  const Route *Found =
      findRoute(*Config, HostHeader, transport::targetPath(Target));
  if (!Found)
    return {nullptr,
            LocalAnswer{http::status::not_found, "no_route", Duration(0)}};
  if (!Found->Readable)
    return {Found, unavailable("route_unreadable", ConfigErrorRetry)};
  return {Found, std::nullopt};
}

bool needsAccount(const TrafficConfig &Config, const Route &Matched) {
  return Config.Accounts && !Matched.Public;
}

RegionLimit regionLimit(const Route &Matched, const Account *Caller) {
  return {Matched.HomeRegions, Caller ? std::span(Caller->HomeRegions)
                                      : std::span<const RegionName>()};
}

std::optional<LocalAnswer> checkRegions(const RegionLimit &Regions) {
  if (Regions.servesNowhere())
    return unavailable("no_home_region", ConfigErrorRetry);
  return std::nullopt;
}

std::uint64_t objectOf(const Route &Matched, const ServiceName &Service,
                       std::string_view Name, std::mt19937_64 &Random) {
  return Matched.SessionAffinity && !Name.empty() ? objectHash(Service, Name)
                                                  : Random();
}

bool isRefusedByStop(const GatewayState &State, const Route &Matched,
                     const ServiceName &Service, Instant Deadline,
                     Instant Now) {
  return State.StopAt &&
         !maySendDuringStop({Matched.LatencyObjective,
                             State.Dispatch.typicalLatency(Service), Deadline},
                            *State.StopAt, Now);
}

DispatchRequest makeDispatchRequest(const Route &Matched, const Account *Caller,
                                    const RegionLimit &Regions) {
  DispatchRequest Result;
  Result.Priority =
      Caller && Caller->Priority ? *Caller->Priority : Matched.Priority;
  Result.LatencyObjective = Matched.LatencyObjective;
  Result.HomeRegions = Regions.regions();
  return Result;
}

} // namespace masticgap::gateway
