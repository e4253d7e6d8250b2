#include "gateway/account_view.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <cmath>
#include <string>

namespace masticgap::gateway {

namespace http = boost::beast::http;
namespace json = boost::json;
using namespace coordination;

namespace {

//! Adds the requests since the start of this host.
void addRequests(json::object &Out, const Metrics::AccountTotals *Totals) {
  static const Metrics::AccountTotals None;
  const Metrics::AccountTotals &Known = Totals ? *Totals : None;
  const std::uint64_t Served = Known.of(AccountOutcome::Served);
  const std::uint64_t Limited = Known.of(AccountOutcome::Limited);
  const std::uint64_t Refused = Known.of(AccountOutcome::Refused);
  const std::uint64_t Failed = Known.of(AccountOutcome::Failed);
  Out["asked"] = Served + Limited + Refused + Failed;
  Out["served"] = Served;
  Out["limited"] = Limited;
  Out["refused"] = Refused;
  Out["failed"] = Failed;
  json::object Reasons;
  for (const auto &[Reason, Count] : Known.Reasons)
    Reasons[Reason] = Count;
  Out["reasons"] = std::move(Reasons);
}

void addCredit(json::object &Out, const AccountStatus &Status) {
  Out["credit_requested"] = Status.Totals.Requested;
  Out["credit_granted"] = Status.Totals.Granted;
  Out["credit_held"] = Status.Held;
  Out["without_owner"] = Status.Totals.Floor;
  Out["waiting"] = Status.Waiting;
  Out["owner"] = Status.Owner.value();
  Out["owner_answers"] = Status.OwnerAnswers;
  if (!Status.Bucket)
    return;
  Out["bucket"] = std::round(Status.Bucket->Tokens * 10) / 10;
  Out["starts_in_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                            Status.Bucket->StartsIn)
                            .count();
}

json::object describe(const GatewayState &State, const Account &Subject) {
  const std::string &Name = Subject.Name.value();
  json::object Out{{"name", Name}};
  Out["rate_per_s"] = Subject.RatePerSecond;
  Out["burst_size"] = Subject.BurstSize;
  addRequests(Out, State.Stats.account(Name));
  if (const auto Status = State.AccountLimits.status(Subject))
    addCredit(Out, *Status);
  return Out;
}

} // namespace

transport::HttpResponse answerAccounts(const GatewayState &State,
                                       const transport::HttpRequest &Request) {
  const std::string Name = transport::queryParameter(
      {Request.target().data(), Request.target().size()}, "name");
  json::array Accounts;
  if (State.Config && State.Config->Accounts)
    for (const Account &Each : State.Config->Accounts->accounts())
      if (Name.empty() || Name == Each.Name.value())
        Accounts.push_back(describe(State, Each));
  if (!Name.empty() && Accounts.empty())
    return transport::errorResponse(Request, http::status::not_found,
                                    "not_found",
                                    "the configuration has no such account");
  json::object Out{{"host", State.Settings.Host.value()},
                   {"version", State.configVersion()}};
  Out["accounts"] = std::move(Accounts);
  return transport::jsonResponse(Request, http::status::ok,
                                 json::serialize(Out));
}

} // namespace masticgap::gateway
