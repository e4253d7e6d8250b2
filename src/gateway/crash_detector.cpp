#include "gateway/crash_detector.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <utility>

// GCC 12 reports a mismatch between the inlined allocation of a coroutine frame
// and the function that Asio frees it with (false positive).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::gateway {

namespace asio = boost::asio;
using namespace coordination;
using transport::AcquireFailure;

CrashDetector::CrashDetector(asio::io_context &Io,
                             transport::WorkerConnectionPool &Connections,
                             Dispatcher &Dispatch, DecisionLog &Log,
                             Metrics &Stats)
    : Io(Io), Connections(Connections), Dispatch(Dispatch), Log(Log),
      Stats(Stats) {}

void CrashDetector::connectionLost(const WorkerPick &Pick, LostRequest Lost,
                                   std::chrono::milliseconds ConnectTimeout) {
  asio::co_spawn(Io, checkWorker(Pick, std::move(Lost), ConnectTimeout),
                 asio::detached);
}

asio::awaitable<void>
CrashDetector::checkWorker(WorkerPick Pick, LostRequest Lost,
                           std::chrono::milliseconds ConnectTimeout) {
  transport::AttemptControl Control;
  transport::WorkerTarget Target{Pick.Worker.Id, Pick.Worker.Run,
                                 Pick.Worker.Address, Pick.Connections};
  // A request that is not repeatable gets only a connection that is new or
  // recently proved alive.
  auto Acquired = co_await Connections.acquire(
      std::move(Target), /*Repeatable=*/false, ConnectTimeout, Control);
  const Instant Now = transport::now();
  if (auto *Open =
          std::get_if<transport::WorkerConnectionPool::Lease>(&Acquired)) {
    // The worker is alive; keep the connection for the next request.
    Open->keep(Now);
    co_return;
  }
  // Only a refused connection shows that the process is gone. A timeout may
  // also be a network failure between the hosts.
  if (std::get<AcquireFailure>(Acquired) != AcquireFailure::Refused)
    co_return;
  Dispatch.recordDeath(Pick.Worker.Id, Now);
  const std::array<InFlightRequest, 1> Suspects{
      InFlightRequest{Lost.RequestFingerprint, Lost.SentAt}};
  const QuarantineAction Action =
      Quarantine.workerDied(Pick.Worker.Id, Pick.Worker.Run, Suspects, Now);
  Log.write(LogClass::Decision, "worker_died",
            {{"worker", Pick.Worker.Id.value()},
             {"id", Lost.Id},
             {"request_hash", Lost.RequestFingerprint.Value},
             {"quarantined", isQuarantined(Lost.RequestFingerprint, Now)}});
  Stats.count("worker_deaths", "in_flight");
  spread(Action.Spread, "own");
}

void CrashDetector::onRumor(const Rumor &What, Instant Now) {
  spread(Quarantine.onRumor(What, Now), "peer");
}

void CrashDetector::spread(std::span<const Rumor> Rumors,
                           const std::string &Source) {
  for (const Rumor &Message : Rumors) {
    if (const auto *Quarantined = std::get_if<RequestQuarantined>(&Message))
      Log.write(
          LogClass::Decision, "request_quarantined",
          {{"request_hash", Quarantined->Request.Value}, {"source", Source}});
    if (const auto *Cleared = std::get_if<RequestCleared>(&Message))
      Log.write(LogClass::Decision, "request_cleared",
                {{"request_hash", Cleared->Request.Value},
                 {"worker", Cleared->Worker.value()},
                 {"source", Source}});
    if (SendRumor)
      SendRumor(Message);
  }
}

} // namespace masticgap::gateway
