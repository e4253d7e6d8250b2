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

//! Whether the hosts of a region exchange the load that workers report.
enum class LoadExchangeMode {
  Auto, //!< If the workers report a work factor.
  On,
  Off
};

//! Checked settings of one gateway.
struct GatewaySettings {
  HostId Host;
  RegionName Region;
  FailureDomainName Domain;
  //! Region of each failure domain of the deployment.
  std::map<FailureDomainName, RegionName> DomainRegions;
  Endpoint Traffic;              //!< Receives requests of callers.
  Endpoint Readiness;            //!< Readiness checks of the platform.
  Endpoint Lookup;               //!< Look-ups of callers.
  std::uint16_t GossipPort = 0;  //!< UDP, at the address of Traffic.
  std::uint16_t PeerPort = 0;    //!< TCP, exchange between gateways.
  std::uint16_t MetricsPort = 0; //!< 0: no metrics.
  //! Addresses of other gateways. Their ports are ignored; gossip uses
  //! GossipPort.
  std::vector<Endpoint> Seeds;
  Endpoint Platform; //!< The platform's store.

  //! Time for which callers cache a look-up answer. It is short so that callers
  //! leave a failed host quickly.
  std::chrono::milliseconds LookupTtl{2000};
  //! Time from the planned stop to the forced end of the process.
  std::chrono::milliseconds GracePeriod{6000};
  //! Part of the grace period in which callers with a cached look-up answer are
  //! still accepted. Callers that find the port closed try another host at
  //! once, so this only covers those that are connecting.
  std::chrono::milliseconds ServeCached{1200};
  //! Timeout for one new connection to a worker. It exceeds two round trips
  //! between regions, so that a lost packet fails the attempt, not the request.
  std::chrono::milliseconds ConnectTimeout{300};
  //! Time after a route's timeout in which an answer in transit is still
  //! delivered.
  std::chrono::milliseconds TimeoutSlack{120};
  //! Round-trip time between regions, used to compare workers.
  std::chrono::milliseconds CrossRegionRoundTrip{40};
  //! Period of membership probes. A failed host disappears from look-up answers
  //! after about five periods.
  std::chrono::milliseconds GossipPeriod{500};
  std::uint32_t MaxCallers = 2048; //!< Limit of callers' connections.
  //! Memory of the host for this process, in MB. Callers may make it hold a
  //! seventh of this.
  std::uint32_t MemoryMb = 112;
  //! Descriptors of the host for this process.
  std::uint32_t FileDescriptors = 2870;
  //! Minimum rate of a request body in bytes a second; 0: none. A slow body
  //! without a rate is closed only when memory is short.
  std::uint32_t MinBodyRate = 0;
  //! Limits for the retries of the fleet, per service.
  coordination::FleetRetryLimits Retries;
  //! UDP, credit for limited accounts; 0: the port after GossipPort.
  std::uint16_t AccountPort = 0;
  //! Bounds of the requests of a limited account over all hosts: in any window,
  //! (rate x window + burst) x (1 + overage) + slack.
  std::chrono::milliseconds QuotaWindow{5000};
  double QuotaOverage = 0.1;
  double QuotaSlack = 20;    //!< Requests.
  double ProcessorShare = 0; //!< Of a core, for this host; 0: unknown.
  bool LogRequests = true;   //!< Also log answered requests.

  LoadExchangeMode LoadExchange = LoadExchangeMode::Auto;
  //! UDP, load of workers; 0: two ports after GossipPort.
  std::uint16_t LoadPort = 0;
  //! Period at which a host sends new reports of workers to other hosts.
  std::chrono::milliseconds LoadPeriod{250};

  std::uint16_t loadPort() const {
    // The two highest ports have none after them that is not in use.
    constexpr std::uint16_t Highest = 65535;
    return LoadPort != 0               ? LoadPort
           : GossipPort <= Highest - 2 ? GossipPort + 2
                                       : GossipPort - 2;
  }
  std::uint16_t accountPort() const {
    // The highest port has none after it.
    constexpr std::uint16_t Highest = 65535;
    return AccountPort != 0       ? AccountPort
           : GossipPort < Highest ? GossipPort + 1
                                  : GossipPort - 1;
  }
};

//! Parses and checks the JSON text of a settings file.
//! \returns the settings, or an Error of kind InvalidSettings that names the
//! key, its value and the accepted values.
boost::leaf::result<GatewaySettings> parseSettings(std::string_view Json);

//! Reads and checks a settings file.
boost::leaf::result<GatewaySettings> loadSettings(const std::string &Path);

} // namespace masticgap::gateway
