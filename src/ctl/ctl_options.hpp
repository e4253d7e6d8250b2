#pragma once

#include "masticgap/state/endpoint.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::ctl {

//! Command line options of masticgap-ctl.
struct CtlOptions {
  std::optional<Endpoint> Platform;
  //! Admin ports of entry hosts; if empty, those of the platform's host list.
  std::vector<Endpoint> AdminEndpoints;
  //! Metrics port of a gateway, for explain and accounts.
  std::optional<Endpoint> Gateway;
  std::string HostName; //!< Host of the request to explain.
  std::string Path;
  std::string Method;
  std::string Account;
  std::string Object;
  std::string Operator;
  std::string Reason;
  std::string Expires; //!< Value of --expires; empty: never.
  std::string Id;      //!< Id of a new exception; empty: KIND-SUBJECT.
  std::string Service; //!< Service of a new exception; empty: all.
  std::optional<double> Value;
  std::optional<std::uint64_t> BaseVersion;
  bool Json = false;
  bool NoWait = false;
  //! Bases the change on the store's version without querying entry hosts.
  bool StoreOnly = false;
  std::chrono::milliseconds WaitLimit{20'000};
  std::chrono::milliseconds CallTimeout{2'000};
};

//! Clock, random source and output streams, which tests replace.
struct CtlEnvironment {
  std::function<std::uint64_t()> UnixMs;
  std::function<std::uint32_t()> Random;
  std::ostream &Out;
  std::ostream &Err;
};

//! Parses "ip:port" (IPv6 in brackets).
//! \param Option option name for the error message.
boost::leaf::result<Endpoint> parseEndpoint(std::string_view Option,
                                            std::string_view Text);

//! Parses a comma-separated list of "ip:port".
boost::leaf::result<std::vector<Endpoint>>
parseEndpoints(std::string_view Option, std::string_view Text);

//! Parses a duration from now ("90m", "2h", "3d") or Unix milliseconds.
//! \returns Unix milliseconds.
boost::leaf::result<std::uint64_t> parseExpires(std::string_view Text,
                                                std::uint64_t NowUnixMs);

//! Parses an unsigned integer argument.
//! \param Name argument name for the error message.
boost::leaf::result<std::uint64_t> parseNumber(std::string_view Name,
                                               std::string_view Text);

//! Formats an endpoint as "ip:port", with brackets around IPv6 addresses.
std::string toString(const Endpoint &E);

} // namespace masticgap::ctl
