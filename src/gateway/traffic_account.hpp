#pragma once

#include "gateway/metrics.hpp"
#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace masticgap::gateway {

//! Part of the network that a message crosses.
enum class NetworkPart { Domain, Region, BetweenRegions, Unknown };

//! Counts the bytes that this host exchanges with peers and workers, by the
//! kind of message and the part of the network that it crosses.
class TrafficAccount {
public:
  TrafficAccount(Metrics &Stats, FailureDomainName Domain, RegionName Region);

  //! Sets the places of the peers.
  void setPeers(std::span<const coordination::MemberRecord> Members);

  //! Counts bytes exchanged with a peer.
  //! \param Kind of message: a fixed word.
  //! \param Address IP address of the peer.
  void countPeer(std::string_view Kind, const std::string &Address,
                 std::size_t Bytes);
  //! Counts bytes of a request and its answer.
  void countWorker(const WorkerDescriptor &Worker, std::size_t Bytes);

private:
  NetworkPart part(const FailureDomainName &OtherDomain,
                   const RegionName &OtherRegion) const;
  void count(std::string_view Kind, NetworkPart Part, std::size_t Bytes);

  Metrics &Stats;
  FailureDomainName Domain;
  RegionName Region;
  std::map<std::string, NetworkPart> Peers; //!< By IP address.
};

} // namespace masticgap::gateway
