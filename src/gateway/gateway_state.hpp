#pragma once

#include "entry/settings.hpp"
#include "gateway/crash_detector.hpp"
#include "gateway/decision_log.hpp"
#include "gateway/metrics.hpp"
#include "gateway/platform_api.hpp"
#include "gateway/settings.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/coordination/traffic_split/split_schedule.hpp"
#include "masticgap/transport/worker_connection_pool.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <random>

namespace masticgap::gateway {

//! What the parts of one gateway share. One thread owns it.
class GatewayState {
public:
  GatewayState(boost::asio::io_context &Io, const GatewaySettings &Settings,
               const WireFormat &Wire, std::uint64_t Seed);

  Instant now() const;
  std::uint64_t configVersion() const { return Config ? Config->Version : 0; }
  //! Puts a configuration in force.
  void adopt(std::shared_ptr<const TrafficConfig> New);

  boost::asio::io_context &Io;
  const GatewaySettings &Settings;
  const WireFormat &Wire;
  //! Limits of connections, as the configuration states them.
  entry::EntryLimits Limits;
  DecisionLog Log;
  Metrics Stats;
  std::mt19937_64 Random;
  std::shared_ptr<const TrafficConfig> Config; //!< Null until the first one.
  coordination::Dispatcher Dispatch;
  coordination::SplitSchedule Splits;
  transport::WorkerConnectionPool Connections;
  CrashDetector Crashes;
  //! Requests being served. Shared, because the io_context destroys requests
  //! that are left at the end after this object.
  std::shared_ptr<unsigned> InFlight = std::make_shared<unsigned>(0);
  //! End of a planned stop: every request is answered before it.
  std::optional<Instant> StopAt;
};

} // namespace masticgap::gateway
