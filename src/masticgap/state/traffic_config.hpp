#pragma once

#include "masticgap/state/account_table.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
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
  std::string HostName;    //!< Value of the Host header, without port.
  std::string Prefix;      //!< Begins and ends with a slash.
  bool Idempotent = false; //!< May run more than once.
  bool Public = false;     //!< Callers need no key.
  //! Maximum time that a caller waits; unset: only the caller's deadline
  //! applies.
  std::optional<Duration> Timeout;
  Duration LatencyObjective{0}; //!< Latency objective.
  unsigned Priority = 0;        //!< 0 is the most urgent.
  unsigned MaxAttempts = 1;     //!< Workers that one caller attempt may try.
  bool SessionAffinity = false;
  std::vector<SplitPart> Parts;        //!< At least one.
  std::vector<RegionName> HomeRegions; //!< Empty when any region may serve.
  //! False for a route that could not be read. Requests that it matches are
  //! not served; an empty HostName or Prefix was not read and matches all.
  bool Readable = true;

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

//! Part of a configuration that an unreadable entry belongs to.
enum class ConfigPart { Route, Service, Account, Accounts, Limits };

//! Entry of a configuration that could not be read.
struct UnreadableEntry {
  ConfigPart Part = ConfigPart::Route;
  std::string Name;    //!< Empty when the name could not be read either.
  std::string Problem; //!< Names the field; contains no value.

  friend bool operator==(const UnreadableEntry &,
                         const UnreadableEntry &) = default;
};

//! Complete traffic configuration at one version.
struct TrafficConfig {
  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::map<ServiceName, ServiceTraits> Services;
  CallerLimits Limits;
  //! Unset when the configuration has no accounts; callers need no keys then.
  std::optional<AccountTable> Accounts;
  std::vector<UnreadableEntry> Unreadable;

  friend bool operator==(const TrafficConfig &,
                         const TrafficConfig &) = default;
};

//! Returns the name of the part in log lines and metrics.
std::string_view toString(ConfigPart Part);

//! Replaces the unreadable entries of a configuration by the entries that the
//! former one has under their names. Entries without a former one stay as they
//! were decoded: a route that is not served, a service with default traits, no
//! account.
//! \param Former configuration in force before, from the same process.
void keepFormerEntries(TrafficConfig &New, const TrafficConfig &Former);

//! Finds the route with the longest prefix that matches the path. An unreadable
//! route without host name matches only if no other route does.
//! \param HostHeader value of the Host header; a port is ignored.
//! \param Path path of the request target, without the query.
//! \returns null if no route of that host matches.
const Route *findRoute(const TrafficConfig &Config, std::string_view HostHeader,
                       std::string_view Path);

} // namespace masticgap
