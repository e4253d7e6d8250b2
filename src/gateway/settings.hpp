#pragma once

#include "masticgap/coordination/fleet_budget/fleet_retry_budget.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::gateway {

//! Checked settings of one gateway.
struct GatewaySettings {
  HostId Host;
  RegionName Region;
  FailureDomainName Domain;
  //! Region of each failure domain of the deployment.
  std::map<FailureDomainName, RegionName> DomainRegions;
  Endpoint Traffic;              //!< Requests of callers.
  Endpoint Readiness;            //!< Readiness checks of the platform.
  Endpoint Lookup;               //!< Look-ups of callers.
  std::uint16_t GossipPort = 0;  //!< UDP, at the address of Traffic.
  std::uint16_t PeerPort = 0;    //!< TCP, exchange between gateways.
  std::uint16_t MetricsPort = 0; //!< 0: no metrics.
  std::vector<Endpoint> Seeds;   //!< Any port of other gateways' hosts.
  Endpoint Platform;

  //! Time for which callers keep a look-up answer; short, so that callers
  //! leave a host soon after it failed.
  std::chrono::milliseconds LookupTtl{2000};
  //! Time from the planned stop to the forced end of the process.
  std::chrono::milliseconds GracePeriod{6000};
  //! Part of the grace period in which cached look-up answers are served.
  //! Callers that meet a closed port go to another host at once, so this only
  //! covers those that are connecting.
  std::chrono::milliseconds ServeCached{1200};
  //! Time allowed for one new connection to a worker. Above two round trips
  //! between regions, so that a lost packet ends the try, not the request.
  std::chrono::milliseconds ConnectTimeout{300};
  //! Time past a route's timeout in which an answer that is under way is
  //! still delivered.
  std::chrono::milliseconds TimeoutSlack{120};
  //! Round trip between regions, for the comparison of workers.
  std::chrono::milliseconds CrossRegionRoundTrip{40};
  //! Period of membership probes; a host that failed is out of look-up answers
  //! after about five of them.
  std::chrono::milliseconds GossipPeriod{500};
  std::uint32_t MaxCallers = 2048; //!< Connections of callers.
  //! Retries of the whole fleet per service.
  coordination::FleetRetryLimits Retries;
  bool LogRequests = true; //!< A line for each answered request as well.
};

//! Parses and checks the JSON text of a settings file.
//! \returns the settings, or an Error of kind InvalidSettings that names the
//! key, its value and the accepted values.
boost::leaf::result<GatewaySettings> parseSettings(std::string_view Json);

//! Reads and checks a settings file.
boost::leaf::result<GatewaySettings> loadSettings(const std::string &Path);

} // namespace masticgap::gateway
