#pragma once

#include "gateway/decision_log.hpp"
#include "gateway/metrics.hpp"
#include "masticgap/coordination/crash_quarantine.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/transport/worker_connection_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <span>
#include <string>

namespace masticgap::gateway {

//! A request whose connection to a worker ended before the answer.
struct LostRequest {
  std::string Id;
  coordination::Fingerprint RequestFingerprint;
  Instant Sent;
};

//! Tells a worker that died from one that only lost an answer, and keeps
//! requests that crash their workers away from further ones, on all hosts.
class CrashDetector {
public:
  //! Urgent message to all hosts.
  using Spread = std::function<void(const coordination::Rumor &)>;

  CrashDetector(boost::asio::io_context &Io,
                transport::WorkerConnectionPool &Connections,
                coordination::Dispatcher &Dispatch, DecisionLog &Log,
                Metrics &Stats);

  void setSpread(Spread ToHosts) { SpreadToHosts = std::move(ToHosts); }

  //! Checks whether the worker still accepts connections. If it does not, the
  //! request is suspected of having crashed it.
  void connectionLost(const coordination::WorkerPick &At, LostRequest Lost,
                      std::chrono::milliseconds ConnectTimeout);
  //! Another host tells of a suspicion or a quarantine.
  void onRumor(const coordination::Rumor &What, Instant Now);
  //! A worker answered the request.
  void recordSuccess(coordination::Fingerprint RequestFingerprint,
                     Instant Now) {
    spread(Quarantine.recordSuccess(RequestFingerprint, Now), "own");
  }
  //! Whether the request crashed workers and is not sent any more.
  bool isQuarantined(coordination::Fingerprint RequestFingerprint,
                     Instant Now) const {
    return Quarantine.isQuarantined(RequestFingerprint, Now);
  }

private:
  boost::asio::awaitable<void> check(coordination::WorkerPick At,
                                     LostRequest Lost,
                                     std::chrono::milliseconds ConnectTimeout);
  void spread(std::span<const coordination::Rumor> Rumors,
              const std::string &Source);

  boost::asio::io_context &Io;
  transport::WorkerConnectionPool &Connections;
  coordination::Dispatcher &Dispatch;
  DecisionLog &Log;
  Metrics &Stats;
  coordination::CrashQuarantine Quarantine;
  Spread SpreadToHosts;
};

} // namespace masticgap::gateway
