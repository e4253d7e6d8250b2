#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/names.hpp"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::entry {

//! Limits on size, number and duration of requests that protect an entry host.
struct EntryLimits {
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  //! Larger request bodies are refused.
  std::uint64_t MaxBodyBytes = 64 * 1024 * 1024;
  //! Bodies up to this size are buffered in memory and can be sent again.
  std::uint64_t BufferedBodyBytes = 256 * 1024;
  //! Minimum rate of a request body in bytes a second, over the time spent
  //! waiting for it and once that time exceeds ReceiveTimeout; 0: none.
  std::uint32_t MinBodyRate = 0;
  std::uint32_t MaxCallers = 8192; //!< Open connections of callers.
  std::uint32_t MaxWaiting = 256;  //!< Queued requests of one service.
  std::chrono::milliseconds ReceiveTimeout{10000};
  std::chrono::milliseconds SendTimeout{10000};
  std::chrono::milliseconds IdleTimeout{60000};
  std::chrono::milliseconds ConnectTimeout{1000};
};

//! Validated settings of one entry host.
struct EntrySettings {
  HostId Host;
  RegionName Region;
  FailureDomainName Domain;
  std::string Address; //!< IP address to bind and to announce.
  std::uint16_t LookupPort = 0;
  std::uint16_t TrafficPort = 0;
  std::uint16_t AdminPort = 0;
  std::uint16_t GossipPort = 0;
  Endpoint Platform;
  std::vector<Endpoint> Seeds; //!< Gossip endpoints of other entry hosts.
  std::uint64_t Seed = 0;      //!< Random seed; 0 draws one at start.
  //! 0 or 1; with 0 the forwarding thread serves look-ups.
  std::uint32_t LookupThreads = 1;
  //! Time during which a planned stop still serves callers that cached a
  //! look-up answer.
  std::chrono::milliseconds DrainGrace{30000};
  //! Time after DrainGrace to finish requests in flight.
  std::chrono::milliseconds DrainLimit{30000};
  std::chrono::milliseconds ProbeInterval{1000}; //!< Period of load queries.
  EntryLimits Limits;
};

//! Parses and checks the JSON text of a settings file.
//! \returns the settings, or an Error of kind InvalidSettings that names the
//! key, its value and the accepted values.
boost::leaf::result<EntrySettings> parseSettings(std::string_view Json);

//! Reads a settings file and parses it as parseSettings() does.
boost::leaf::result<EntrySettings> loadSettings(const std::string &Path);

} // namespace masticgap::entry
