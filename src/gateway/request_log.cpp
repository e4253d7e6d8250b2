// Logging and metrics of a request.
#include "gateway/request_flow.hpp"

#include <algorithm>
#include <string>

namespace masticgap::gateway {

using namespace coordination;

namespace {

//! Less urgent priorities are counted as this one, so that the number of series
//! is limited.
constexpr unsigned MaxCountedPriority = 9;

double milliseconds(Duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

//! Returns the outcome that a status of a local answer stands for.
AccountOutcome accountOutcome(boost::beast::http::status Status) {
  using boost::beast::http::status;
  switch (Status) {
  case status::unauthorized:
    return AccountOutcome::Unauthorized;
  case status::too_many_requests:
    return AccountOutcome::Limited;
  case status::service_unavailable:
    return AccountOutcome::Refused;
  default:
    return AccountOutcome::Failed;
  }
}

} // namespace

void RequestFlow::countForAccount(const RequestOutcome &End) {
  AccountOutcome Outcome = AccountOutcome::Failed;
  std::string_view Reason;
  if (const auto *Local = std::get_if<LocalAnswer>(&End)) {
    Outcome = accountOutcome(Local->Status);
    Reason = Local->Reason;
  }
  if (std::holds_alternative<Delivered>(End))
    Outcome = AccountOutcome::Served;
  if (CallerAccount)
    State.Stats.countAccount(CallerAccount->Name.value(), Outcome, Reason);
  else if (Outcome == AccountOutcome::Unauthorized)
    State.Stats.countAccount({}, Outcome);
}

void RequestFlow::countRefusal() {
  const std::string Kind =
      Standing->TimeUsed > Duration(0) ? "retried_" : "first_";
  State.Stats.count(
      "admission_refused",
      Kind + std::to_string(std::min(priority(), MaxCountedPriority)));
}

void RequestFlow::logRejection(std::string_view Reason, Duration Wait,
                               Instant Now) {
  State.Log.write(
      LogClass::Decision, "rejected",
      {{"id", Id},
       {"route", MatchedRoute->Name},
       {"service", Service.value()},
       {"account", accountName()},
       {"reason", Reason},
       {"wait_ms", milliseconds(Wait)},
       {"used_ms", milliseconds(Standing ? Standing->TimeUsed : Duration(0))},
       {"usable",
        static_cast<std::uint64_t>(State.Dispatch.usableWorkers(Service, Now))},
       {"version", Config->Version}});
}

void RequestFlow::logAttempt(const WorkerPick &Pick, std::string_view Result,
                             Instant SentAt) {
  State.Stats.count("attempts_failed", Result);
  State.Log.write(LogClass::Decision, "attempt",
                  {{"id", Id},
                   {"route", MatchedRoute->Name},
                   {"worker", Pick.Worker.Id.value()},
                   {"domain", Pick.Worker.Domain.value()},
                   {"result", std::string(Result)},
                   {"ms", milliseconds(State.now() - SentAt)},
                   {"expected_ms", milliseconds(Pick.ExpectedLatency)},
                   {"occupancy", Pick.Occupancy},
                   {"rank", static_cast<std::uint64_t>(Pick.AffinityRank)},
                   {"cold", Pick.Cold},
                   {"arrivals", WorkersReached}});
}

void RequestFlow::logOutcome(const RequestOutcome &End) {
  std::string Outcome = "answered";
  unsigned Status = 0;
  bool Routine = true;
  if (const auto *Local = std::get_if<LocalAnswer>(&End)) {
    Outcome = Local->Reason;
    Status = static_cast<unsigned>(Local->Status);
    // An account far above its limit would fill the log; account_limited lines
    // state its refusals.
    Routine = Local->Status == boost::beast::http::status::too_many_requests;
  } else if (std::holds_alternative<CutOff>(End)) {
    Outcome = "cut_off";
    Routine = false;
  } else if (std::holds_alternative<Abandoned>(End)) {
    Outcome = "caller_left";
  } else {
    Status = std::get<Delivered>(End).Status;
    Routine = Status < 500;
  }
  const std::string Name =
      MatchedRoute ? MatchedRoute->Name : std::string("none");
  State.Stats.count("requests", Outcome);
  countForAccount(End);
  State.Stats.observe(Stage::Request, Name, State.now() - ReceivedAt);
  if (Routine && !State.Settings.LogRequests)
    return;
  State.Log.write(
      Routine ? LogClass::Routine : LogClass::Decision, "request",
      {{"id", Id},
       {"route", Name},
       {"service", Service.value()},
       {"account", accountName()},
       {"outcome", Outcome},
       {"status", Status},
       {"ms", milliseconds(State.now() - ReceivedAt)},
       {"worker", LastPick ? LastPick->Worker.Id.value() : ""},
       {"object", Object},
       {"rank",
        static_cast<std::uint64_t>(LastPick ? LastPick->AffinityRank : 0)},
       {"occupancy", LastPick ? LastPick->Occupancy : 0.0},
       {"expected_ms",
        LastPick ? milliseconds(LastPick->ExpectedLatency) : 0.0},
       {"cold", LastPick && LastPick->Cold},
       {"arrivals", WorkersReached},
       {"may_have_run", MayHaveRun},
       {"own_share", MatchedRoute ? State.Dispatch.ownShare(Service) : 1.0},
       {"version", Config ? Config->Version : 0}});
}

} // namespace masticgap::gateway
