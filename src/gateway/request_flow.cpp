#include "gateway/request_flow.hpp"

#include "masticgap/transport/http_types.hpp"
#include "masticgap/transport/request_fingerprint.hpp"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

// GCC 12 reports a mismatch between the inlined allocation of a coroutine frame
// and the function that Asio frees it with (false positive).
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"

namespace masticgap::gateway {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace coordination;

namespace {

//! Limit of attempts that reach no worker. Each takes at most one connect
//! timeout, so with the default setting they take 1.2 s together at most.
constexpr unsigned MaxConnectAttempts = 4;
//! Random factors for Retry-After, so that callers do not retry simultaneously.
constexpr double MinRetryFactor = 0.75;
constexpr double MaxRetryFactor = 1.5;
std::string_view view(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

//! Returns the key of "Authorization: Bearer KEY"; empty when there is none or
//! more than one such field.
std::string_view bearerKey(const http::request_header<> &Head) {
  constexpr std::string_view Scheme = "Bearer ";
  const auto [First, End] = Head.equal_range(http::field::authorization);
  if (First == End || std::next(First) != End)
    return {};
  std::string_view Text = view(First->value());
  if (!boost::beast::iequals(Text.substr(0, Scheme.size()), Scheme))
    return {};
  Text.remove_prefix(Scheme.size());
  Text.remove_prefix(std::min(Text.find_first_not_of(' '), Text.size()));
  return Text;
}

//! Returns the value of a cookie; empty when absent.
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

} // namespace

RequestFlow::RequestFlow(GatewayState &State, entry::CallerConnection &Caller,
                         GatewayRequest &Request)
    : State(State), Caller(Caller), Request(Request), InFlight(State.InFlight),
      ReceivedAt(State.now()) {
  ++*InFlight;
}

RequestFlow::~RequestFlow() { --*InFlight; }

asio::awaitable<void> RequestFlow::serve() {
  Id = view(Request.Head[State.Wire.RequestIdField]);
  if (auto Failure = findRoute()) {
    co_await finish(std::move(*Failure));
    co_return;
  }
  if (auto Failure = identifyAccount()) {
    co_await finish(std::move(*Failure));
    co_return;
  }
  readDeadline();
  if (isRefusedByStop(State, *MatchedRoute, Service, Deadline, ReceivedAt)) {
    logRejection("stopping", {}, ReceivedAt);
    co_await finish(unavailable("stopping", Duration(0)));
    co_return;
  }
  if (State.StopAt)
    Deadline = std::min(Deadline, *State.StopAt);
  // Requests over the limit are no demand for the service's workers.
  if (auto Refused = co_await obtainCredit()) {
    co_await finish(std::move(*Refused));
    co_return;
  }
  // Without the caller's address: a request that crashes workers is sent again
  // from any address.
  RequestFingerprint = transport::requestFingerprint(
      Request.Head, Request.Body, Request.Streamed, MatchedRoute->HostName);
  State.Dispatch.recordArrival(Service, ReceivedAt);
  std::optional<entry::CallerWatch> Watch;
  Watch.emplace(Caller, [this] { callerGone(); });
  RequestOutcome End = co_await dispatch();
  Watch.reset();
  returnCredit(End);
  co_await finish(std::move(End));
}

void RequestFlow::callerGone() {
  // A non-idempotent request that was sent continues: if it were cancelled, it
  // would be unknown whether it was executed. One whose body cannot be
  // completed ends, since its worker would wait for the rest.
  const bool Continues =
      Request.Streamed ? Caller.hasWholeBody() : WorkersReached > 0;
  if (MatchedRoute->Idempotent || !Continues)
    Control.cancel();
}

std::optional<LocalAnswer> RequestFlow::findRoute() {
  Config = State.Config;
  const RouteMatch Match =
      matchRoute(Config.get(), view(Request.Head[http::field::host]),
                 view(Request.Head.target()));
  MatchedRoute = Match.Found;
  if (Match.Refusal)
    return Match.Refusal;
  Service = State.Splits.next(*MatchedRoute);
  const std::string_view Cookie =
      cookie(view(Request.Head[http::field::cookie]), State.Wire.ObjectCookie);
  Object = objectOf(*MatchedRoute, Service, Cookie, State.Random);
  return std::nullopt;
}

std::optional<LocalAnswer> RequestFlow::identifyAccount() {
  if (needsAccount(*Config, *MatchedRoute)) {
    CallerAccount = Config->Accounts->findByKey(bearerKey(Request.Head));
    if (!CallerAccount)
      return unauthorized();
  }
  Regions.emplace(regionLimit(*MatchedRoute, CallerAccount));
  return checkRegions(*Regions);
}

void RequestFlow::readDeadline() {
  Deadline = ReceivedAt + MatchedRoute->Timeout.value_or(MaxRequestTime);
  const auto Text = view(Request.Head[State.Wire.DeadlineField]);
  std::int64_t RemainingMs = 0;
  const auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), RemainingMs);
  std::optional<Duration> Remaining;
  if (Failure == std::errc() && End == Text.data() + Text.size() &&
      RemainingMs >= 0 && RemainingMs < MaxRequestTime.count())
    Remaining = std::chrono::milliseconds(RemainingMs);
  if (Remaining)
    Deadline = std::min(Deadline, ReceivedAt + *Remaining);
  recordCaller(Remaining);
}

void RequestFlow::recordCaller(std::optional<Duration> Remaining) {
  if (!Config->Accounts)
    return;
  const std::string &Name = MatchedRoute->Name;
  if (Remaining)
    State.Patience.record(Name, *Remaining, ReceivedAt);
  Standing.emplace();
  Standing->TimeUsed = State.Patience.timeUsed(Name, Remaining, ReceivedAt);
  Standing->LimitShift = State.Shares.limitShift(accountName(), ReceivedAt);
}

unsigned RequestFlow::priority() const {
  return CallerAccount && CallerAccount->Priority ? *CallerAccount->Priority
                                                  : MatchedRoute->Priority;
}

DispatchRequest RequestFlow::dispatchRequest() const {
  DispatchRequest Result =
      makeDispatchRequest(*MatchedRoute, CallerAccount, *Regions);
  Result.Service = Service;
  Result.Object = Object;
  Result.Deadline = Deadline;
  Result.Caller = Standing;
  Result.Tried = Tried;
  return Result;
}

asio::awaitable<RequestFlow::RequestOutcome> RequestFlow::dispatch() {
  while (true) {
    AttemptOutcome Next = co_await tryWorker();
    if (auto *Local = std::get_if<LocalAnswer>(&Next))
      co_return std::move(*Local);
    if (const auto *Done = std::get_if<Delivered>(&Next))
      co_return *Done;
    if (std::holds_alternative<CutOff>(Next))
      co_return CutOff{};
    if (std::holds_alternative<Abandoned>(Next) || Control.isCancelled())
      co_return Abandoned{};
  }
}

asio::awaitable<std::optional<LocalAnswer>> RequestFlow::obtainCredit() {
  if (!CallerAccount || CallerAccount->RatePerSecond <= 0)
    co_return std::nullopt;
  const AccountExchange::Admission Decision =
      co_await State.AccountLimits.admit(*CallerAccount, Control);
  if (const auto *Allowed = std::get_if<AccountAdmitted>(&Decision)) {
    Credit = *Allowed;
    CreditUsableUntil = State.now() + State.AccountLimits.arrivalDelay();
    co_return std::nullopt;
  }
  if (Control.isCancelled())
    co_return unavailable("stopping", Duration(0));
  co_return LocalAnswer{http::status::too_many_requests, "over_limit",
                        std::get<OverLimit>(Decision).RetryAfter};
}

bool RequestFlow::needsNewCredit() const {
  return Credit && Credit->Limited &&
         (MayHaveRun || State.now() > CreditUsableUntil);
}

void RequestFlow::returnCredit(const RequestOutcome &End) {
  const bool NotRun =
      std::holds_alternative<LocalAnswer>(End)
          ? !MayHaveRun
          : std::holds_alternative<Abandoned>(End) && WorkersReached == 0;
  if (Credit && NotRun)
    State.AccountLimits.giveBack(*CallerAccount, *Credit);
}

asio::awaitable<RequestFlow::AttemptOutcome> RequestFlow::tryWorker() {
  if (needsNewCredit()) {
    auto Refused = co_await obtainCredit();
    if (Control.isCancelled() && !Stopped)
      co_return Abandoned{};
    if (Refused && MayHaveRun)
      co_return lostAnswer(AttemptEnd::ConnectionLost);
    if (Refused) {
      Credit.reset();
      co_return std::move(*Refused);
    }
  }
  const Instant Now = State.now();
  if (Deadline - Now < MinWorkTime)
    co_return MayHaveRun ? lostAnswer(AttemptEnd::TimedOut)
                         : unavailable("no_time", Duration(0));
  const bool IsTrial =
      Tried.empty() && State.Crashes.takeTrial(RequestFingerprint, Now);
  if (!IsTrial && State.Crashes.isQuarantined(RequestFingerprint, Now)) {
    logRejection("quarantined", {}, Now);
    co_return MayHaveRun
        ? lostAnswer(AttemptEnd::ConnectionLost)
        : unavailable("quarantined",
                      State.Crashes.untilTrial(RequestFingerprint, Now));
  }
  const DispatchDecision Decision =
      State.Dispatch.choose(dispatchRequest(), Now);
  recordAdmission(Decision, Now);
  if (const auto *Rejected = std::get_if<Rejection>(&Decision)) {
    if (MayHaveRun)
      co_return lostAnswer(AttemptEnd::ConnectionLost);
    const char *Reason = reasonText(Rejected->Reason);
    logRejection(Reason, Rejected->QueueWait, Now);
    co_return unavailable(Reason, Rejected->RetryAfter);
  }
  co_return co_await attempt(std::get<WorkerPick>(Decision));
}

void RequestFlow::recordAdmission(const DispatchDecision &Decision,
                                  Instant Now) {
  const auto *Refusal = std::get_if<Rejection>(&Decision);
  if (!Standing || (Refusal && Refusal->Reason != RejectReason::Overloaded))
    return;
  if (Refusal)
    countRefusal();
  // Each request counts once, whatever happens to its attempts.
  if (Tried.empty())
    State.Shares.record(accountName(), priority(), !Refusal, Now);
}

bool RequestFlow::claimRetry(bool ReachedWorker) {
  if (Request.Streamed || Control.isCancelled())
    return false;
  if (!ReachedWorker)
    return ++ConnectAttempts < MaxConnectAttempts;
  if (WorkersReached >= std::max(1U, MatchedRoute->MaxAttempts))
    return false;
  const Instant Now = State.now();
  if (Deadline - Now < State.Dispatch.typicalLatency(Service))
    return false;
  const bool Allowed = State.Dispatch.tryRetry(Service, Now);
  State.Stats.count("retries", Allowed ? "sent" : "over_budget");
  return Allowed;
}

LocalAnswer RequestFlow::lostAnswer(AttemptEnd End) const {
  const bool TimedOut = End == AttemptEnd::TimedOut;
  return {TimedOut ? http::status::gateway_timeout : http::status::bad_gateway,
          TimedOut ? "timeout" : "answer_lost", Duration(0)};
}

asio::awaitable<void> RequestFlow::finish(RequestOutcome End) {
  logOutcome(End);
  if (const auto *Local = std::get_if<LocalAnswer>(&End)) {
    const bool Written = co_await write(*Local);
    if (!Written)
      State.recordUnanswered(Id, "send_failed", Local->Reason);
  } else if (std::holds_alternative<CutOff>(End)) {
    State.recordUnanswered(Id, "cut_off");
    Caller.abort();
  } else if (std::holds_alternative<Abandoned>(End)) {
    const bool Left = Control.isCancelled() || Caller.leftDuringBody();
    State.recordUnanswered(Id, Left ? "caller_left" : "send_failed");
    Caller.close();
  }
}

asio::awaitable<bool> RequestFlow::write(const LocalAnswer &Answer) {
  transport::HttpResponse Message(Answer.Status, Request.Head.version());
  Message.keep_alive(Caller.keepsAlive());
  Message.set(http::field::content_type, "application/json");
  if (Answer.Status == http::status::service_unavailable ||
      Answer.Status == http::status::too_many_requests) {
    std::uniform_real_distribution<double> RetryFactor(MinRetryFactor,
                                                       MaxRetryFactor);
    const double Seconds =
        std::chrono::duration<double>(Answer.RetryAfter).count() *
        RetryFactor(State.Random);
    // LogValue writes three decimal digits. HTTP defines whole seconds only.
    Message.set(http::field::retry_after, LogValue(Seconds).text());
  }
  if (Answer.Status == http::status::unauthorized)
    Message.set(http::field::www_authenticate, "Bearer");
  Message.body() = "{\"error\":\"" + Answer.Reason + "\"}";
  Message.prepare_payload();
  if (Request.Head.method() == http::verb::head)
    Message.body().clear();
  co_return co_await Caller.write(std::move(Message));
}

} // namespace masticgap::gateway
