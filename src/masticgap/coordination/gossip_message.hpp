#pragma once

#include "masticgap/coordination/hybrid_time.hpp"
#include "masticgap/coordination/member_record.hpp"
#include "masticgap/coordination/rumor.hpp"
#include "masticgap/state/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Maximum size of an encoded message, in bytes. It fits an Ethernet frame
//! through common tunnels, so that datagrams are not fragmented.
inline constexpr std::size_t MaxGossipBytes = 1200;
//! Maximum length of a name in a message, in bytes. It ensures that a message
//! always has space for the records of the sender and the receiver.
inline constexpr std::size_t MaxGossipNameBytes = 64;

//! Requests an Ack from the receiver.
struct Ping {
  std::uint32_t Sequence = 0;
  friend bool operator==(const Ping &, const Ping &) = default;
};

//! Requests that the receiver ping Target and forward its Ack (indirect probe).
struct PingRequest {
  std::uint32_t Sequence = 0;
  HostId Target;
  Endpoint Address;
  friend bool operator==(const PingRequest &, const PingRequest &) = default;
};

//! Acknowledges the Ping or PingRequest with the same sequence number on behalf
//! of Target.
struct Ack {
  std::uint32_t Sequence = 0;
  HostId Target;
  Incarnation Run;
  friend bool operator==(const Ack &, const Ack &) = default;
};

//! Carries an urgent rumor, which is the first one in the message.
struct RumorPush {
  bool Relay = false; //!< The receiver relays it to its failure domain.
  friend bool operator==(const RumorPush &, const RumorPush &) = default;
};

//! Confirms that the sender has the rumor or, with Covered, that all live
//! members of its failure domain have it.
struct RumorAck {
  std::uint64_t Rumor = 0; //!< Result of rumorId().
  bool Covered = false;
  friend bool operator==(const RumorAck &, const RumorAck &) = default;
};

//! Position of a sync, which goes through the live members first and then
//! through the rumors.
struct SyncCursor {
  bool MembersDone = false;
  HostId AfterMember;
  std::uint64_t AfterRumor = 0;
  friend bool operator==(const SyncCursor &, const SyncCursor &) = default;
};

//! Requests the live members and rumors after a position (join and
//! anti-entropy).
struct SyncRequest {
  SyncCursor From;
  friend bool operator==(const SyncRequest &, const SyncRequest &) = default;
};

//! Reply to a SyncRequest. The page content is in the Updates and Rumors of the
//! message.
struct SyncPage {
  SyncCursor From; //!< As in the request.
  SyncCursor Next;
  bool Last = false;
  friend bool operator==(const SyncPage &, const SyncPage &) = default;
};

using GossipBody = std::variant<Ping, PingRequest, Ack, RumorPush, RumorAck,
                                SyncRequest, SyncPage>;

//! Rumor with its remaining lifetime. A relative time works without
//! synchronized clocks.
struct TimedRumor {
  Rumor What;
  std::uint32_t RemainingMs = 0;
  friend bool operator==(const TimedRumor &, const TimedRumor &) = default;
};

//! One datagram between two entry hosts.
struct GossipMessage {
  MemberRecord Sender;
  HybridTime Stamp;
  std::uint64_t MembersDigest = 0; //!< Over the sender's live members.
  std::uint64_t RumorsDigest = 0;  //!< Over the sender's rumors.
  GossipBody Body;
  std::vector<MemberRecord> Updates;
  std::vector<VersionHolders> Versions;
  std::vector<TimedRumor> Rumors;

  friend bool operator==(const GossipMessage &,
                         const GossipMessage &) = default;
};

} // namespace masticgap::coordination
