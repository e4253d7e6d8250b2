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

void CrashDetector::connectionLost(const WorkerPick &At, LostRequest Lost,
                                   std::chrono::milliseconds ConnectTimeout) {
  asio::co_spawn(Io, check(At, std::move(Lost), ConnectTimeout),
                 asio::detached);
}

asio::awaitable<void>
CrashDetector::check(WorkerPick At, LostRequest Lost,
                     std::chrono::milliseconds ConnectTimeout) {
  transport::AttemptControl Control;
  transport::WorkerTarget Target{At.Worker.Id, At.Worker.Run, At.Worker.Address,
                                 At.Connections};
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
  Dispatch.recordDeath(At.Worker.Id, Now);
  const std::array<InFlightRequest, 1> Suspects{
      InFlightRequest{Lost.RequestFingerprint, Lost.Sent}};
  const QuarantineAction Action =
      Quarantine.workerDied(At.Worker.Id, At.Worker.Run, Suspects, Now);
  Log.write(LogClass::Decision, "worker_died",
            {{"worker", At.Worker.Id.value()},
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
  for (const Rumor &Each : Rumors) {
    if (const auto *Stopped = std::get_if<RequestQuarantined>(&Each))
      Log.write(LogClass::Decision, "request_quarantined",
                {{"request_hash", Stopped->Request.Value}, {"source", Source}});
    if (const auto *Cleared = std::get_if<RequestCleared>(&Each))
      Log.write(LogClass::Decision, "request_cleared",
                {{"request_hash", Cleared->Request.Value},
                 {"worker", Cleared->Worker.value()},
                 {"source", Source}});
    if (SpreadToHosts)
      SpreadToHosts(Each);
  }
}

} // namespace masticgap::gateway
