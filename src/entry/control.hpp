#pragma once

#include "entry/control_config.hpp"
#include "entry/control_host_list.hpp"
#include "entry/control_links.hpp"
#include "entry/control_messages.hpp"
#include "entry/control_probes.hpp"
#include "entry/settings.hpp"
#include "entry/steering_snapshot.hpp"
#include "masticgap/coordination/event_log.hpp"
#include "masticgap/coordination/hybrid_clock.hpp"
#include "masticgap/coordination/version_announcer.hpp"
#include "masticgap/transport/gossip_node.hpp"
#include "masticgap/transport/platform_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace masticgap::entry {

//! Messages of the control thread to the other threads. Each function posts and
//! returns immediately.
struct ControlOutputs {
  std::function<void(SnapshotPtr)> Publish;
  std::function<void(ServiceName, WorkerId, coordination::LoadReport)>
      LoadReported;
  std::function<void(coordination::Rumor)> RumorReceived;
  std::function<void(coordination::LinkGrant)> Granted;
  std::function<void(coordination::LinkCapSeen)> CapSeen;
  //! Another process runs with the id of this host; this one must stop.
  std::function<void()> Superseded;
};

//! Construction parameters of Control.
struct ControlContext {
  boost::asio::io_context &Io;
  const EntrySettings &Settings;
  EntryHostDescriptor Self; //!< Contains the bound ports.
  Instant Start;            //!< Start of at-most-once epoch 0.
  std::function<Instant()> Clock;
  std::uint64_t Seed = 0;
  ControlOutputs Out;
};

//! Manages membership, configuration, link grants, host list and worker probes,
//! and publishes the snapshots. Runs on the control thread.
class Control {
public:
  explicit Control(ControlContext Parameters);
  ~Control();

  //! Starts gossip and polling.
  //! \returns an Error when the gossip port cannot be bound.
  boost::leaf::result<void> start();

  //! Withdraws this host from the look-up answers; requests are still served.
  void setDraining();
  //! Announces to the peers that this host leaves, and stops all timers.
  void stop();

  //! Handle messages of the forwarding thread; called on the control thread.
  void spread(const coordination::Rumor &NewRumor, std::function<void()> Done);
  void addEvents(std::vector<TrafficEvent> Events);
  void addDemand(const std::vector<coordination::LinkDemand> &Demand);

  //! Handles the notification of an operator's tool about a configuration
  //! version.
  void configNotified(std::uint64_t Version);

  const SteeringSnapshot &snapshot() const { return *CurrentSnapshot; }
  const coordination::ConfigFollower &follower() const;
  const coordination::EventLog &events() const { return Log; }
  const transport::GossipNode *gossip() const { return Gossip.get(); }
  bool isDraining() const { return Draining; }
  //! Returns the newest host list, or std::nullopt until the first arrives.
  const std::optional<protocol::HostList> &hostList() const {
    return NewestHostList;
  }
  Instant now() const { return Context.Clock(); }

private:
  transport::GossipCallbacks callbacks();
  void onHostList(protocol::HostList List);
  std::optional<Endpoint> randomPeer();
  void onLoad(const WorkerDescriptor &Worker, const WorkerLoad &Load);
  void onConfig(const std::shared_ptr<const ConfigDocument> &Document);
  void onMemberChanged(const coordination::MemberRecord &Changed);
  void onRumor(const coordination::Rumor &NewRumor);
  void recordLeavingWorker(const WorkerDescriptor &Worker);
  void publishSoon();
  void publish();
  void updateProgress();
  void armProgress();

  ControlContext Context;
  coordination::HybridClock EventClock;
  coordination::EventLog Log;
  transport::PlatformClient Platform;
  HostListPoller Hosts;
  WorkerProber Probes;
  ConfigRunner Config;
  LinkGrantRunner Links;
  std::unique_ptr<transport::GossipNode> Gossip;
  boost::asio::steady_timer ProgressTimer;
  boost::asio::steady_timer PublishTimer;
  std::optional<protocol::HostList> NewestHostList;
  SnapshotPtr CurrentSnapshot;
  std::set<std::pair<WorkerId, Incarnation>> LeavingWorkers;
  coordination::VersionAnnouncer Announcer;
  std::mt19937_64 Random;
  bool Draining = false;
  bool Stopped = false;
  bool PublishPending = false;
};

} // namespace masticgap::entry
