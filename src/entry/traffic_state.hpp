#pragma once

#include "entry/at_most_once_gate.hpp"
#include "entry/control_messages.hpp"
#include "entry/service_state.hpp"
#include "entry/settings.hpp"
#include "entry/steering_snapshot.hpp"
#include "entry/traffic_metrics.hpp"
#include "masticgap/coordination/crash_quarantine.hpp"
#include "masticgap/coordination/link_budget.hpp"
#include "masticgap/coordination/link_grant.hpp"
#include "masticgap/coordination/placement.hpp"
#include "masticgap/transport/worker_connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::entry {

//! Construction parameters of TrafficState.
struct TrafficContext {
  boost::asio::io_context &Io;
  const EntrySettings &Settings;
  coordination::EntryHostRun Self;
  Instant Start; //!< Start of at-most-once epoch 0.
  std::function<Instant()> Clock;
  StoreRunner RunStore;
  ControlMessages Control;
  std::uint64_t Seed = 0;
};

//! State from which the forwarding thread makes its decisions. Used by that
//! thread only.
class TrafficState {
public:
  explicit TrafficState(TrafficContext Parameters);
  ~TrafficState();

  //! Applies a new snapshot of the control thread.
  void publish(SnapshotPtr NewSnapshot);
  //! Records a load report that the control thread received from a worker.
  void recordLoad(const ServiceName &Service, const WorkerId &Worker,
                  coordination::LoadReport Load);
  //! Handles a rumor of another entry host, or of the control thread about a
  //! leaving worker.
  void onRumor(const coordination::Rumor &NewRumor);
  void applyGrant(const coordination::LinkGrant &Grant);
  void applyCap(const coordination::LinkCapSeen &Seen);

  //! Cancels all timers, so that the thread ends after the last request.
  void stop();

  Instant now() const { return Context.Clock(); }
  std::uint64_t configVersion() const;
  //! Returns the state of a service, which is created on first use.
  ServiceState &serviceState(const ServiceName &Service);
  //! Returns the connection target for a worker, with this host's share of its
  //! connections.
  transport::WorkerTarget target(const WorkerDescriptor &Worker) const;

  void record(coordination::EventKind Kind, coordination::EventFields Fields);
  //! Marks the worker's run as leaving and spreads that unless it is known.
  void recordLeavingWorker(const WorkerDescriptor &Worker);
  //! Records the death of a worker with the requests that were in flight there.
  void recordWorkerDeath(const WorkerDescriptor &Worker);
  //! Spreads rumors of the crash quarantine to all entry hosts.
  void spread(const std::vector<coordination::Rumor> &Rumors);
  //! Waits while rumors about a suspected request are being spread.
  boost::asio::awaitable<void>
  awaitSpread(coordination::Fingerprint RequestFingerprint);

  const std::map<ServiceName, std::unique_ptr<ServiceState>> &
  serviceStates() const {
    return ServiceStates;
  }

  using WorkerRun = std::pair<WorkerId, Incarnation>;

  TrafficContext Context;
  SnapshotPtr Snapshot;
  transport::WorkerConnectionPool Connections;
  coordination::Placement RegionPlacement;
  coordination::LinkBudget Links;
  coordination::CrashQuarantine Quarantine;
  AtMostOnceGate AtMostOnce;
  TrafficMetrics Metrics;
  std::mt19937_64 Random;
  std::multimap<WorkerRun, coordination::InFlightRequest> InFlight;

private:
  void applyConfig();
  void updateServiceStates();
  void applyExceptions(const ServiceName &Service, ServiceState &PerService);
  void observeRegions(Instant Now);
  void tick();
  void flushEvents();
  void armTick();

  std::map<ServiceName, std::unique_ptr<ServiceState>> ServiceStates;
  std::vector<TrafficEvent> Events;
  std::vector<boost::asio::steady_timer *> SpreadWaiters;
  boost::asio::steady_timer TickTimer;
  unsigned Ticks = 0;
  bool Stopped = false;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
