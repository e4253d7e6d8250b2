#pragma once

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

#include <functional>
#include <memory>
#include <string>

namespace masticgap::gateway {

//! One gateway: its ports, its membership, and the planned stop. Everything
//! runs on the thread that runs the io_context.
class GatewayDaemon {
public:
  //! Reads the settings again; an Error leaves the old ones in force.
  using SettingsLoader = std::function<boost::leaf::result<GatewaySettings>()>;

  GatewayDaemon(boost::asio::io_context &Io, GatewaySettings Settings,
                PlatformApi Port, SettingsLoader Reload);
  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon &) = delete;
  GatewayDaemon &operator=(const GatewayDaemon &) = delete;

  //! Binds all ports and starts to follow the store.
  //! \returns an Error of kind Unavailable when a port cannot be bound.
  boost::leaf::result<void> start();
  //! Starts the planned stop; the io_context runs out of work at its end.
  void requestStop();
  //! Reads the settings again.
  void reload();

private:
  struct Ports;

  boost::leaf::result<void> startGossip();
  EntryHostDescriptor descriptor() const;
  void onMembersChanged(const coordination::MemberRecord &Changed);
  void updateHosts();
  void announceProgress();
  void catchUpWithPeers();
  //! Finds other hosts through the store when gossip alone does not.
  void joinByStore();
  void armTick();
  void tick();
  transport::HttpResponse answerLookup(const transport::HttpRequest &Request);
  transport::HttpResponse
  answerReadiness(const transport::HttpRequest &Request) const;
  transport::HttpResponse
  answerMetrics(const transport::HttpRequest &Request) const;
  bool isReady() const;
  void finishRequests();
  void end();

  boost::asio::io_context &Io;
  GatewaySettings Settings;
  PlatformApi Port;
  SettingsLoader Reload;
  std::uint64_t Seed;
  Incarnation Run;
  Instant Started;
  Instant NextJoin;
  GatewayState State;
  StoreSync Sync;
  std::unique_ptr<Ports> Servers;
  std::unique_ptr<coordination::HybridClock> Hybrid;
  std::unique_ptr<transport::GossipNode> Gossip;
  boost::asio::steady_timer TickTimer;
  boost::asio::steady_timer StopTimer;
  bool Stopping = false;
  bool Ended = false;
  bool Announced = false;
};

} // namespace masticgap::gateway
