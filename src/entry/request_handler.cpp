#include "entry/request_handler.hpp"

#include "entry/header_fields.hpp"
#include "entry/worker_probe.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

// GCC 12 reports a false mismatch between the inlined allocation of a coroutine
// frame and its deallocation by Asio.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace coordination;

namespace {

//! Timeout of the probe that distinguishes a dead worker from a broken
//! connection.
constexpr std::chrono::milliseconds DeathProbeTimeout{200};
//! Maximum number of connections to one peer for forwarded requests.
constexpr std::size_t PeerConnections = 64;

Refusal lostAnswer(AttemptEnd End) {
  if (End == AttemptEnd::TimedOut)
    return {http::status::gateway_timeout, "timeout",
            "the worker did not answer before the deadline; send the request "
            "again with the same Idempotency-Key, or with more time",
            Outcome::Unknown};
  return {http::status::bad_gateway, "connection_lost",
          "the worker's answer was lost; send the request again with the same "
          "Idempotency-Key",
          Outcome::Unknown};
}

Refusal notRun(AttemptEnd End) {
  const bool Busy = End == AttemptEnd::RefusedFull;
  return {http::status::service_unavailable, Busy ? "overloaded" : "no_worker",
          Busy ? "the workers that were tried are busy; send the request again "
                 "after Retry-After"
               : "no worker accepted the request; send the request again after "
                 "Retry-After",
          Outcome::NotRun};
}

Refusal quarantined(Outcome ReportedOutcome) {
  return {ReportedOutcome == Outcome::NotRun ? http::status::service_unavailable
                                             : http::status::bad_gateway,
          "quarantined",
          "workers died while they ran this request; it is not dispatched for "
          "10 minutes, ask the operator",
          ReportedOutcome};
}

//! Counts a request as in flight on a worker during the lifetime of the record.
class InFlightRecord {
public:
  InFlightRecord(TrafficState &State, const WorkerDescriptor &Worker,
                 Fingerprint RequestFingerprint)
      : State(State), Place(State.InFlight.emplace(
                          TrafficState::WorkerRun{Worker.Id, Worker.Run},
                          InFlightRequest{RequestFingerprint, State.now()})) {}
  ~InFlightRecord() { State.InFlight.erase(Place); }
  InFlightRecord(const InFlightRecord &) = delete;
  InFlightRecord &operator=(const InFlightRecord &) = delete;

private:
  TrafficState &State;
  std::multimap<TrafficState::WorkerRun, InFlightRequest>::iterator Place;
};

} // namespace

RequestHandler::RequestHandler(TrafficState &State, CallerConnection &Caller,
                               CallerRequest &Request)
    : State(State), Caller(Caller), Request(Request), ReceivedAt(State.now()) {}

EventFields RequestHandler::fields(const WorkerId &Worker) const {
  EventFields Fields;
  Fields.Request = Request.Id;
  Fields.Worker = Worker;
  return Fields;
}

asio::awaitable<void> RequestHandler::serve() {
  State.record(EventKind::RequestReceived, fields());
  const CallerWatch Watch(Caller, [this] { callerGone(); });
  if (Request.Repeatable) {
    RequestResult Result = co_await dispatch();
    co_await answer(std::move(Result));
  } else {
    co_await serveAtMostOnce();
  }
}

void RequestHandler::callerGone() {
  // A request that was sent continues, and its outcome is kept for a caller
  // that sends the key again. One whose body cannot be completed ends.
  const bool KeepsRunning =
      Permission && !State.AtMostOnce.callerGone(Request, *Permission);
  if (KeepsRunning && (!Request.Streamed || Caller.hasWholeBody()))
    return;
  Control.cancel();
}

asio::awaitable<void> RequestHandler::serveAtMostOnce() {
  AtMostOnceDecision Decision =
      co_await State.AtMostOnce.admit(Request, Control);
  if (const auto *Run = std::get_if<DispatchHere>(&Decision)) {
    Permission = *Run;
    RequestResult Result = co_await dispatch();
    State.AtMostOnce.settle(Request, *Permission, Result.ReportedOutcome,
                            std::move(Result.Kept));
    co_await answer(std::move(Result));
  } else if (const auto *Replay = std::get_if<ReplayStored>(&Decision)) {
    co_await replay(*Replay);
  } else if (const auto *Owner = std::get_if<ForwardToOwnerHost>(&Decision)) {
    co_await forwardToOwnerHost(*Owner);
  } else {
    RequestResult Result = refuse(std::get<Refusal>(std::move(Decision)));
    co_await answer(std::move(Result));
  }
}

asio::awaitable<void> RequestHandler::replay(const ReplayStored &Replay) {
  transport::HttpResponse Answer =
      replayAnswer(*Replay.Answer, Request.Head.method());
  Answer.version(Request.Head.version());
  Answer.keep_alive(Caller.keepsAlive());
  setMasticgapFields(Answer, Request.Id, Outcome::Answered,
                     State.configVersion());
  co_await Caller.write(std::move(Answer));
  RequestResult Result;
  recordResult(Result);
}

asio::awaitable<void>
RequestHandler::forwardToOwnerHost(ForwardToOwnerHost Owner) {
  const MemberRecord *Member = State.Snapshot->liveMember(Owner.Host);
  RequestResult Result =
      refuse({http::status::bad_gateway, "owner_gone",
              "the entry host that may run this key is gone; ask the "
              "service whether the request ran",
              Outcome::Unknown});
  if (Member && Member->Host.Run == Owner.Run) {
    AttemptTarget Target{{WorkerId(Owner.Host.value()),
                          Owner.Run,
                          {Member->Host.Address, Member->Host.TrafficPort},
                          PeerConnections},
                         Member->Host.Region,
                         true};
    const AttemptReport Report = co_await forwardOnce(
        State, Caller, Request, std::move(Target), false, Control);
    if (Report.End == AttemptEnd::Answered)
      Result = RequestResult();
    else
      Result = {Outcome::Unknown, lostAnswer(Report.End), std::nullopt,
                Report.AnswerStarted};
  }
  co_await answer(std::move(Result));
}

asio::awaitable<RequestHandler::RequestResult> RequestHandler::dispatch() {
  while (true) {
    RetryOrResult Next = co_await tryWorker();
    if (auto *Result = std::get_if<RequestResult>(&Next))
      co_return std::move(*Result);
    const Retry &NextAttempt = std::get<Retry>(Next);
    State.record(EventKind::RequestRetried, fields());
    State.Metrics.recordRetry();
    Limits.Tried = NextAttempt.ExcludedWorkers;
    Limits.AvoidedDomain = NextAttempt.AvoidedDomain;
    asio::steady_timer Timer(State.Context.Io);
    Timer.expires_after(NextAttempt.Backoff);
    Control.attach(&Timer);
    if (NextAttempt.Backoff > Duration(0))
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    Control.detach();
  }
}

asio::awaitable<RequestHandler::RetryOrResult> RequestHandler::tryWorker() {
  co_await State.awaitSpread(Request.RequestFingerprint);
  if (State.Quarantine.isQuarantined(Request.RequestFingerprint, State.now()))
    co_return refuse(quarantined(outcomeOf(Attempts)));
  Route Chosen = co_await chooseWorker(State, Request, Limits, Control);
  if (auto *Refused = std::get_if<Refusal>(&Chosen)) {
    recordFullRegion();
    if (!Attempts.empty() && outcomeOf(Attempts) != Outcome::NotRun)
      co_return refuse(lostAnswer(Attempts.back().End));
    co_return refuse(std::move(*Refused));
  }
  WorkerDescriptor Worker = std::get<WorkerDescriptor>(std::move(Chosen));
  if (Control.isCancelled())
    co_return refuse(notRun(AttemptEnd::Cancelled));
  if (Permission && !State.AtMostOnce.mayDispatch(Request, *Permission))
    co_return refuse({http::status::bad_gateway, "outcome_unknown",
                      "the claim of the Idempotency-Key is too old to run the "
                      "request",
                      Outcome::Unknown});
  AttemptReport Report = co_await runAttempt(Worker);
  if (Report.LinkFull)
    co_return refuse({http::status::service_unavailable, "link_full",
                      "the link to region \"" + Worker.Region.value() +
                          "\" has no room; send the request again after "
                          "Retry-After",
                      outcomeOf(Attempts)});
  Attempts.push_back({Worker.Id, Worker.Domain, Report.End});
  LastRegion = Worker.Region;
  co_await awaitCrashSpread(Report.End);
  co_return decide(std::move(Report));
}

asio::awaitable<AttemptReport>
RequestHandler::runAttempt(WorkerDescriptor Worker) {
  const Instant Start = State.now();
  State.record(EventKind::RequestDispatched, fields(Worker.Id));
  State.serviceState(Request.Service).Workers.started(Worker.Id);
  State.RegionPlacement.started(Request.Service, Worker.Region, Start);
  const InFlightRecord Flight(State, Worker, Request.RequestFingerprint);
  AttemptTarget Target{State.target(Worker), Worker.Region, false};
  AttemptReport Report =
      co_await forwardOnce(State, Caller, Request, std::move(Target),
                           Permission.has_value(), Control);
  recordAttempt(Worker, Report, State.now() - Start);
  // The death of the worker must be recorded while this request still counts as
  // in flight on it, so that the request is recorded, too.
  const bool Lost = Report.End == AttemptEnd::ConnectionLost ||
                    Report.End == AttemptEnd::Truncated;
  if (Lost && co_await isRunGone(State.Context.Io, Worker, DeathProbeTimeout))
    State.recordWorkerDeath(Worker);
  co_return Report;
}

void RequestHandler::recordAttempt(const WorkerDescriptor &Worker,
                                   const AttemptReport &Report,
                                   Duration Latency) {
  const Instant Now = State.now();
  ServiceState &PerService = State.serviceState(Request.Service);
  // A lack of this host's connections or of link tokens is no failure of the
  // worker.
  const bool LocalShortage = Report.NoConnection || Report.LinkFull;
  const AttemptEnd WorkerEnd =
      LocalShortage ? AttemptEnd::Cancelled : Report.End;
  PerService.Workers.finished(Worker.Id, {WorkerEnd, Latency}, Now);
  State.RegionPlacement.finished(Request.Service, Worker.Region, Now);
  State.Metrics.recordAttempt(WorkerEnd);
  if (Report.Load)
    PerService.Workers.report(Worker.Id, *Report.Load, Now);
  if (Report.End == AttemptEnd::RefusedLeaving)
    State.recordLeavingWorker(Worker);
  if (Report.End == AttemptEnd::Answered) {
    PerService.Retries.recordSuccess(Now);
    State.spread(
        State.Quarantine.recordSuccess(Request.RequestFingerprint, Now));
  }
  PerService.wakeNext();
}

asio::awaitable<void> RequestHandler::awaitCrashSpread(AttemptEnd End) {
  if (End == AttemptEnd::ConnectionLost || End == AttemptEnd::Truncated)
    co_await State.awaitSpread(Request.RequestFingerprint);
}

void RequestHandler::recordFullRegion() {
  if (!Attempts.empty() && Attempts.back().End == AttemptEnd::RefusedFull)
    State.RegionPlacement.refusedFull(Request.Service, LastRegion, State.now());
}

RequestHandler::RetryOrResult RequestHandler::decide(AttemptReport Report) {
  if (Report.End == AttemptEnd::Answered)
    return RequestResult{Outcome::Answered, std::nullopt,
                         std::move(Report.Kept), false};
  // A body that was not buffered in memory cannot be sent again.
  if (Request.Streamed) {
    GiveUp Decision{outcomeOf(Attempts), GiveUpReason::MayHaveRun};
    return giveUp(Decision, Report.AnswerStarted);
  }
  RetryContext Context;
  Context.Repeatable = Request.Repeatable;
  Context.Forwarded = Request.Forwarded;
  Context.AnswerStarted = Report.AnswerStarted;
  Context.RequestDeadline = Request.Deadline;
  Context.Now = State.now();
  Context.Attempts = Attempts;
  const RetryDecision Decision = decideRetry(
      Context, State.serviceState(Request.Service).Retries, State.Random);
  if (const auto *NextAttempt = std::get_if<Retry>(&Decision))
    return *NextAttempt;
  recordFullRegion();
  return giveUp(std::get<GiveUp>(Decision), Report.AnswerStarted);
}

RequestHandler::RequestResult RequestHandler::giveUp(const GiveUp &Decision,
                                                     bool AnswerStarted) const {
  const AttemptEnd Last = Attempts.back().End;
  RequestResult Result;
  Result.ReportedOutcome = Decision.ReportedOutcome;
  Result.Refused = Decision.ReportedOutcome == Outcome::NotRun
                       ? notRun(Last)
                       : lostAnswer(Last);
  Result.PartiallySent = AnswerStarted;
  return Result;
}

RequestHandler::RequestResult RequestHandler::refuse(Refusal Refused) const {
  RequestResult Result;
  Result.ReportedOutcome = Refused.ReportedOutcome;
  Result.Refused = std::move(Refused);
  return Result;
}

asio::awaitable<void> RequestHandler::answer(RequestResult Result) {
  recordResult(Result);
  if (Result.PartiallySent) {
    Caller.abort();
    co_return;
  }
  if (!Result.Refused || Control.isCancelled())
    co_return;
  co_await Caller.write(
      localAnswer(Request, *Result.Refused, State.configVersion()));
}

void RequestHandler::recordResult(const RequestResult &Result) {
  EventKind Kind = EventKind::RequestAnswered;
  if (Result.ReportedOutcome != Outcome::Answered)
    Kind = Result.ReportedOutcome == Outcome::NotRun
               ? EventKind::RequestNotRun
               : EventKind::RequestUnknown;
  State.record(Kind, fields());
  State.Metrics.recordOutcome(Result.ReportedOutcome, State.now() - ReceivedAt);
  if (Result.Refused)
    State.Metrics.recordRefusal(Result.Refused->Kind);
}

} // namespace masticgap::entry
