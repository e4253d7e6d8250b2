#pragma once

#include "gateway/gateway_state.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/state/traffic_config.hpp"

#include <boost/beast/http/status.hpp>

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace masticgap::gateway {

//! Minimum time that a worker needs. A request with less time left before its
//! deadline is not sent.
inline constexpr Duration MinWorkTime = std::chrono::milliseconds(10);
//! Maximum time of a request on a route without a timeout whose caller states
//! no deadline. It bounds how long a silent worker holds the connections.
inline constexpr std::chrono::milliseconds MaxRequestTime =
    std::chrono::hours(1);

//! Answer that the gateway creates itself.
struct LocalAnswer {
  boost::beast::http::status Status;
  std::string Reason;     //!< For the log and the body.
  Duration RetryAfter{0}; //!< Sent when above 0.
};

//! Returns the answer for a request that was not executed.
LocalAnswer unavailable(std::string Reason, Duration RetryAfter);
//! Returns the answer for a request without the key of an account.
LocalAnswer unauthorized();
const char *reasonText(coordination::RejectReason Reason);

//! Route of a request.
struct RouteMatch {
  const Route *Found = nullptr;
  std::optional<LocalAnswer> Refusal; //!< Set if no route serves the request.
};
//! \param Config null if there is none yet.
RouteMatch matchRoute(const TrafficConfig *Config, std::string_view HostHeader,
                      std::string_view Target);

//! Returns whether callers of a route need the key of an account.
bool needsAccount(const TrafficConfig &Config, const Route &Matched);

//! Returns the home regions of a request.
//! \param Caller null if the request has no account.
RegionLimit regionLimit(const Route &Matched, const Account *Caller);
//! \returns an answer if route and account have no home region in common.
std::optional<LocalAnswer> checkRegions(const RegionLimit &Regions);

//! Returns the object of a request.
//! \param Name as stated by the caller; empty if it states none.
//! \param Random draws the object of a request that states none.
std::uint64_t objectOf(const Route &Matched, const ServiceName &Service,
                       std::string_view Name, std::mt19937_64 &Random);

//! Returns whether a request arrives too late in a planned stop.
bool isRefusedByStop(const GatewayState &State, const Route &Matched,
                     const ServiceName &Service, Instant Deadline, Instant Now);

//! Returns a request with the properties that follow from route and account.
//! \param Regions must outlive the result.
coordination::DispatchRequest makeDispatchRequest(const Route &Matched,
                                                  const Account *Caller,
                                                  const RegionLimit &Regions);

} // namespace masticgap::gateway
