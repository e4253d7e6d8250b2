// One attempt to have a worker serve a request.
#include "gateway/request_flow.hpp"

#include "entry/header_fields.hpp"
#include "masticgap/transport/response_status.hpp"

#include <algorithm>
#include <utility>

// GCC 12 reports a mismatch between the inlined allocation of a coroutine frame
// and the function that Asio frees it with (false positive).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace coordination;
using transport::OutgoingRequest;
using transport::WorkerExchange;

namespace {

//! Answers up to this size are buffered until they are complete, so that the
//! request can be retried after a truncated one. Larger answers are streamed.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
constexpr std::size_t ReadBytes = 16 * 1024;

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

bool hasNoBody(http::verb Method, unsigned Status) {
  return Method == http::verb::head || Status / 100 == 1 || Status == 204 ||
         Status == 304;
}

//! Returns whether a caller treats the status as proof that its request was not
//! executed. Without a refusal of the worker (WorkerDialect::Refusal) this is
//! not known, so such an answer is not forwarded.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

asio::awaitable<transport::RequestPart>
nextPart(entry::CallerConnection *From) {
  return From->readBodyPart();
}

} // namespace

OutgoingRequest RequestFlow::makeOutgoing(const WorkerPick &Pick) const {
  OutgoingRequest Message;
  Message.Head = Request.Head;
  http::request_header<> &Head = Message.Head;
  const bool HadBody = Head.count(http::field::content_length) > 0 ||
                       Head.count(http::field::transfer_encoding) > 0;
  entry::removeHopByHop(Head);
  Head.erase(http::field::expect);
  Head.version(11);
  // The Connection field could have listed these fields for removal.
  Head.set(http::field::host, Request.Head[http::field::host]);
  if (Config->Accounts) {
    Head.erase(http::field::authorization);
    Head.erase(State.Wire.AccountField);
    if (CallerAccount)
      Head.set(State.Wire.AccountField, CallerAccount->Name.value());
  }
  if (!Id.empty())
    Head.set(State.Wire.RequestIdField, Id);
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - State.now());
  Head.set(State.Wire.DeadlineField,
           std::to_string(std::max<std::int64_t>(1, TimeLeft.count())));
  Head.set(State.Wire.ExpectedWorkerField, Pick.Worker.Id.value());
  if (!Request.Streamed && HadBody)
    Head.set(http::field::content_length, std::to_string(Request.Body.size()));
  else if (Request.Streamed && Head.count(http::field::content_length) == 0)
    Head.set(http::field::transfer_encoding, "chunked");
  Message.Body = Request.Body;
  if (Request.Streamed)
    Message.More = [From = &Caller] { return nextPart(From); };
  return Message;
}

asio::awaitable<RequestFlow::AttemptOutcome>
RequestFlow::attempt(const WorkerPick &Pick) {
  const Instant SentAt = State.now();
  Tried.push_back(Pick.Worker.Id);
  LastPick = Pick;
  State.Dispatch.recordSent(Pick, SentAt);
  const OutgoingRequest Message = makeOutgoing(Pick);
  WorkerExchange Exchange(State.Connections, [this] { return State.now(); },
                          {.Repeatable = MatchedRoute->Idempotent,
                           .Deadline = Deadline + State.Settings.TimeoutSlack,
                           .ConnectTimeout = State.Settings.ConnectTimeout,
                           .ReadUnit = ReadBytes,
                           .Dialect = &State.Wire.Workers});
  // GCC 12 destroys a braced temporary within a co_await expression twice.
  transport::WorkerTarget Target{Pick.Worker.Id, Pick.Worker.Run,
                                 Pick.Worker.Address, Pick.Connections};
  const auto StartFailure =
      co_await Exchange.start(std::move(Target), Message, Control);
  const bool RequestSent = Exchange.bytesSent() > 0;
  if (RequestSent)
    ++WorkersReached;
  if (Exchange.announcedLeaving())
    recordLeaving(Pick.Worker);
  if (StartFailure) {
    countBytes(Exchange, Pick);
    if (*StartFailure == AttemptEnd::Truncated &&
        !transport::isFinalStatus(Exchange.head().result_int()))
      State.Log.write(LogClass::Decision, "invalid_status",
                      {{"id", Id},
                       {"worker", Pick.Worker.Id.value()},
                       {"status", Exchange.head().result_int()}});
    // The own limit of connections says nothing against the worker.
    const bool Reachable = Exchange.connected() || Exchange.limitReached();
    co_return afterFailure({*StartFailure, Reachable, RequestSent}, Pick,
                           SentAt);
  }
  AttemptOutcome Next = co_await receive(Exchange, Pick, SentAt);
  countBytes(Exchange, Pick);
  co_return Next;
}

void RequestFlow::recordHarmless(unsigned Status) {
  // A worker also answers 500 or 504 to a request that it did not finish, so
  // only other answers show that the request does not crash workers.
  if (Status < 500)
    State.Crashes.recordSuccess(RequestFingerprint, State.now());
}

void RequestFlow::recordLeaving(const WorkerDescriptor &Worker) {
  if (!State.Dispatch.directory().recordLeaving(Worker.Id, Worker.Run))
    return;
  State.Stats.count("workers_leaving", "answer");
  State.Log.write(LogClass::Decision, "worker_leaving",
                  {{"worker", Worker.Id.value()},
                   {"run", Worker.Run.Value},
                   {"source", "answer"}});
}

void RequestFlow::countBytes(const WorkerExchange &Exchange,
                             const WorkerPick &Pick) {
  State.Network.countWorker(Pick.Worker,
                            Exchange.bytesSent() + Exchange.bytesReceived());
}

asio::awaitable<RequestFlow::AttemptOutcome>
RequestFlow::receive(WorkerExchange &Exchange, const WorkerPick &Pick,
                     Instant SentAt) {
  if (const auto Load =
          State.Wire.ParseLoad(view(Exchange.head()[State.Wire.LoadField]))) {
    State.Dispatch.recordLoad(Pick.Worker.Id, *Load, State.now());
    State.Loads.recordOwn(Pick.Worker.Id, *Load);
  }
  // Not buffered: an answer that must not be forwarded is handled like a
  // truncated one. The request may have been executed.
  if (!isUsable(Exchange.head()))
    co_return afterFailure({AttemptEnd::Truncated}, Pick, SentAt);
  BufferedAnswer Answer{
      Exchange.head(), {}, BufferReservation(State.Buffers), false};
  const auto Failed = co_await bufferAnswer(Exchange, Answer);
  if (Failed)
    co_return afterFailure({*Failed}, Pick, SentAt);
  if (Answer.Complete)
    co_return co_await deliverOrRetry(std::move(Answer), Pick, SentAt);
  AttemptOutcome Next = co_await streamAnswer(Exchange, Answer);
  if (std::holds_alternative<Delivered>(Next))
    recordHarmless(Answer.Head.result_int());
  State.Dispatch.recordResult(Pick,
                              std::holds_alternative<Delivered>(Next)
                                  ? WorkerVerdict::Answered
                                  : WorkerVerdict::Broken,
                              State.now() - SentAt, State.now());
  co_return Next;
}

asio::awaitable<std::optional<AttemptEnd>>
RequestFlow::bufferAnswer(WorkerExchange &Exchange, BufferedAnswer &Answer) {
  std::string &Body = Answer.Body;
  while (!Exchange.isDone() && Body.size() < MaxBufferedBytes) {
    const std::size_t Before = Body.size();
    if (!extendBuffer(Body, ReadBytes, Answer.Memory)) {
      State.Stats.count("buffers", "answer_streamed");
      break;
    }
    const std::size_t Received = co_await Exchange.readSome(
        std::span<char>(Body).subspan(Before), Control);
    Body.resize(Before + Received);
    if (Received == 0 && !Exchange.isDone())
      co_return Exchange.failure();
  }
  Answer.Complete = Exchange.isDone();
  co_return std::nullopt;
}

asio::awaitable<RequestFlow::AttemptOutcome>
RequestFlow::streamAnswer(WorkerExchange &Exchange, BufferedAnswer &Beginning) {
  http::response_header<> Head = Beginning.Head;
  entry::removeHopByHop(Head);
  Head.version(Request.Head.version());
  const auto Length = Exchange.contentLength();
  if (!Length && Head.version() >= 11)
    Head.set(http::field::transfer_encoding, "chunked");
  if (!Caller.keepsAlive() || (!Length && Head.version() < 11))
    Head.set(http::field::connection, "close");
  bool Writing = co_await Caller.writeHead(std::move(Head));
  if (Writing)
    Writing = co_await Caller.writePart(Beginning.Body, false);
  Beginning.Body = std::string();
  Beginning.Memory.release();
  std::string Part(ReadBytes, '\0');
  while (Writing && !Exchange.isDone()) {
    const std::size_t Received = co_await Exchange.readSome(Part, Control);
    const bool Last = Exchange.isDone();
    if (Received == 0 && !Last)
      co_return CutOff{};
    Writing = co_await Caller.writePart(std::span(Part).first(Received), Last);
  }
  if (!Writing)
    co_return Abandoned{};
  co_return Delivered{Beginning.Head.result_int()};
}

bool RequestFlow::isUsable(const http::response_header<> &Head) const {
  // Only an answer from a worker carries the signature, which is required for
  // 2xx answers only. Callers request bodies without a content encoding, so an
  // encoded body is not accepted either.
  const bool Success = Head.result_int() / 100 == 2;
  const bool Signed = Head.count(State.Wire.SignatureField) > 0;
  const bool Encoded = Head.count(http::field::content_encoding) > 0;
  return (Signed || !Success) && !Encoded && !promisesNotRun(Head.result_int());
}

asio::awaitable<RequestFlow::AttemptOutcome>
RequestFlow::deliverOrRetry(BufferedAnswer Answer, const WorkerPick &Pick,
                            Instant SentAt) {
  const unsigned Status = Answer.Head.result_int();
  const Instant Now = State.now();
  const bool Failed = Status >= 500;
  recordHarmless(Status);
  State.Dispatch.recordResult(
      Pick, Failed ? WorkerVerdict::Failed : WorkerVerdict::Answered,
      Now - SentAt, Now);
  State.Stats.observe(Stage::Worker, MatchedRoute->Name, Now - SentAt);
  if (Failed) {
    MayHaveRun = true;
    logAttempt(Pick, "worker_failure", SentAt);
    if (MatchedRoute->Idempotent && claimRetry(true))
      co_return Retry{};
  }
  transport::HttpResponse Complete;
  Complete.base() = std::move(Answer.Head);
  entry::removeHopByHop(Complete);
  Complete.version(Request.Head.version());
  Complete.keep_alive(Caller.keepsAlive());
  if (!hasNoBody(Request.Head.method(), Status)) {
    Complete.content_length(Answer.Body.size());
    Complete.body() = std::move(Answer.Body);
  }
  const bool Written = co_await Caller.write(std::move(Complete));
  if (!Written)
    co_return Abandoned{};
  co_return Delivered{Status};
}

RequestFlow::AttemptOutcome RequestFlow::afterRefusal(const WorkerPick &Pick,
                                                      std::string_view Reason) {
  if (claimRetry(true))
    return Retry{};
  if (MayHaveRun)
    return lostAnswer(AttemptEnd::ConnectionLost);
  const Duration Typical = State.Dispatch.typicalLatency(Service);
  return unavailable(std::string(Reason), std::max(Typical, Pick.QueueWait));
}

RequestFlow::AttemptOutcome
RequestFlow::afterFailure(const AttemptFailure &Failure, const WorkerPick &Pick,
                          Instant SentAt) {
  const Instant Now = State.now();
  const auto RecordVerdict = [&](WorkerVerdict Verdict) {
    State.Dispatch.recordResult(Pick, Verdict, Now - SentAt, Now);
  };
  logAttempt(Pick, toString(Failure.End), SentAt);
  if (Stopped) {
    // The process ends before the worker answers; the caller still receives a
    // complete answer.
    RecordVerdict(WorkerVerdict::Abandoned);
    return Failure.RequestSent || MayHaveRun
               ? AttemptOutcome(lostAnswer(AttemptEnd::TimedOut))
               : AttemptOutcome(unavailable("stopping", Duration(0)));
  }
  if (Control.isCancelled() || Caller.leftDuringBody()) {
    RecordVerdict(WorkerVerdict::Abandoned);
    return Abandoned{};
  }
  switch (Failure.End) {
  case AttemptEnd::RefusedFull:
    RecordVerdict(WorkerVerdict::RefusedFull);
    return afterRefusal(Pick, "worker_full");
  case AttemptEnd::RefusedLeaving:
    RecordVerdict(WorkerVerdict::Misdirected);
    State.Crashes.workerEnded(Pick.Worker.Id, std::nullopt, Now);
    return afterRefusal(Pick, "worker_gone");
  case AttemptEnd::ConnectFailed:
    // A worker with a long queue resets connections that it accepted. Only a
    // worker that accepts none may be gone.
    RecordVerdict(Failure.Connected ? WorkerVerdict::RefusedFull
                                    : WorkerVerdict::Unreachable);
    if (claimRetry(false))
      return Retry{};
    if (MayHaveRun)
      return lostAnswer(Failure.End);
    return unavailable("no_connection", State.Dispatch.typicalLatency(Service));
  case AttemptEnd::TimedOut:
    RecordVerdict(WorkerVerdict::TimedOut);
    break;
  case AttemptEnd::Cancelled:
    // The rest of the body could not be read, which says nothing against the
    // worker.
    RecordVerdict(WorkerVerdict::Abandoned);
    break;
  default:
    RecordVerdict(WorkerVerdict::Broken);
    if (Failure.RequestSent)
      State.Crashes.connectionLost(
          Pick, {Id, Caller.address(), RequestFingerprint, SentAt},
          State.Settings.ConnectTimeout);
    break;
  }
  MayHaveRun = MayHaveRun || Failure.RequestSent;
  if (MatchedRoute->Idempotent && claimRetry(true))
    return Retry{};
  return lostAnswer(Failure.End);
}

} // namespace masticgap::gateway
