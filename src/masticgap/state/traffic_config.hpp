#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap {

//! Weighted share of a route's traffic that goes to one service.
struct SplitPart {
  ServiceName Service;
  double Weight = 0; //!< Relative to the other parts of the route.

  friend bool operator==(const SplitPart &, const SplitPart &) = default;
};

//! Matches requests by host name and path prefix, and defines their handling.
struct Route {
  std::string Name;
  std::string HostName;         //!< Value of the Host header, without port.
  std::string Prefix;           //!< Begins and ends with a slash.
  bool Idempotent = false;      //!< May run more than once.
  Duration Timeout{0};          //!< Maximum time that a caller waits.
  Duration LatencyObjective{0}; //!< Latency objective.
  unsigned Priority = 0;        //!< 0 is the most urgent.
  unsigned MaxAttempts = 1;     //!< Workers that one caller attempt may try.
  bool SessionAffinity = false;
  std::vector<SplitPart> Parts;        //!< At least one.
  std::vector<RegionName> HomeRegions; //!< Empty when any region may serve.

  friend bool operator==(const Route &, const Route &) = default;
};

//! Properties of one service that the operator configures.
struct ServiceTraits {
  std::string HealthPath;
  unsigned ConnectionLimit = 1; //!< Connections of all callers to one worker.
  Duration ColdStart{0};        //!< Time that a new worker is cold.
  double ColdRequestsPerSecond = 0; //!< Maximum rate for a cold worker.

  friend bool operator==(const ServiceTraits &,
                         const ServiceTraits &) = default;
};

//! Limits on callers' requests and connections.
struct CallerLimits {
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 64 * 1024 * 1024;
  Duration HeaderTimeout = std::chrono::seconds(3);
  Duration IdleTimeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits &, const CallerLimits &) = default;
};

//! Complete traffic configuration at one version.
struct TrafficConfig {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<ServiceName, ServiceTraits> Services;
  CallerLimits Limits;

  friend bool operator==(const TrafficConfig &,
                         const TrafficConfig &) = default;
};

//! Finds the route with the longest prefix that matches the path.
//! \param HostHeader value of the Host header; a port is ignored.
//! \param Path path of the request target, without the query.
//! \returns null if no route of that host matches.
const Route *findRoute(const TrafficConfig &Config, std::string_view HostHeader,
                       std::string_view Path);

} // namespace masticgap
