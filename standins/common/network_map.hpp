#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace masticgap::standins {

//! Region and failure domain of the processes whose addresses share a prefix.
struct Place {
  std::string Prefix; //!< For example "127.11.1.".
  RegionName Region;
  FailureDomainName Domain; //!< Empty for callers.
};

//! Places and latencies of a deployment that runs on loopback addresses.
//! The stand-in that answers adds the latency, one round trip per request.
class NetworkMap {
public:
  NetworkMap() = default;

  //! Reads {"places":[{"prefix","region","domain"}],"one_way_ms":{"domain",
  //! "region","caller"}}.
  //! \throws std::runtime_error if the file cannot be read or parsed.
  static NetworkMap load(const std::string &File);

  //! Returns the place of an address, or null if it is not on the map.
  const Place *find(std::string_view Address) const;

  //! Returns the round-trip time between two places.
  Duration roundTrip(const Place &From, const Place &To) const;

private:
  std::vector<Place> Places;
  Duration BetweenDomains{};
  Duration BetweenRegions{};
  Duration ToCallers{};
};

} // namespace masticgap::standins
