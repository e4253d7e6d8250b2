#include "gateway/crash_detector.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <utility>
#include <vector>

// GCC 12 reports a mismatch between the inlined allocation of a coroutine frame
// and the function that Asio frees it with (false positive).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::gateway {

namespace asio = boost::asio;
using namespace coordination;
using transport::AcquireFailure;

namespace {

//! Time after the beginning of a quarantine until one host tries the request.
constexpr std::chrono::seconds FirstTrial{3};
//! Time after a loss within which the end of its worker explains the loss. A
//! registration is written again or removed within three heartbeats.
constexpr std::chrono::seconds ExplanationTime{6};
//! Maximum number of losses without an explanation; the oldest are dropped.
constexpr std::size_t MaxUnexplained = 512;

CrashQuarantine makeQuarantine() {
  QuarantinePolicy Policy;
  // The fingerprint covers the content only, so that many callers share it.
  Policy.CountConcurrentDeaths = false;
  Policy.FirstTrial = FirstTrial;
  return CrashQuarantine(Policy);
}

} // namespace

CrashDetector::CrashDetector(asio::io_context &Io,
                             transport::WorkerConnectionPool &Connections,
                             Dispatcher &Dispatch, DecisionLog &Log,
                             Metrics &Stats)
    : Io(Io), Connections(Connections), Dispatch(Dispatch), Log(Log),
      Stats(Stats), Quarantine(makeQuarantine()) {}

void CrashDetector::connectionLost(const WorkerPick &Pick, LostRequest Lost,
                                   std::chrono::milliseconds ConnectTimeout) {
  asio::co_spawn(Io, checkWorker(Pick, std::move(Lost), ConnectTimeout),
                 asio::detached);
}

asio::awaitable<void>
CrashDetector::checkWorker(WorkerPick Pick, LostRequest Lost,
                           std::chrono::milliseconds ConnectTimeout) {
  transport::AttemptControl Control;
  // The lost connection still counts towards the limit.
  transport::WorkerTarget Target{Pick.Worker.Id, Pick.Worker.Run,
                                 Pick.Worker.Address, Pick.Connections + 1};
  // A request that is not repeatable gets only a connection that is new or
  // recently proved alive.
  auto Acquired = co_await Connections.acquire(
      std::move(Target), /*Repeatable=*/false, ConnectTimeout, Control);
  const Instant Now = transport::now();
  if (auto *Open =
          std::get_if<transport::WorkerConnectionPool::Lease>(&Acquired)) {
    // A process accepts connections: the same one, or one that has started
    // since.
    Open->keep(Now);
    if (Unexplained.size() == MaxUnexplained)
      Unexplained.pop_front();
    Unexplained.push_back(
        {Pick.Worker.Id, Pick.Worker.Run, std::move(Lost), Now});
    const KnownWorker *Known = Dispatch.directory().find(Pick.Worker.Id);
    if (!Known)
      workerEnded(Pick.Worker.Id, std::nullopt, Now);
    else if (Known->Worker.Run > Pick.Worker.Run)
      workerEnded(Pick.Worker.Id, Known->Worker.Run, Now);
    co_return;
  }
  // Only a refused connection shows that the process is gone. A timeout may
  // also be a network failure between the hosts.
  if (std::get<AcquireFailure>(Acquired) != AcquireFailure::Refused)
    co_return;
  Dispatch.recordDeath(Pick.Worker.Id, Now);
  recordDeath(Pick.Worker.Id, Pick.Worker.Run, Lost, "refused", Now);
}

void CrashDetector::recordDeath(const WorkerId &Worker, Incarnation Run,
                                const LostRequest &Lost, std::string_view Sign,
                                Instant Now) {
  const std::array<InFlightRequest, 1> Suspects{
      InFlightRequest{Lost.RequestFingerprint, Lost.SentAt}};
  const QuarantineAction Action =
      Quarantine.workerDied(Worker, Run, Suspects, Now);
  Log.write(LogClass::Decision, "worker_died",
            {{"worker", Worker.value()},
             {"id", Lost.Id},
             {"sign", std::string(Sign)},
             {"request_hash", Lost.RequestFingerprint.Value},
             {"caller", Lost.Caller},
             {"quarantined", isQuarantined(Lost.RequestFingerprint, Now)}});
  Stats.count("worker_deaths", std::string(Sign));
  spread(Action.Spread, OwnSource);
}

void CrashDetector::workerEnded(const WorkerId &Worker,
                                std::optional<Incarnation> Newest,
                                Instant Now) {
  while (!Unexplained.empty() && Now - Unexplained.front().At > ExplanationTime)
    Unexplained.pop_front();
  std::vector<UnexplainedLoss> Explained;
  std::erase_if(Unexplained, [&](const UnexplainedLoss &Loss) {
    const bool Ended = Loss.Worker == Worker && (!Newest || Loss.Run < *Newest);
    if (Ended)
      Explained.push_back(Loss);
    return Ended;
  });
  for (const UnexplainedLoss &Loss : Explained)
    recordDeath(Worker, Loss.Run, Loss.Lost, "replaced", Now);
}

bool CrashDetector::takeTrial(Fingerprint RequestFingerprint, Instant Now) {
  if (!Dispatch.isTrialHostOf(RequestFingerprint) ||
      !Quarantine.takeTrial(RequestFingerprint, Now))
    return false;
  Log.write(LogClass::Decision, "quarantine_trial",
            {{"request_hash", RequestFingerprint.Value}});
  return true;
}

void CrashDetector::onRumor(const Rumor &What, Instant Now) {
  spread(Quarantine.onRumor(What, Now), "peer");
}

void CrashDetector::spread(std::span<const Rumor> Rumors,
                           std::string_view Source) {
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
    // All hosts draw the same conclusion from the rumors of others, so only
    // what this host has seen itself is pushed.
    if (SendRumor)
      SendRumor(Message, Source == OwnSource);
  }
}

} // namespace masticgap::gateway
