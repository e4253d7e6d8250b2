#pragma once

#include "gateway/control_load.hpp"
#include "gateway/gateway_server.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/peer_exchange.hpp"
#include "gateway/platform_api.hpp"
#include "gateway/settings.hpp"
#include "gateway/store_sync.hpp"
#include "masticgap/coordination/hybrid_clock.hpp"
#include "masticgap/transport/gossip_node.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace masticgap::gateway {

//! One gateway: its listening ports, its membership in the fleet and its
//! planned stop. All work runs on the thread that runs the io_context.
class GatewayDaemon {
public:
  //! Loads the settings again. On an Error the previous settings stay in force.
  using SettingsLoader = std::function<boost::leaf::result<GatewaySettings>()>;

  GatewayDaemon(boost::asio::io_context &Io, GatewaySettings Settings,
                PlatformApi Platform, SettingsLoader LoadSettings);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  //! Binds all ports, joins gossip and starts to follow the store.
  //! \returns an Error of kind Unavailable when a port cannot be bound.
  boost::leaf::result<void> start();
  //! Starts the planned stop, at the end of which the io_context is stopped.
  void requestStop();
  //! Loads the settings again. Settings that are read at the start only, such
  //! as addresses, ports and the limits of callers and retries, take effect at
  //! the next start.
  void reload();

private:
  struct Listeners;

  boost::leaf::result<void> startGossip();
  EntryHostDescriptor descriptor() const;
  void onMembersChanged(const coordination::MemberRecord &Changed);
  void updateHosts();
  void announceProgress();
  //! Handles a rise of the store's era.
  void onStoreEra(coordination::StoreEra Era);
  //! Returns the newest era that the store or a peer stated.
  coordination::StoreEra storeEra() const {
    return std::max(NewestStoreEra, Sync.progress().Operator.Era);
  }
  void catchUpWithPeers();
  //! Discovers other hosts through the store when the gossip seeds find none.
  void joinByStore();
  void scheduleTick();
  void tick();
  transport::HttpResponse answerLookup(const transport::HttpRequest &Request);
  transport::HttpResponse
  answerReadiness(const transport::HttpRequest &Request) const;
  //! Answers the calls at the metrics port.
  transport::HttpResponse
  answerMetrics(const transport::HttpRequest &Request) const;
  bool isReady() const;
  //! Second phase of the planned stop: stops accepting and waits for the
  //! requests in progress.
  void finishRequests();
  //! Last phase of the planned stop: leaves gossip and stops the io_context.
  void end();

  boost::asio::io_context &Io;
  GatewaySettings Settings;
  PlatformApi Platform;
  SettingsLoader LoadSettings;
  std::uint64_t RandomSeed;
  Incarnation LocalIncarnation;
  Instant StartedAt;
  Instant NextJoinAt;
  GatewayState State;
  StoreSync Sync;
  std::unique_ptr<Listeners> Servers;
  std::unique_ptr<coordination::HybridClock> Clock;
  std::unique_ptr<transport::GossipNode> Gossip;
  ControlLoad Load;
  boost::asio::steady_timer TickTimer;
  Instant TickDue;
  boost::asio::steady_timer StopTimer;
  bool Stopping = false;
  bool Ended = false;
  //! Newest era of the store when this host's row was written last. The row is
  //! lost if the store was restored since.
  std::optional<coordination::StoreEra> AnnouncedEra;
  coordination::StoreEra NewestStoreEra = 0; //!< Of the store's answers.
};

} // namespace masticgap::gateway
