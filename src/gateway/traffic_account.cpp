#include "gateway/traffic_account.hpp"

#include <utility>

namespace masticgap::gateway {

namespace {

const char *toString(NetworkPart Part) {
  switch (Part) {
  case NetworkPart::Domain:
    return "domain";
  case NetworkPart::Region:
    return "region";
  case NetworkPart::BetweenRegions:
    return "between_regions";
  case NetworkPart::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

TrafficAccount::TrafficAccount(Metrics &Stats, FailureDomainName Domain,
                               RegionName Region)
    : Stats(Stats), Domain(std::move(Domain)), Region(std::move(Region)) {}

NetworkPart TrafficAccount::part(const FailureDomainName &OtherDomain,
                                 const RegionName &OtherRegion) const {
  if (OtherRegion != Region)
    return NetworkPart::BetweenRegions;
  return OtherDomain == Domain ? NetworkPart::Domain : NetworkPart::Region;
}

void TrafficAccount::setPeers(
    std::span<const coordination::MemberRecord> Members) {
  Peers.clear();
  for (const coordination::MemberRecord &Member : Members)
    Peers[Member.Host.Address] = part(Member.Host.Domain, Member.Host.Region);
}

void TrafficAccount::countPeer(std::string_view Kind,
                               const std::string &Address, std::size_t Bytes) {
  const auto PeerIt = Peers.find(Address);
  count(Kind, PeerIt == Peers.end() ? NetworkPart::Unknown : PeerIt->second,
        Bytes);
}

void TrafficAccount::countWorker(const WorkerDescriptor &Worker,
                                 std::size_t Bytes) {
  count("requests", part(Worker.Domain, Worker.Region), Bytes);
}

void TrafficAccount::count(std::string_view Kind, NetworkPart Part,
                           std::size_t Bytes) {
  Stats.count("network_bytes", std::string(Kind) + "_" + toString(Part), Bytes);
}

} // namespace masticgap::gateway
