#pragma once

#include "ctl/ctl_options.hpp"
#include "masticgap/state/endpoint.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::ctl {

//! Entry host with its admin endpoint.
struct FleetHost {
  //! "ip:port" of the admin port until the host has reported its id.
  std::string Id;
  Endpoint Admin;

  friend bool operator==(const FleetHost &, const FleetHost &) = default;
};

//! Response of one entry host to GET /status.
struct HostStatus {
  FleetHost Host;
  std::uint64_t ConfigVersion = 0;
  bool Draining = false;
  std::string Problem; //!< Why the request failed; empty on success.
};

//! Which live entry hosts have a configuration version in force.
struct RolloutReport {
  std::size_t InForce = 0;
  std::vector<HostStatus> Lacking; //!< Hosts without the version.

  //! Returns whether at least one host is known and all have the version.
  bool complete() const { return InForce > 0 && Lacking.empty(); }
};

//! Calls entry hosts on their admin ports.
class FleetAccess {
public:
  //! \param Candidates entry hosts to query for the member list, in this order.
  //! \param Timeout time limit of each request.
  FleetAccess(std::vector<FleetHost> Candidates,
              std::chrono::milliseconds Timeout);

  //! Returns the live entry hosts of the first member list received, or the
  //! candidates if no host returns a list.
  std::vector<FleetHost> liveHosts() const;

  //! Queries all hosts concurrently.
  std::vector<HostStatus> status(const std::vector<FleetHost> &Hosts) const;

  //! Polls the live hosts until all have \p Version or a newer one, or
  //! \p Limit has passed.
  RolloutReport waitUntilInForce(std::uint64_t Version,
                                 std::chrono::milliseconds Limit) const;

  //! Notifies one entry host of a new version.
  //! \returns false if no host accepted the notification.
  bool notify(std::uint64_t Version) const;

  //! Returns the body of the first host that responds to a GET with 200.
  boost::leaf::result<std::string> get(std::string_view Path) const;
  boost::leaf::result<std::string> get(const FleetHost &Host,
                                       std::string_view Path) const;
  boost::leaf::result<void> post(const FleetHost &Host, std::string_view Path,
                                 std::string Body) const;

private:
  std::vector<FleetHost> Candidates;
  std::chrono::milliseconds Timeout;
};

} // namespace masticgap::ctl
