#pragma once

#include "gateway/decision_log.hpp"
#include "gateway/metrics.hpp"
#include "masticgap/coordination/crash_quarantine.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/transport/worker_connection_pool.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace masticgap::gateway {

//! A request whose connection to a worker ended before the answer.
struct LostRequest {
  std::string Id;
  std::string Caller; //!< Its address, for the log.
  coordination::Fingerprint RequestFingerprint;
  Instant SentAt;
};

//! Distinguishes a worker that crashed from one that only lost a connection,
//! and quarantines requests that crash workers, on all hosts.
class CrashDetector {
public:
  //! Sends a rumor to all hosts.
  //! \param Urgent whether it is pushed; else gossip carries it.
  using RumorSender =
      std::function<void(const coordination::Rumor &, bool Urgent)>;

  CrashDetector(boost::asio::io_context &Io,
                transport::WorkerConnectionPool &Connections,
                coordination::Dispatcher &Dispatch, DecisionLog &Log,
                Metrics &Stats);

  void setRumorSender(RumorSender Sender) { SendRumor = std::move(Sender); }

  //! Checks whether the worker still accepts connections. If it refuses them,
  //! the request is suspected of having crashed it.
  void connectionLost(const coordination::WorkerPick &Pick, LostRequest Lost,
                      std::chrono::milliseconds ConnectTimeout);
  //! Records that a worker's incarnation has ended without leaving: its
  //! registration was removed or another incarnation uses its id or address.
  //! Requests that it lost shortly before are suspected. A worker that starts
  //! again within milliseconds accepts connections, so this is the only sign.
  //! \param Newest incarnation that is known now; older ones have ended. Unset
  //! if none of them is left.
  void workerEnded(const WorkerId &Worker, std::optional<Incarnation> Newest,
                   Instant Now);
  //! Applies a suspicion or a quarantine that another host reported.
  void onRumor(const coordination::Rumor &What, Instant Now);
  //! Records that a worker answered the request, which clears the suspicion.
  void recordSuccess(coordination::Fingerprint RequestFingerprint,
                     Instant Now) {
    spread(Quarantine.recordSuccess(RequestFingerprint, Now), OwnSource);
  }
  //! Returns whether the request crashed workers and must no longer be sent.
  bool isQuarantined(coordination::Fingerprint RequestFingerprint,
                     Instant Now) const {
    return Quarantine.isQuarantined(RequestFingerprint, Now);
  }
  //! Returns whether a quarantined request is to be sent as a trial; see
  //! CrashQuarantine::takeTrial().
  bool takeTrial(coordination::Fingerprint RequestFingerprint, Instant Now);
  //! Returns whether takeTrial() would permit to send the request.
  bool isTrialDue(coordination::Fingerprint RequestFingerprint,
                  Instant Now) const {
    return Dispatch.isTrialHostOf(RequestFingerprint) &&
           Quarantine.isTrialDue(RequestFingerprint, Now);
  }
  //! Returns the time until the next trial of a quarantined request.
  Duration untilTrial(coordination::Fingerprint RequestFingerprint,
                      Instant Now) const {
    return Quarantine.untilTrial(RequestFingerprint, Now);
  }

private:
  //! Request that was lost while its worker still accepts connections.
  struct UnexplainedLoss {
    WorkerId Worker;
    Incarnation Run;
    LostRequest Lost;
    Instant At;
  };

  void recordDeath(const WorkerId &Worker, Incarnation Run,
                   const LostRequest &Lost, std::string_view Sign, Instant Now);
  boost::asio::awaitable<void>
  checkWorker(coordination::WorkerPick Pick, LostRequest Lost,
              std::chrono::milliseconds ConnectTimeout);
  //! Source of what this host has seen itself.
  static constexpr std::string_view OwnSource = "own";

  //! Logs rumors and sends them to all hosts.
  //! \param Source OwnSource or "peer".
  void spread(std::span<const coordination::Rumor> Rumors,
              std::string_view Source);

  boost::asio::io_context &Io;
  transport::WorkerConnectionPool &Connections;
  coordination::Dispatcher &Dispatch;
  DecisionLog &Log;
  Metrics &Stats;
  coordination::CrashQuarantine Quarantine;
  std::deque<UnexplainedLoss> Unexplained; //!< Oldest first.
  RumorSender SendRumor;
};

} // namespace masticgap::gateway
