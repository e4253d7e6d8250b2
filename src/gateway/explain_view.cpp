#include "gateway/explain_view.hpp"

#include "gateway/request_rules.hpp"
#include "masticgap/transport/request_fingerprint.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <optional>
#include <string>

namespace masticgap::gateway {

namespace http = boost::beast::http;
namespace json = boost::json;
using namespace coordination;

namespace {

//! Request to be explained.
struct ExplainQuery {
  std::string HostName;
  std::string Path;
  std::string Method;
  std::string AccountName;
  std::string Object;
};

//! Returns milliseconds with one decimal.
double milliseconds(double Nanoseconds) {
  return std::round(Nanoseconds / 1e5) / 10;
}

double milliseconds(Duration Time) {
  return milliseconds(static_cast<double>(Time.count()));
}

double hundredths(double Value) { return std::round(Value * 100) / 100; }

const char *text(WorkerEligibility Eligibility) {
  switch (Eligibility) {
  case WorkerEligibility::Eligible:
    return "eligible";
  case WorkerEligibility::Leaving:
    return "leaving";
  case WorkerEligibility::Evacuated:
    return "evacuated";
  case WorkerEligibility::Gone:
    return "gone";
  case WorkerEligibility::NotHomeRegion:
    return "not_home_region";
  case WorkerEligibility::Tried:
    return "tried";
  case WorkerEligibility::Ejected:
    return "ejected";
  case WorkerEligibility::ColdRate:
  case WorkerEligibility::ColdUnseen:
    return "cold_rate";
  case WorkerEligibility::AwaitsRecovery:
    return "awaits_recovery";
  }
  return "";
}

const char *text(DispatchStep Step) {
  switch (Step) {
  case DispatchStep::NoTime:
    return "no_time";
  case DispatchStep::NoWorkers:
    return "no_workers";
  case DispatchStep::Trial:
    return "trial";
  case DispatchStep::Best:
    return "lowest_cost";
  case DispatchStep::Overflow:
    return "overflow";
  case DispatchStep::Overloaded:
    return "overloaded";
  }
  return "";
}

//! Returns why a worker is not chosen; "chosen" if it is.
const char *verdict(const ExplainedWorker &Entry,
                    const DispatchExplanation &Why) {
  if (Entry.Eligibility != WorkerEligibility::Eligible)
    return text(Entry.Eligibility);
  if (Entry.Best)
    return Why.Step == DispatchStep::Overloaded ? "wait_too_long" : "chosen";
  if (Why.Step == DispatchStep::Trial || Why.Step == DispatchStep::NoTime)
    return text(Why.Step);
  const bool Outside = Why.Region && Why.Step != DispatchStep::Overflow &&
                       Entry.Worker.Region != *Why.Region;
  return Outside ? "other_region" : "higher_cost";
}

json::object describe(const ExplainedWorker &Entry,
                      const DispatchExplanation &Why) {
  json::object Out{{"worker", Entry.Worker.Id.value()},
                   {"region", Entry.Worker.Region.value()},
                   {"domain", Entry.Worker.Domain.value()},
                   {"verdict", verdict(Entry, Why)}};
  if (!Entry.Cost || !Entry.Figures)
    return Out;
  const AffinityCost &Cost = *Entry.Cost;
  Out["cost_ms"] = milliseconds(Cost.total());
  Out["queue_ms"] = milliseconds(Cost.QueueWait);
  Out["execution_ms"] = milliseconds(Cost.Execution);
  Out["not_preferred_ms"] = milliseconds(Cost.NotPreferred);
  Out["cold_ms"] = milliseconds(Cost.Cold);
  Out["round_trip_ms"] = milliseconds(Cost.RoundTrip);
  Out["placement_ms"] = milliseconds(Cost.Placement);
  Out["failures_ms"] = milliseconds(Cost.Failures);
  Out["rank"] = Cost.Rank;
  Out["occupancy"] = hundredths(Entry.Figures->Occupancy);
  Out["slots"] = Entry.Figures->Slots;
  return Out;
}

//! Follows a request through the steps of RequestFlow.
class Explanation {
public:
  Explanation(const GatewayState &State, ExplainQuery Query)
      : State(State), Query(std::move(Query)), Now(State.now()),
        Config(State.Config) {}

  std::string run();

private:
  void refuse(LocalAnswer Answer) {
    if (!Refusal)
      Refusal = std::move(Answer);
  }
  void checkAccount();
  void checkCredit();
  void checkQuarantine();
  void explainChoice();
  void conclude(const DispatchExplanation &Why);

  const GatewayState &State;
  ExplainQuery Query;
  Instant Now;
  std::shared_ptr<const TrafficConfig> Config;
  const Route *Matched = nullptr;
  const Account *Caller = nullptr;
  ServiceName Service;
  Instant Deadline;
  std::optional<LocalAnswer> Refusal; //!< The first one.
  json::object Out;
};

std::string Explanation::run() {
  Out["host"] = State.Settings.Host.value();
  Out["version"] = State.configVersion();
  const RouteMatch Match = matchRoute(Config.get(), Query.HostName, Query.Path);
  Matched = Match.Found;
  Out["route"] = Matched ? Matched->Name : "none";
  if (Match.Refusal) {
    refuse(*Match.Refusal);
    conclude({});
    return json::serialize(Out);
  }
  Service = State.Splits.peek(*Matched);
  Out["service"] = Service.value();
  Deadline = Now + Matched->Timeout.value_or(MaxRequestTime);
  checkAccount();
  if (isRefusedByStop(State, *Matched, Service, Deadline, Now))
    refuse(unavailable("stopping", Duration(0)));
  if (State.StopAt)
    Deadline = std::min(Deadline, *State.StopAt);
  checkCredit();
  if (Deadline - Now < MinWorkTime)
    refuse(unavailable("no_time", Duration(0)));
  checkQuarantine();
  explainChoice();
  return json::serialize(Out);
}

void Explanation::checkAccount() {
  if (!needsAccount(*Config, *Matched)) {
    Out["account"] = "not needed";
    return;
  }
  Caller = Config->Accounts->find(AccountName(Query.AccountName));
  Out["account"] = Caller ? Caller->Name.value() : "unknown";
  if (!Caller)
    refuse(unauthorized());
}

void Explanation::checkCredit() {
  if (!Caller || Caller->RatePerSecond <= 0) {
    Out["credit"] = "no limit";
    return;
  }
  const AccountAdmission Decision = State.AccountLimits.preview(*Caller);
  if (const auto *Over = std::get_if<OverLimit>(&Decision)) {
    Out["credit"] = "none";
    refuse({http::status::too_many_requests, "over_limit", Over->RetryAfter});
  } else if (const auto *Allowed = std::get_if<AccountAdmitted>(&Decision)) {
    Out["credit"] = Allowed->ByFloor ? "without owner" : "available";
  } else {
    Out["credit"] = "requested from the owner";
  }
}

void Explanation::checkQuarantine() {
  http::request_header<> Head;
  Head.method_string(Query.Method);
  Head.target(Query.Path);
  const Fingerprint Print =
      transport::requestFingerprint(Head, {}, false, Matched->HostName);
  if (!State.Crashes.isQuarantined(Print, Now)) {
    Out["quarantine"] = "no";
    return;
  }
  const bool TrialDue = State.Crashes.isTrialDue(Print, Now);
  Out["quarantine"] = TrialDue ? "trial" : "yes";
  if (!TrialDue)
    refuse(unavailable("quarantined", State.Crashes.untilTrial(Print, Now)));
}

void Explanation::explainChoice() {
  const RegionLimit Regions = regionLimit(*Matched, Caller);
  if (auto Nowhere = checkRegions(Regions)) {
    // This is checked before credit.
    if (!Refusal || Refusal->Status != http::status::unauthorized)
      Refusal = std::move(Nowhere);
    conclude({});
    return;
  }
  DispatchRequest Request = makeDispatchRequest(*Matched, Caller, Regions);
  Request.Service = Service;
  // The copy draws the object that the next request without one gets.
  std::mt19937_64 Random = State.Random;
  Request.Object = objectOf(*Matched, Service, Query.Object, Random);
  Request.Deadline = Deadline;
  // As RequestFlow does for a request that is not retried.
  if (Config->Accounts)
    Request.Caller = CallerStanding{
        Duration(0),
        State.Shares.limitShift(Caller ? Caller->Name.value() : "", Now)};
  const DispatchExplanation Why = State.Dispatch.explain(Request, Now);
  Out["priority"] = Request.Priority;
  Out["objective_ms"] = milliseconds(Request.LatencyObjective);
  Out["typical_ms"] = milliseconds(Why.TypicalLatency);
  Out["region_share"] = Why.Region ? Why.Region->value() : "any";
  if (const auto *Rejected = std::get_if<Rejection>(&Why.Decision)) {
    Out["queue_ms"] = milliseconds(Rejected->QueueWait);
    refuse(unavailable(reasonText(Rejected->Reason), Rejected->RetryAfter));
  }
  conclude(Why);
}

void Explanation::conclude(const DispatchExplanation &Why) {
  if (Refusal) {
    Out["decision"] = "refused";
    Out["status"] = static_cast<unsigned>(Refusal->Status);
    Out["reason"] = Refusal->Reason;
    Out["retry_after_ms"] = milliseconds(Refusal->RetryAfter);
  } else {
    const auto &Pick = std::get<WorkerPick>(Why.Decision);
    Out["decision"] = "sent";
    Out["worker"] = Pick.Worker.Id.value();
    Out["reason"] = text(Why.Step);
    Out["queue_ms"] = milliseconds(Pick.QueueWait);
    Out["expected_ms"] = milliseconds(Pick.ExpectedLatency);
  }
  json::array Workers;
  for (const ExplainedWorker &Entry : Why.Workers)
    Workers.push_back(describe(Entry, Why));
  Out["workers"] = std::move(Workers);
}

} // namespace

transport::HttpResponse answerExplain(const GatewayState &State,
                                      const transport::HttpRequest &Request) {
  const std::string_view Target(Request.target().data(),
                                Request.target().size());
  const auto Parameter = [&](std::string_view Name) {
    return transport::queryParameter(Target, Name);
  };
  ExplainQuery Query{Parameter("host"), Parameter("path"), Parameter("method"),
                     Parameter("account"), Parameter("object")};
  if (Query.HostName.empty() || !Query.Path.starts_with('/'))
    return transport::errorResponse(
        Request, http::status::bad_request, "bad_request",
        "host is required, and a path that begins with a slash");
  if (Query.Method.empty())
    Query.Method = "GET";
  return transport::jsonResponse(Request, http::status::ok,
                                 Explanation(State, std::move(Query)).run());
}

} // namespace masticgap::gateway
