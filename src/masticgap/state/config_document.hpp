#pragma once

#include "masticgap/state/error.hpp"
#include "masticgap/state/names.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap {

//! Bandwidth cap of one directed region pair.
struct LinkCap {
  RegionName From;
  RegionName To;
  std::uint32_t Mbit = 0; //!< Megabits per second.

  friend bool operator==(const LinkCap &, const LinkCap &) = default;
};

//! Fleet-wide default values, which services and exceptions may narrow.
struct ConfigDefaults {
  double MaxShiftPerSecond = 0.05; //!< Share of a service's traffic.
  double MaxShift = 0.5;           //!< Share of a service's traffic.
  double TargetUtilization = 0.8;  //!< Share of a worker's slots in use.
  double RetryShare = 0.1;         //!< Retries per recent successful request.
  std::chrono::milliseconds RequestTimeout{2000};
  std::chrono::milliseconds LookupTtl{30000};
  std::uint32_t MaxEntryHosts = 32; //!< Divisor for the static floor of a link.
  //! Maps each region to the regions that it spills to, in order of preference.
  std::map<RegionName, std::vector<RegionName>> SpillOrder;
  std::vector<LinkCap> LinkCaps;

  friend bool operator==(const ConfigDefaults &,
                         const ConfigDefaults &) = default;
};

//! Configuration of one service.
struct ServiceConfig {
  //! Methods that may be repeated, in addition to GET, HEAD and OPTIONS.
  std::vector<std::string> RepeatableMethods;
  std::optional<std::chrono::milliseconds> RequestTimeout;

  friend bool operator==(const ServiceConfig &,
                         const ServiceConfig &) = default;
};

//! Effect of a configuration exception.
enum class ExceptionKind { AvoidRegion, AvoidDomain, DrainWorker, ShiftCap };

//! Deviation from the defaults that an operator has set, with its reason.
struct ConfigException {
  std::string Id;
  ExceptionKind Kind = ExceptionKind::AvoidRegion;
  std::string Subject; //!< Region, failure domain, worker or service.
  std::optional<ServiceName> Service; //!< All services when absent.
  std::optional<double> Value;        //!< Share of traffic, for ShiftCap.
  std::string Reason;
  std::string Operator;
  std::optional<std::uint64_t> ExpiresUnixMs;

  friend bool operator==(const ConfigException &,
                         const ConfigException &) = default;
};

//! Complete configuration of the fleet at one version.
struct ConfigDocument {
  std::uint64_t Version = 0;
  std::uint64_t BaseVersion = 0;
  std::string ChangeId;
  std::string Operator;
  std::string Reason;
  ConfigDefaults Defaults;
  std::map<ServiceName, ServiceConfig> Services;
  std::vector<ConfigException> Exceptions;

  friend bool operator==(const ConfigDocument &,
                         const ConfigDocument &) = default;
};

//! Parses and validates a configuration.
//! \returns the document, or an Error of kind InvalidConfiguration that names
//! the key, its value and the accepted values. Unknown keys are errors.
boost::leaf::result<ConfigDocument> parseConfigDocument(std::string_view Json);

//! Returns the canonical JSON text of a document; parsing it returns an equal
//! document.
std::string toJson(const ConfigDocument &Document);

} // namespace masticgap
