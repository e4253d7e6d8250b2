#include "gateway/request_flow.hpp"

#include "entry/header_fields.hpp"

#include "masticgap/transport/http_types.hpp"

#include <algorithm>
#include <charconv>
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
//! Tries that reach no worker; each costs a connect timeout at most.
constexpr unsigned MaxConnects = 4;
//! Callers that meet a gateway without configuration come back after this
//! time, in which a store answers or a peer is found.
constexpr Duration NoConfigRetry = std::chrono::milliseconds(500);
//! Spread of Retry-After, so that callers do not return together.
constexpr double LeastSpread = 0.75;
constexpr double MostSpread = 1.5;
//! Time that a worker needs at least; a deadline below it is not worth a send.
constexpr Duration LeastWorkTime = std::chrono::milliseconds(10);

std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

//! Value of a cookie; empty when absent.
std::string_view cookie(std::string_view Header, std::string_view Name) {
  while (!Header.empty()) {
    const std::size_t End = std::min(Header.find(';'), Header.size());
    std::string_view Pair = Header.substr(0, End);
    Header.remove_prefix(std::min(End + 1, Header.size()));
    Pair.remove_prefix(std::min(Pair.find_first_not_of(' '), Pair.size()));
    const std::size_t Equal = Pair.find('=');
    if (Equal != std::string_view::npos && Pair.substr(0, Equal) == Name)
      return Pair.substr(Equal + 1);
  }
  return {};
}

bool hasNoBody(http::verb Method, unsigned Status) {
  return Method == http::verb::head || Status / 100 == 1 || Status == 204 ||
         Status == 304;
}

//! Statuses that promise a caller that its request has not run.
bool promisesNotRun(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

asio::awaitable<transport::RequestPart>
nextPart(entry::CallerConnection *From) {
  return From->readMore();
}

std::string_view name(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return "answered";
  case AttemptEnd::RefusedFull:
    return "refused_full";
  case AttemptEnd::RefusedLeaving:
    return "misdirected";
  case AttemptEnd::ConnectFailed:
    return "connect_failed";
  case AttemptEnd::TimedOut:
    return "timed_out";
  case AttemptEnd::ConnectionLost:
    return "connection_lost";
  case AttemptEnd::Truncated:
    return "truncated";
  case AttemptEnd::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

} // namespace

RequestFlow::RequestFlow(GatewayState &State, entry::CallerConnection &Caller,
                         GatewayRequest &Request)
    : State(State), Caller(Caller), Request(Request), InFlight(State.InFlight),
      Began(State.now()) {
  ++*InFlight;
}

RequestFlow::~RequestFlow() { --*InFlight; }

asio::awaitable<void> RequestFlow::serve() {
  Id = view(Request.Head[State.Wire.RequestIdField]);
  if (auto Why = findRoute()) {
    co_await finish(std::move(*Why));
    co_return;
  }
  readDeadline();
  State.Dispatch.arrived(Service, Began);
  if (!Request.Streamed)
    Caller.watch([this] {
      // A request that may not be repeated is left to run: nobody could tell
      // whether it ran if it were broken off.
      if (Way->Idempotent || Arrivals == 0)
        Control.cancel();
    });
  Ending End = co_await dispatch();
  Caller.unwatch();
  co_await finish(std::move(End));
}

std::optional<OwnAnswer> RequestFlow::findRoute() {
  Config = State.Config;
  if (!Config)
    return OwnAnswer{http::status::service_unavailable, "no_config",
                     NoConfigRetry};
  const auto Path = transport::targetPath(view(Request.Head.target()));
  Way = masticgap::findRoute(*Config, view(Request.Head[http::field::host]),
                             Path);
  if (!Way)
    return OwnAnswer{http::status::not_found, "no_route", Duration(0)};
  Service = State.Splits.next(*Way);
  const std::string_view Cookie =
      cookie(view(Request.Head[http::field::cookie]), State.Wire.ObjectCookie);
  Object = Way->SessionAffinity && !Cookie.empty() ? objectHash(Service, Cookie)
                                                   : State.Random();
  return std::nullopt;
}

void RequestFlow::readDeadline() {
  Until = Began + Way->Timeout;
  const auto Text = view(Request.Head[State.Wire.DeadlineField]);
  std::int64_t Left = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Left);
  if (Failure == std::errc() && End == Text.data() + Text.size() && Left >= 0)
    Until = std::min(Until, Began + std::chrono::milliseconds(Left));
  if (State.StopAt)
    Until = std::min(Until, *State.StopAt);
}

DispatchRequest RequestFlow::dispatchRequest() const {
  DispatchRequest Wanted;
  Wanted.Service = Service;
  Wanted.Object = Object;
  Wanted.Priority = Way->Priority;
  Wanted.Target = Way->TargetLatency;
  Wanted.Until = Until;
  Wanted.Homes = Way->HomeRegions;
  Wanted.Tried = Tried;
  return Wanted;
}

asio::awaitable<RequestFlow::Ending> RequestFlow::dispatch() {
  while (true) {
    Step Next = co_await tryWorker();
    if (auto *Own = std::get_if<OwnAnswer>(&Next))
      co_return std::move(*Own);
    if (const auto *Done = std::get_if<Delivered>(&Next))
      co_return *Done;
    if (std::holds_alternative<CutOff>(Next))
      co_return CutOff{};
    if (std::holds_alternative<Abandoned>(Next) || Control.isCancelled())
      co_return Abandoned{};
  }
}

asio::awaitable<RequestFlow::Step> RequestFlow::tryWorker() {
  const Instant Now = State.now();
  if (Until - Now < LeastWorkTime)
    co_return MayHaveRun ? lost(AttemptEnd::TimedOut)
                         : refused("no_time", Duration(0));
  const DispatchDecision Decision =
      State.Dispatch.choose(dispatchRequest(), Now);
  if (const auto *Why = std::get_if<Rejection>(&Decision)) {
    if (MayHaveRun)
      co_return lost(AttemptEnd::ConnectionLost);
    const char *Reason = Why->Reason == RejectReason::NoWorkers ? "no_workers"
                         : Why->Reason == RejectReason::Overloaded
                             ? "overloaded"
                             : "no_time";
    State.Log.write(LogClass::Decision, "rejected",
                    {{"id", Id},
                     {"route", Way->Name},
                     {"service", Service.value()},
                     {"reason", Reason},
                     {"wait_ms", milliseconds(Why->Wait)},
                     {"usable", static_cast<std::uint64_t>(
                                    State.Dispatch.usable(Service, Now))},
                     {"version", Config->Version}});
    co_return refused(Reason, Why->RetryAfter);
  }
  co_return co_await attempt(std::get<WorkerPick>(Decision));
}

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
      Until - State.now());
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
  State.Dispatch.sent(Pick, Sent);
  const OutgoingRequest Message = outgoing(Pick);
  WorkerExchange Exchange(State.Connections, [this] { return State.now(); },
                          {.Repeatable = Way->Idempotent,
                           .Deadline = Until + State.Settings.TimeoutSlack,
                           .ConnectTimeout = State.Settings.ConnectTimeout,
                           .Dialect = &State.Wire.Workers});
  // A braced temporary within the expression is freed twice by GCC 12.
  transport::WorkerTarget Target{Pick.Worker.Id, Pick.Worker.Run,
                                 Pick.Worker.Address, Pick.Connections};
  const auto Early =
      co_await Exchange.start(std::move(Target), Message, Control);
  const bool Left = Exchange.bytesSent() > 0;
  if (Left)
    ++Arrivals;
  if (Early)
    co_return afterFailure({*Early, Exchange.connected(), Left}, Pick, Sent);
  co_return co_await receive(Exchange, Pick, Sent);
}

asio::awaitable<RequestFlow::Step>
RequestFlow::receive(WorkerExchange &Exchange, const WorkerPick &Pick,
                     Instant Sent) {
  if (const auto Load =
          State.Wire.ParseLoad(view(Exchange.head()[State.Wire.LoadField])))
    State.Dispatch.reported(Pick.Worker.Id, *Load, State.now());
  HeldAnswer Answer;
  Answer.Head = Exchange.head();
  const auto Failed = co_await collect(Exchange, Answer);
  if (Failed)
    co_return afterFailure({*Failed}, Pick, Sent);
  if (Answer.Whole)
    co_return co_await judge(std::move(Answer), Pick, Sent);
  if (!looksGenuine(Answer) || promisesNotRun(Answer.Head.result_int()))
    co_return afterFailure({AttemptEnd::Truncated}, Pick, Sent);
  Step Next = co_await stream(Exchange, Answer);
  State.Dispatch.ended(Pick,
                       std::holds_alternative<Delivered>(Next)
                           ? WorkerVerdict::Answered
                           : WorkerVerdict::Broken,
                       State.now() - Sent, State.now());
  co_return Next;
}

asio::awaitable<std::optional<AttemptEnd>>
RequestFlow::collect(WorkerExchange &Exchange, HeldAnswer &Into) {
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
                                                       HeldAnswer &Begun) {
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

bool RequestFlow::looksGenuine(const HeldAnswer &Answer) const {
  // Only a worker's own answer carries its signature, and callers asked for
  // bodies without encoding.
  const bool Success = Answer.Head.result_int() / 100 == 2;
  const bool Signed = Answer.Head.count(State.Wire.SignatureField) > 0;
  const bool Encoded = Answer.Head.count(http::field::content_encoding) > 0;
  return (Signed || !Success) && !Encoded;
}

asio::awaitable<RequestFlow::Step>
RequestFlow::judge(HeldAnswer Answer, const WorkerPick &Pick, Instant Sent) {
  const unsigned Status = Answer.Head.result_int();
  const bool Genuine = looksGenuine(Answer);
  const bool Usable = Genuine && !promisesNotRun(Status);
  if (!Usable)
    co_return afterFailure({AttemptEnd::Truncated}, Pick, Sent);
  const Instant Now = State.now();
  const bool Failed = Status >= 500;
  State.Dispatch.ended(Pick,
                       Failed ? WorkerVerdict::Failed : WorkerVerdict::Answered,
                       Now - Sent, Now);
  State.Measured.observe(Stage::Worker, Way->Name, Now - Sent);
  if (Failed) {
    MayHaveRun = true;
    logAttempt(Pick, "worker_failure", Sent);
    if (Way->Idempotent && mayRetry(true))
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

bool RequestFlow::mayRetry(bool Arrived) {
  if (Request.Streamed || Control.isCancelled())
    return false;
  if (!Arrived)
    return ++Connects < MaxConnects;
  if (Arrivals >= std::max(1U, Way->MaxAttempts))
    return false;
  const Instant Now = State.now();
  if (Until - Now < State.Dispatch.typical(Service))
    return false;
  const bool Allowed = State.Dispatch.tryRetry(Service, Now);
  State.Measured.count("retries", Allowed ? "sent" : "over_budget");
  return Allowed;
}

RequestFlow::Step RequestFlow::afterRefusal(const WorkerPick &Pick,
                                            std::string_view Reason) {
  if (mayRetry(true))
    return TryAgain{};
  if (MayHaveRun)
    return lost(AttemptEnd::ConnectionLost);
  const Duration Typical = State.Dispatch.typical(Service);
  return refused(std::string(Reason), std::max(Typical, Pick.Wait));
}

RequestFlow::Step RequestFlow::afterFailure(const Failure &How,
                                            const WorkerPick &Pick,
                                            Instant Sent) {
  const Instant Now = State.now();
  const auto Tell = [&](WorkerVerdict Verdict) {
    State.Dispatch.ended(Pick, Verdict, Now - Sent, Now);
  };
  logAttempt(Pick, name(How.End), Sent);
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
    return refused("no_connection", State.Dispatch.typical(Service));
  case AttemptEnd::TimedOut:
    Tell(WorkerVerdict::TimedOut);
    break;
  default:
    Tell(WorkerVerdict::Broken);
    break;
  }
  MayHaveRun = MayHaveRun || How.Left;
  if (Way->Idempotent && mayRetry(true))
    return TryAgain{};
  return lost(How.End);
}

OwnAnswer RequestFlow::lost(AttemptEnd End) const {
  const bool Late = End == AttemptEnd::TimedOut;
  return {Late ? http::status::gateway_timeout : http::status::bad_gateway,
          Late ? "timeout" : "answer_lost", Duration(0)};
}

OwnAnswer RequestFlow::refused(std::string Reason, Duration RetryAfter) const {
  return {http::status::service_unavailable, std::move(Reason), RetryAfter};
}

asio::awaitable<void> RequestFlow::finish(Ending End) {
  logEnd(End);
  if (const auto *Own = std::get_if<OwnAnswer>(&End))
    co_await write(*Own);
  else if (std::holds_alternative<CutOff>(End))
    Caller.abort();
  else if (std::holds_alternative<Abandoned>(End))
    Caller.close();
}

asio::awaitable<void> RequestFlow::write(const OwnAnswer &Answer) {
  transport::HttpResponse Message(Answer.Status, Request.Head.version());
  Message.keep_alive(Caller.keepsAlive());
  Message.set(http::field::content_type, "application/json");
  if (Answer.Status == http::status::service_unavailable) {
    std::uniform_real_distribution<double> Spread(LeastSpread, MostSpread);
    const double Seconds =
        std::chrono::duration<double>(Answer.RetryAfter).count() *
        Spread(State.Random);
    // Thousandths of a second; the standard form would round to seconds.
    Message.set(http::field::retry_after, LogValue(Seconds).text());
  }
  Message.body() = "{\"error\":\"" + Answer.Reason + "\"}";
  Message.prepare_payload();
  if (Request.Head.method() == http::verb::head)
    Message.body().clear();
  co_await Caller.write(std::move(Message));
}

void RequestFlow::logAttempt(const WorkerPick &Pick, std::string_view Result,
                             Instant Sent) {
  State.Measured.count("attempts_failed", Result);
  State.Log.write(LogClass::Decision, "attempt",
                  {{"id", Id},
                   {"route", Way->Name},
                   {"worker", Pick.Worker.Id.value()},
                   {"domain", Pick.Worker.Domain.value()},
                   {"result", std::string(Result)},
                   {"ms", milliseconds(State.now() - Sent)},
                   {"expected_ms", milliseconds(Pick.Expected)},
                   {"occupancy", Pick.Occupancy},
                   {"rank", static_cast<std::uint64_t>(Pick.Rank)},
                   {"cold", Pick.Cold},
                   {"arrivals", Arrivals}});
}

void RequestFlow::logEnd(const Ending &End) {
  std::string Outcome = "answered";
  unsigned Status = 0;
  bool Routine = true;
  if (const auto *Own = std::get_if<OwnAnswer>(&End)) {
    Outcome = Own->Reason;
    Status = static_cast<unsigned>(Own->Status);
    Routine = false;
  } else if (std::holds_alternative<CutOff>(End)) {
    Outcome = "cut_off";
    Routine = false;
  } else if (std::holds_alternative<Abandoned>(End)) {
    Outcome = "caller_left";
  } else {
    Status = std::get<Delivered>(End).Status;
    Routine = Status < 500;
  }
  const std::string Name = Way ? Way->Name : std::string("none");
  State.Measured.count("requests", Outcome);
  State.Measured.observe(Stage::Whole, Name, State.now() - Began);
  if (Routine && !State.Settings.LogRequests)
    return;
  State.Log.write(Routine ? LogClass::Routine : LogClass::Decision, "request",
                  {{"id", Id},
                   {"route", Name},
                   {"service", Service.value()},
                   {"outcome", Outcome},
                   {"status", Status},
                   {"ms", milliseconds(State.now() - Began)},
                   {"worker", Tried.empty() ? "" : Tried.back().value()},
                   {"arrivals", Arrivals},
                   {"may_have_run", MayHaveRun},
                   {"own_share", Way ? State.Dispatch.ownShare(Service) : 1.0},
                   {"version", Config ? Config->Version : 0}});
}

} // namespace masticgap::gateway
