#include "ctl/fleet_access.hpp"

#include "masticgap/protocol/member_json.hpp"
#include "masticgap/state/captured.hpp"
#include "masticgap/state/json_reader.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace masticgap::ctl {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using transport::HttpResponse;

namespace {

//! Time between two polls of the hosts until a version is in force.
constexpr std::chrono::milliseconds PollInterval{200};

//! Parses the body of GET /status.
void parseStatus(const std::string &Body, HostStatus &Out) {
  JsonErrors Errors(ErrorKind::Protocol);
  const boost::json::value Json = parseJson(Body, Errors);
  ObjectReader Reader(Json, "", Errors);
  Reader.name("host", Out.Host.Id);
  Reader.integer("config_version", Out.ConfigVersion, 0, ~0ULL);
  Reader.flag("draining", Out.Draining);
  if (Errors)
    Out.Problem = describe(Errors.first());
}

//! Returns the message of an error body; empty if there is none.
std::string errorMessage(const HttpResponse &Answer) {
  JsonErrors Errors(ErrorKind::Protocol);
  const boost::json::value Json = parseJson(Answer.body(), Errors);
  ObjectReader Reader(Json, "", Errors);
  std::string Message;
  Reader.text("message", Message, 1000);
  return Message;
}

boost::leaf::error_id unexpectedStatus(const FleetHost &Host,
                                       std::string_view Path,
                                       const HttpResponse &Answer) {
  std::string Remedy = errorMessage(Answer);
  if (Remedy.empty())
    Remedy = "check that it is an entry host's admin port";
  return boost::leaf::new_error(Error{ErrorKind::Unavailable,
                                      "entry host " + Host.Id + " answered " +
                                          std::to_string(Answer.result_int()) +
                                          " to " + std::string(Path),
                                      std::move(Remedy)});
}

boost::leaf::result<HttpResponse>
sendRequest(const FleetHost &Host, http::verb Method, std::string_view Path,
            std::string Body, std::chrono::milliseconds Timeout) {
  try {
    return transport::fetchNow(
        Host.Admin,
        transport::makeRequest(Method, Host.Admin, Path, std::move(Body)),
        Timeout);
  } catch (const boost::system::system_error &E) {
    return boost::leaf::new_error(Error{
        ErrorKind::Unavailable,
        "entry host " + Host.Id + " gave no answer (" + E.code().message() +
            ")",
        "check --entry, or leave it out to take the hosts of the platform"});
  }
}

} // namespace

FleetAccess::FleetAccess(std::vector<FleetHost> Candidates,
                         std::chrono::milliseconds Timeout)
    : Candidates(std::move(Candidates)), Timeout(Timeout) {}

std::vector<FleetHost> FleetAccess::liveHosts() const {
  using Members = std::vector<coordination::MemberRecord>;
  for (const FleetHost &Host : Candidates) {
    const auto Answer = capture<Members>([&]() -> boost::leaf::result<Members> {
      BOOST_LEAF_AUTO(Body, get(Host, "/peer/members"));
      return protocol::parseMembers(Body);
    });
    const auto *Received = std::get_if<Members>(&Answer);
    if (!Received)
      continue;
    std::vector<FleetHost> Live;
    for (const auto &Member : *Received)
      if (coordination::isLive(Member))
        Live.push_back({Member.Host.Id.value(),
                        {Member.Host.Address, Member.Host.AdminPort}});
    std::sort(Live.begin(), Live.end(),
              [](const auto &A, const auto &B) { return A.Id < B.Id; });
    return Live;
  }
  return Candidates;
}

std::vector<HostStatus>
FleetAccess::status(const std::vector<FleetHost> &Hosts) const {
  std::vector<HostStatus> Out;
  for (const FleetHost &Host : Hosts)
    Out.push_back({Host, 0, false, ""});
  asio::io_context Io(1);
  for (HostStatus &Status : Out)
    transport::fetch(
        Io, Status.Host.Admin,
        transport::makeRequest(http::verb::get, Status.Host.Admin, "/status"),
        Timeout,
        [&Status](boost::system::error_code Failure,
                  const HttpResponse &Answer) {
          if (Failure)
            Status.Problem = "no answer: " + Failure.message();
          else if (Answer.result() != http::status::ok)
            Status.Problem = "answered " + std::to_string(Answer.result_int());
          else
            parseStatus(Answer.body(), Status);
        });
  Io.run();
  return Out;
}

RolloutReport
FleetAccess::waitUntilInForce(std::uint64_t Version,
                              std::chrono::milliseconds Limit) const {
  const auto End = std::chrono::steady_clock::now() + Limit;
  for (;;) {
    RolloutReport Report;
    for (HostStatus &Status : status(liveHosts())) {
      if (Status.Problem.empty() && Status.ConfigVersion >= Version)
        ++Report.InForce;
      else
        Report.Lacking.push_back(std::move(Status));
    }
    if (Report.complete() || Candidates.empty() ||
        std::chrono::steady_clock::now() + PollInterval > End)
      return Report;
    asio::io_context Io(1);
    asio::steady_timer Timer(Io, PollInterval);
    Timer.wait();
  }
}

bool FleetAccess::notify(std::uint64_t Version) const {
  const std::string Body =
      boost::json::serialize(boost::json::object{{"version", Version}});
  for (const FleetHost &Host : Candidates) {
    const auto Outcome = capture<bool>([&]() -> boost::leaf::result<bool> {
      BOOST_LEAF_CHECK(post(Host, "/config/notify", Body));
      return true;
    });
    if (std::holds_alternative<bool>(Outcome))
      return true;
  }
  return false;
}

boost::leaf::result<std::string> FleetAccess::get(std::string_view Path) const {
  Error Last{ErrorKind::Unavailable, "no entry host is known",
             "give --entry ip:port of an admin port"};
  for (const FleetHost &Host : Candidates) {
    auto Body = capture<std::string>([&] { return get(Host, Path); });
    if (auto *Text = std::get_if<std::string>(&Body))
      return std::move(*Text);
    Last = std::get<Error>(std::move(Body));
  }
  return boost::leaf::new_error(std::move(Last));
}

boost::leaf::result<std::string> FleetAccess::get(const FleetHost &Host,
                                                  std::string_view Path) const {
  BOOST_LEAF_AUTO(Answer,
                  sendRequest(Host, http::verb::get, Path, "", Timeout));
  if (Answer.result() != http::status::ok)
    return unexpectedStatus(Host, Path, Answer);
  return Answer.body();
}

boost::leaf::result<void> FleetAccess::post(const FleetHost &Host,
                                            std::string_view Path,
                                            std::string Body) const {
  BOOST_LEAF_AUTO(Answer, sendRequest(Host, http::verb::post, Path,
                                      std::move(Body), Timeout));
  if (http::to_status_class(Answer.result()) != http::status_class::successful)
    return unexpectedStatus(Host, Path, Answer);
  return {};
}

} // namespace masticgap::ctl
