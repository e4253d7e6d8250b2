// One try of a request at a worker.
#include "gateway/request_flow.hpp"

#include "entry/header_fields.hpp"

#include <algorithm>
#include <utility>

// GCC 12 takes the inlined allocation of a coroutine frame for another function
// than the one that Asio frees it with.
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace coordination;
using transport::OutgoingRequest;
using transport::WorkerExchange;

namespace {

//! Answers up to this size are held until they are whole, so that one that
//! breaks off can be replaced. Larger ones are passed on as they arrive.
constexpr std::size_t HeldBytes = 256 * 1024;
constexpr std::size_t ReadBytes = 16 * 1024;

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

bool hasNoBody(http::verb Method, unsigned Status) {
  return Method == http::verb::head || Status / 100 == 1 || Status == 204 ||
         Status == 304;
}

//! Statuses that promise a caller that its request has not run.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

asio::awaitable<transport::RequestPart>
nextPart(entry::CallerConnection *From) {
  return From->readMore();
}

} // namespace

OutgoingRequest RequestFlow::outgoing(const WorkerPick &Pick) const {
  OutgoingRequest Message;
  Message.Head = Request.Head;
  http::request_header<> &Head = Message.Head;
  const bool HadBody = Head.count(http::field::content_length) > 0 ||
                       Head.count(http::field::transfer_encoding) > 0;
  entry::removeHopByHop(Head);
  Head.erase(http::field::expect);
  Head.version(11);
  // The fields above could have named these to have them removed.
  Head.set(http::field::host, Request.Head[http::field::host]);
  if (!Id.empty())
    Head.set(State.Wire.RequestIdField, Id);
  const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - State.now());
  Head.set(State.Wire.DeadlineField,
           std::to_string(std::max<std::int64_t>(1, Left.count())));
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

asio::awaitable<RequestFlow::Step>
RequestFlow::attempt(const WorkerPick &Pick) {
  const Instant Sent = State.now();
  Tried.push_back(Pick.Worker.Id);
  LastPick = Pick;
  State.Dispatch.recordSent(Pick, Sent);
  const OutgoingRequest Message = outgoing(Pick);
  WorkerExchange Exchange(State.Connections, [this] { return State.now(); },
                          {.Repeatable = MatchedRoute->Idempotent,
                           .Deadline = Deadline + State.Settings.TimeoutSlack,
                           .ConnectTimeout = State.Settings.ConnectTimeout,
                           .Dialect = &State.Wire.Workers});
  // A braced temporary within the expression is freed twice by GCC 12.
  transport::WorkerTarget Target{Pick.Worker.Id, Pick.Worker.Run,
                                 Pick.Worker.Address, Pick.Connections};
  const auto Early =
      co_await Exchange.start(std::move(Target), Message, Control);
  const bool Left = Exchange.bytesSent() > 0;
  if (Left)
    ++WorkersReached;
  if (Early)
    co_return afterFailure({*Early, Exchange.connected(), Left}, Pick, Sent);
  co_return co_await receive(Exchange, Pick, Sent);
}

asio::awaitable<RequestFlow::Step>
RequestFlow::receive(WorkerExchange &Exchange, const WorkerPick &Pick,
                     Instant Sent) {
  if (const auto Load =
          State.Wire.ParseLoad(view(Exchange.head()[State.Wire.LoadField])))
    State.Dispatch.recordLoad(Pick.Worker.Id, *Load, State.now());
  BufferedAnswer Answer;
  Answer.Head = Exchange.head();
  const auto Failed = co_await collect(Exchange, Answer);
  if (Failed)
    co_return afterFailure({*Failed}, Pick, Sent);
  if (Answer.Whole)
    co_return co_await judge(std::move(Answer), Pick, Sent);
  if (!looksGenuine(Answer) || promisesNotRun(Answer.Head.result_int()))
    co_return afterFailure({AttemptEnd::Truncated}, Pick, Sent);
  Step Next = co_await stream(Exchange, Answer);
  State.Crashes.recordSuccess(RequestFingerprint, State.now());
  State.Dispatch.recordResult(Pick,
                              std::holds_alternative<Delivered>(Next)
                                  ? WorkerVerdict::Answered
                                  : WorkerVerdict::Broken,
                              State.now() - Sent, State.now());
  co_return Next;
}

asio::awaitable<std::optional<AttemptEnd>>
RequestFlow::collect(WorkerExchange &Exchange, BufferedAnswer &Into) {
  std::string Part;
  while (!Exchange.isDone() && Into.Body.size() < HeldBytes) {
    Part.resize(ReadBytes);
    const std::size_t Got = co_await Exchange.readSome(Part, Control);
    if (Got == 0 && !Exchange.isDone())
      co_return Exchange.failure();
    Into.Body.append(Part.data(), Got);
  }
  Into.Whole = Exchange.isDone();
  co_return std::nullopt;
}

asio::awaitable<RequestFlow::Step> RequestFlow::stream(WorkerExchange &Exchange,
                                                       BufferedAnswer &Begun) {
  http::response_header<> Head = Begun.Head;
  entry::removeHopByHop(Head);
  Head.version(Request.Head.version());
  const auto Length = Exchange.contentLength();
  if (!Length && Head.version() >= 11)
    Head.set(http::field::transfer_encoding, "chunked");
  if (!Caller.keepsAlive() || (!Length && Head.version() < 11))
    Head.set(http::field::connection, "close");
  bool Writing = co_await Caller.writeHead(std::move(Head));
  if (Writing)
    Writing = co_await Caller.writePart(Begun.Body, false);
  std::string Part(ReadBytes, '\0');
  while (Writing && !Exchange.isDone()) {
    const std::size_t Got = co_await Exchange.readSome(Part, Control);
    const bool Last = Exchange.isDone();
    if (Got == 0 && !Last)
      co_return CutOff{};
    Writing = co_await Caller.writePart(std::span(Part).first(Got), Last);
  }
  if (!Writing)
    co_return Abandoned{};
  co_return Delivered{Begun.Head.result_int()};
}

bool RequestFlow::looksGenuine(const BufferedAnswer &Answer) const {
  // Only a worker's own answer carries its signature, and callers asked for
  // bodies without encoding.
  const bool Success = Answer.Head.result_int() / 100 == 2;
  const bool Signed = Answer.Head.count(State.Wire.SignatureField) > 0;
  const bool Encoded = Answer.Head.count(http::field::content_encoding) > 0;
  return (Signed || !Success) && !Encoded;
}

asio::awaitable<RequestFlow::Step> RequestFlow::judge(BufferedAnswer Answer,
                                                      const WorkerPick &Pick,
                                                      Instant Sent) {
  const unsigned Status = Answer.Head.result_int();
  const bool Genuine = looksGenuine(Answer);
  const bool Usable = Genuine && !promisesNotRun(Status);
  if (!Usable)
    co_return afterFailure({AttemptEnd::Truncated}, Pick, Sent);
  const Instant Now = State.now();
  const bool Failed = Status >= 500;
  State.Crashes.recordSuccess(RequestFingerprint, Now);
  State.Dispatch.recordResult(
      Pick, Failed ? WorkerVerdict::Failed : WorkerVerdict::Answered,
      Now - Sent, Now);
  State.Stats.observe(Stage::Worker, MatchedRoute->Name, Now - Sent);
  if (Failed) {
    MayHaveRun = true;
    logAttempt(Pick, "worker_failure", Sent);
    if (MatchedRoute->Idempotent && mayRetry(true))
      co_return TryAgain{};
  }
  transport::HttpResponse Whole;
  Whole.base() = std::move(Answer.Head);
  entry::removeHopByHop(Whole);
  Whole.version(Request.Head.version());
  Whole.keep_alive(Caller.keepsAlive());
  if (!hasNoBody(Request.Head.method(), Status)) {
    Whole.content_length(Answer.Body.size());
    Whole.body() = std::move(Answer.Body);
  }
  const bool Written = co_await Caller.write(std::move(Whole));
  if (!Written)
    co_return Abandoned{};
  co_return Delivered{Status};
}

RequestFlow::Step RequestFlow::afterRefusal(const WorkerPick &Pick,
                                            std::string_view Reason) {
  if (mayRetry(true))
    return TryAgain{};
  if (MayHaveRun)
    return lost(AttemptEnd::ConnectionLost);
  const Duration Typical = State.Dispatch.typicalLatency(Service);
  return refused(std::string(Reason), std::max(Typical, Pick.QueueWait));
}

RequestFlow::Step RequestFlow::afterFailure(const Failure &How,
                                            const WorkerPick &Pick,
                                            Instant Sent) {
  const Instant Now = State.now();
  const auto Tell = [&](WorkerVerdict Verdict) {
    State.Dispatch.recordResult(Pick, Verdict, Now - Sent, Now);
  };
  logAttempt(Pick, toString(How.End), Sent);
  if (Stopped) {
    // The process ends before the worker does; the caller still gets a whole
    // answer.
    Tell(WorkerVerdict::Abandoned);
    return How.Left || MayHaveRun ? Step(lost(AttemptEnd::TimedOut))
                                  : Step(refused("stopping", Duration(0)));
  }
  if (Control.isCancelled()) {
    Tell(WorkerVerdict::Abandoned);
    return Abandoned{};
  }
  switch (How.End) {
  case AttemptEnd::RefusedFull:
    Tell(WorkerVerdict::RefusedFull);
    return afterRefusal(Pick, "worker_full");
  case AttemptEnd::RefusedLeaving:
    Tell(WorkerVerdict::Misdirected);
    return afterRefusal(Pick, "worker_gone");
  case AttemptEnd::ConnectFailed:
    // A worker with a long queue resets connections that it accepted; only one
    // that accepts none may be gone.
    Tell(How.Connected ? WorkerVerdict::RefusedFull
                       : WorkerVerdict::Unreachable);
    if (mayRetry(false))
      return TryAgain{};
    if (MayHaveRun)
      return lost(How.End);
    return refused("no_connection", State.Dispatch.typicalLatency(Service));
  case AttemptEnd::TimedOut:
    Tell(WorkerVerdict::TimedOut);
    break;
  default:
    Tell(WorkerVerdict::Broken);
    if (How.Left)
      State.Crashes.connectionLost(Pick, {Id, RequestFingerprint, Sent},
                                   State.Settings.ConnectTimeout);
    break;
  }
  MayHaveRun = MayHaveRun || How.Left;
  if (MatchedRoute->Idempotent && mayRetry(true))
    return TryAgain{};
  return lost(How.End);
}

} // namespace masticgap::gateway
