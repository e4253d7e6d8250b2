#pragma once

#include "masticgap/coordination/hybrid_clock.hpp"
#include "masticgap/coordination/membership.hpp"
#include "masticgap/state/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace masticgap::transport {

//! Datagrams and bytes that a GossipNode sent and received.
struct GossipCounters {
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::uint64_t SendErrors = 0;
  std::uint64_t DecodeErrors = 0; //!< Datagrams that were dropped.
  //! Messages by the index of their GossipBody.
  std::array<std::uint64_t, std::variant_size_v<coordination::GossipBody>>
      SentByKind{}, ReceivedByKind{};
};

//! Callbacks that a GossipNode runs on its io_context; each may be empty.
struct GossipCallbacks {
  std::function<void(const coordination::MemberRecord &)> MemberChanged;
  std::function<void(const coordination::MemberRecord &)> MemberProgressed;
  std::function<void(const coordination::TimedRumor &)> RumorLearned;
  std::function<void(const coordination::MemberRecord &)> SelfSuperseded;
  //! A message of another member arrived.
  std::function<void(bool SaysDead)> Received; //!< SaysDead: about this host.
  //! A datagram of some bytes was sent.
  std::function<void(const Endpoint &To, std::size_t Bytes)> Sent;
};

//! Receives the result of GossipNode::spread.
using RumorSettledHandler =
    std::function<void(const coordination::RumorSettled &)>;

//! Construction parameters of a GossipNode.
struct GossipNodeSettings {
  coordination::MembershipSettings Membership;
  std::string BindAddress = "0.0.0.0"; //!< IP address.
  std::uint16_t BindPort = 0;          //!< 0 selects a free port.
  std::size_t SocketBufferBytes = 1 << 20;
  std::function<Instant()> Now; //!< Clock; required.
};

//! Runs Membership over a UDP socket. All calls and callbacks happen on the
//! thread that runs the io_context.
class GossipNode {
public:
  //! Binds the socket and starts to gossip. If the local descriptor has the
  //! gossip port 0, the bound port is announced.
  //! \param Io must outlive the node.
  //! \param Clock must outlive the node.
  //! \returns the node, or an Error of kind InvalidSettings or Unavailable.
  static boost::leaf::result<std::unique_ptr<GossipNode>>
  start(boost::asio::io_context &Io, GossipNodeSettings Settings,
        coordination::HybridClock &Clock, GossipCallbacks Callbacks);
  ~GossipNode();

  //! Adds a rumor that gossip carries, without a spread.
  void share(const coordination::Rumor &What);

  //! Spreads a rumor urgently. \p Done is called once, never inside this call,
  //! at the latest when RumorSpreadTime has passed or the node leaves.
  void spread(const coordination::Rumor &What, RumorSettledHandler Done = {});

  //! Announces that this host accepts no new callers.
  void planLeave();

  //! Announces the end of a planned stop and closes the socket.
  void leave();

  //! Sets this host's configuration version and epoch.
  void setProgress(std::uint64_t ConfigVersion, std::uint64_t Epoch);

  //! Merges records that were read from GET /peer/members.
  void learn(std::vector<coordination::MemberRecord> Records);

  //! Adds gossip endpoints to probe until their hosts are known.
  void addSeeds(std::span<const Endpoint> Seeds);

  //! Returns all known members, see Membership::members.
  std::span<const coordination::MemberRecord> members() const;

  //! Returns the record of this host.
  const coordination::MemberRecord &self() const;

  //! Returns the rumors that have not expired.
  std::vector<coordination::TimedRumor> rumors() const;

  //! Returns the port that the socket is bound to.
  std::uint16_t port() const;

  const GossipCounters &counters() const;

private:
  class Impl;
  explicit GossipNode(std::shared_ptr<Impl> State);
  std::shared_ptr<Impl> State;
};

} // namespace masticgap::transport
