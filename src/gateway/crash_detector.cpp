#include "gateway/crash_detector.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <utility>

// GCC 12 takes the inlined allocation of a coroutine frame for another function
// than the one that Asio frees it with.
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
  auto Got = co_await Connections.acquire(std::move(Target), false,
                                          ConnectTimeout, Control);
  const Instant Now = transport::now();
  if (auto *Open = std::get_if<transport::WorkerConnectionPool::Lease>(&Got)) {
    // The next request can use it.
    Open->keep(Now);
    co_return;
  }
  // A connection that is not answered may also be a cut between the hosts.
  if (std::get<AcquireFailure>(Got) != AcquireFailure::Refused)
    co_return;
  Dispatch.recordDeath(Pick.Worker.Id, Now);
  const std::array<InFlightRequest, 1> Suspects{
      InFlightRequest{Lost.RequestFingerprint, Lost.Sent}};
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

void CrashDetector::learned(const Rumor &What, Instant Now) {
  spread(Quarantine.learned(What, Now), "peer");
}

void CrashDetector::spread(std::span<const Rumor> Rumors,
                           const std::string &Source) {
  for (const Rumor &Each : Rumors) {
    if (const auto *Stopped = std::get_if<RequestQuarantined>(&Each))
      Log.write(LogClass::Decision, "request_quarantined",
                {{"request_hash", Stopped->Request.Value}, {"source", Source}});
    if (const auto *Cleared = std::get_if<RequestCleared>(&Each))
      Log.write(LogClass::Decision, "request_cleared",
                {{"request_hash", Cleared->Request.Value},
                 {"worker", Cleared->Worker.value()},
                 {"source", Source}});
    if (SendRumor)
      SendRumor(Each);
  }
}

} // namespace masticgap::gateway
