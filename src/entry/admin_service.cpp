#include "entry/admin_service.hpp"

#include "masticgap/coordination/event_json.hpp"
#include "masticgap/protocol/platform_json.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <sstream>
#include <string_view>
#include <utility>

namespace masticgap::entry {

namespace http = boost::beast::http;
namespace json = boost::json;
using namespace coordination;
using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpServer;
using transport::jsonResponse;

namespace {

std::string_view target(const HttpRequest &Request) {
  return {Request.target().data(), Request.target().size()};
}

std::string_view statusText(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return "alive";
  case MemberStatus::Suspect:
    return "suspect";
  case MemberStatus::Dead:
    return "dead";
  case MemberStatus::Left:
    return "left";
  }
  return "dead";
}

json::string_view view(std::string_view Text) {
  return {Text.data(), Text.size()};
}

json::object memberJson(const MemberRecord &Record) {
  json::object Member = protocol::toJson(Record.Host);
  Member["status"] = view(statusText(Record.Status));
  Member["revision"] = Record.Revision;
  Member["draining"] = Record.Draining;
  Member["config_version"] = Record.ConfigVersion;
  Member["epoch"] = Record.Epoch;
  return Member;
}

json::array membersJson(const SteeringSnapshot &Snapshot) {
  json::array List;
  for (const MemberRecord &Each : Snapshot.Members)
    List.push_back(memberJson(Each));
  return List;
}

HttpResponse textResponse(const HttpRequest &Request, const char *Type,
                          std::string Body) {
  HttpResponse Answer =
      jsonResponse(Request, http::status::ok, std::move(Body));
  Answer.set(http::field::content_type, Type);
  return Answer;
}

//! Adds the members to the state document of the forwarding thread.
std::string withMembers(const std::string &State, json::array Members) {
  json::error_code Failure;
  json::value Document = json::parse(State, Failure);
  if (Failure || !Document.is_object())
    return State;
  Document.as_object()["members"] = std::move(Members);
  return json::serialize(Document);
}

} // namespace

AdminService::AdminService(Control &Owner, TrafficDocuments Documents)
    : Owner(Owner), Documents(std::move(Documents)) {}

void AdminService::handle(const HttpRequest &Request,
                          const HttpServer::Reply &Reply) {
  const std::string_view Path = transport::targetPath(target(Request));
  const bool Get = Request.method() == http::verb::get;
  if (Get && Path == "/state")
    return Documents.State([this, Request, Reply](const std::string &State) {
      Reply(jsonResponse(Request, http::status::ok,
                         withMembers(State, membersJson(Owner.snapshot()))));
    });
  if (Get && Path == "/metrics")
    return Documents.Metrics([this, Request, Reply](const std::string &Text) {
      Reply(textResponse(Request, "text/plain; version=0.0.4",
                         Text + controlMetrics()));
    });
  Reply(answer(Request));
}

HttpResponse AdminService::answer(const HttpRequest &Request) {
  const std::string_view Path = transport::targetPath(target(Request));
  if (Request.method() == http::verb::get) {
    if (Path == "/health")
      return health(Request);
    if (Path == "/status")
      return status(Request);
    if (Path == "/events")
      return events(Request);
    if (Path == "/peer/config")
      return config(Request);
    if (Path == "/peer/members")
      return members(Request);
    if (Path == "/peer/hosts")
      return hosts(Request);
  }
  if (Request.method() == http::verb::post) {
    if (Path == "/config/notify")
      return notify(Request);
    if (Path == "/drain")
      return drain(Request);
    if (Path == "/undrain")
      return errorResponse(Request, http::status::conflict, "not_supported",
                           "a drained entry host cannot take callers again; "
                           "restart its process");
  }
  return errorResponse(Request, http::status::not_found, "not_found",
                       "request one of GET /health /status /state /metrics "
                       "/events /peer/config /peer/members /peer/hosts, POST "
                       "/config/notify /drain /undrain");
}

HttpResponse AdminService::hosts(const HttpRequest &Request) const {
  if (!Owner.hostList())
    return errorResponse(Request, http::status::service_unavailable,
                         "unavailable",
                         "this entry host has no host list yet; ask another");
  return jsonResponse(Request, http::status::ok,
                      protocol::toJson(*Owner.hostList()));
}

HttpResponse AdminService::health(const HttpRequest &Request) const {
  const ConfigHealth Health = Owner.follower().health(Owner.now());
  json::object Body;
  Body["status"] = Health.Version == 0 ? "no_configuration" : "ok";
  Body["config_version"] = Health.Version;
  Body["newest_version_heard"] = Health.NewestKnown;
  Body["reader"] = Health.Reader;
  Body["store_reachable"] = Health.StoreReachable;
  Body["cut_off"] = Health.CutOff;
  Body["draining"] = Owner.isDraining();
  const auto Status = Health.Version == 0 ? http::status::service_unavailable
                                          : http::status::ok;
  return jsonResponse(Request, Status, json::serialize(Body));
}

HttpResponse AdminService::status(const HttpRequest &Request) const {
  const SteeringSnapshot &Snapshot = Owner.snapshot();
  json::object Body;
  Body["host"] = Snapshot.Self.Id.value();
  Body["incarnation"] = Snapshot.Self.Run.Value;
  Body["config_version"] = Snapshot.Config ? Snapshot.Config->Version : 0;
  Body["draining"] = Owner.isDraining();
  return jsonResponse(Request, http::status::ok, json::serialize(Body));
}

HttpResponse AdminService::events(const HttpRequest &Request) const {
  const std::string Since = transport::queryParameter(target(Request), "since");
  std::uint64_t Sequence = 0;
  const auto [End, Failure] =
      std::from_chars(Since.data(), Since.data() + Since.size(), Sequence);
  if (!Since.empty() &&
      (Failure != std::errc() || End != Since.data() + Since.size()))
    return errorResponse(Request, http::status::bad_request, "invalid_request",
                         "since is not a whole number; send the sequence of "
                         "the last event that you have");
  std::string Lines;
  for (const Event &Each : Owner.events().since(Sequence)) {
    Lines += toJsonLine(Each);
    Lines += '\n';
  }
  return textResponse(Request, "application/x-ndjson", std::move(Lines));
}

HttpResponse AdminService::config(const HttpRequest &Request) const {
  const ConfigDocument *Document = Owner.follower().current();
  if (!Document)
    return errorResponse(Request, http::status::not_found, "not_found",
                         "this entry host has no configuration yet; ask "
                         "another one");
  return jsonResponse(Request, http::status::ok, toJson(*Document));
}

HttpResponse AdminService::members(const HttpRequest &Request) const {
  json::object Body;
  Body["members"] = membersJson(Owner.snapshot());
  return jsonResponse(Request, http::status::ok, json::serialize(Body));
}

HttpResponse AdminService::notify(const HttpRequest &Request) {
  json::error_code Failure;
  const json::value Body = json::parse(Request.body(), Failure);
  const json::value *Version = nullptr;
  if (!Failure && Body.is_object())
    Version = Body.as_object().if_contains("version");
  const auto Number = Version ? Version->to_number<std::uint64_t>(Failure) : 0;
  if (!Version || Failure)
    return errorResponse(Request, http::status::bad_request, "invalid_request",
                         "send {\"version\":N}");
  Owner.configNotified(Number);
  return jsonResponse(Request, http::status::ok, "{}");
}

HttpResponse AdminService::drain(const HttpRequest &Request) {
  Owner.setDraining();
  return status(Request);
}

std::string AdminService::controlMetrics() const {
  std::ostringstream Out;
  const transport::GossipCounters &Counters = Owner.gossip()->counters();
  Out << "# TYPE masticgap_control_bytes_total counter\n"
      << "masticgap_control_bytes_total{channel=\"gossip_sent\"} "
      << Counters.BytesSent << '\n'
      << "masticgap_control_bytes_total{channel=\"gossip_received\"} "
      << Counters.BytesReceived << '\n'
      << "# TYPE masticgap_members gauge\nmasticgap_members "
      << Owner.snapshot().Members.size() << '\n';
  return Out.str();
}

} // namespace masticgap::entry
