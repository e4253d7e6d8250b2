#include "standins/worker/worker.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <cstdlib>

namespace masticgap::standins {

namespace http = boost::beast::http;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

//! Header that the server sets to the address of the peer.
constexpr char PeerHeader[] = "Standin-Peer-Address";

std::string header(const HttpRequest &Request, const char *Name) {
  const auto Value = Request[Name];
  return {Value.data(), Value.size()};
}

//! Copies the request id to the answer, so that a late answer can be matched
//! with its request.
void copyRequestId(HttpResponse &Answer, const HttpRequest &Request) {
  constexpr char Field[] = "Masticgap-Request-Id";
  if (const std::string Id = header(Request, Field); !Id.empty())
    Answer.set(Field, Id);
}

transport::HttpServerLimits limits() {
  transport::HttpServerLimits Limits;
  Limits.MaxBodyBytes = 64 * 1024 * 1024;
  Limits.PeerAddressHeader = PeerHeader;
  return Limits;
}

} // namespace

Worker::Worker(boost::asio::io_context &Io, WorkerSettings Settings,
               std::optional<NetworkMap> Network)
    : Io(Io), Settings(std::move(Settings)), Network(std::move(Network)),
      Random(this->Settings.Seed),
      Server(Io, this->Settings.Bind, limits(),
             [this](HttpRequest Request, const Reply &Respond) {
               handle(std::move(Request), Respond);
             }) {}

void Worker::handle(HttpRequest Request, const Reply &Respond) {
  const std::string Target(Request.target().data(), Request.target().size());
  if (Target == "/_control")
    return control(Request, Respond);
  if (Target == "/_stats")
    return Respond(transport::jsonResponse(
        Request, http::status::ok, boost::json::serialize(Log.toJson())));
  if (Target == "/_health")
    return respondAfter(
        roundTrip(Request),
        transport::jsonResponse(Request, http::status::ok, "{}"), Respond);
  if (Target == "/_load")
    return respondAfter(
        roundTrip(Request),
        transport::jsonResponse(Request, http::status::ok, loadText()),
        Respond);
  serve(std::move(Request), Respond);
}

std::string Worker::loadText() const {
  boost::json::object Load;
  Load["in_use"] = Fault.ReportedInUse.value_or(InUse);
  Load["slots"] = Settings.Slots;
  Load["leaving"] = LeavingSinceMs.has_value();
  Load["incarnation"] = Settings.Run.Value;
  return boost::json::serialize(Load);
}

void Worker::serve(HttpRequest Request, const Reply &Respond) {
  if (Fault.Silent) {
    // Keeps the connection open without an answer.
    Unanswered.push_back(Respond);
    return;
  }
  if (!Fault.CrashOn.empty() &&
      Request.body().find(Fault.CrashOn) != std::string::npos) {
    LOG(ERROR) << "crashing on a request, as requested through /_control";
    std::_Exit(3);
  }
  if (LeavingSinceMs) {
    const auto Since = transport::unixMilliseconds() - *LeavingSinceMs;
    if (Since >= static_cast<std::uint64_t>(Settings.LeavingGrace.count()))
      Log.recordLateArrival();
    if (Fault.RefusesWhenLeaving)
      return refuse(Request, "leaving", Respond);
  }
  if (InUse >= Settings.Slots)
    return refuse(Request, "full", Respond);
  ++InUse;
  Log.recordInUse(InUse);
  Log.recordStart(header(Request, "Idempotency-Key"));
  std::exponential_distribution<double> Draw(1 / Settings.ServiceMs);
  const Duration Service(
      static_cast<std::int64_t>((Draw(Random) + Fault.ExtraMs) * 1e6));
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Service);
  Timer->async_wait([this, Timer, Request = std::move(Request),
                     Respond](boost::system::error_code) {
    --InUse;
    if (InUse == 0 && LeavingSinceMs)
      Log.recordDrain(transport::unixMilliseconds() - *LeavingSinceMs);
    answer(Request, Respond);
  });
}

void Worker::answer(const HttpRequest &Request, const Reply &Respond) {
  boost::json::object Body;
  Body["worker"] = Settings.Id;
  Body["service"] = Settings.Service;
  Body["request_id"] = header(Request, "Masticgap-Request-Id");
  Body["key"] = header(Request, "Idempotency-Key");
  Body["target"] = boost::json::string_view(Request.target().data(),
                                            Request.target().size());
  Body["padding"] = std::string(Settings.AnswerBytes, 'x');
  HttpResponse Answer = transport::jsonResponse(Request, http::status::ok,
                                                boost::json::serialize(Body));
  copyRequestId(Answer, Request);
  Answer.set("Worker-Load",
             std::to_string(Fault.ReportedInUse.value_or(InUse)) + "/" +
                 std::to_string(Settings.Slots));
  Log.recordTransfer(regionOf(Request), Request.body().size(),
                     Answer.body().size(), transport::unixMilliseconds());
  respondAfter(roundTrip(Request), std::move(Answer), Respond);
}

void Worker::refuse(const HttpRequest &Request, const char *Reason,
                    const Reply &Respond) {
  Log.recordRefusal();
  HttpResponse Answer =
      transport::errorResponse(Request, http::status::service_unavailable,
                               "refused", "the worker takes no new work now");
  copyRequestId(Answer, Request);
  Answer.set("Worker-Refused", Reason);
  respondAfter(roundTrip(Request), std::move(Answer), Respond);
}

void Worker::control(const HttpRequest &Request, const Reply &Respond) {
  const auto Json = boost::json::parse(Request.body()).as_object();
  if (const auto *Leaving = Json.if_contains("leaving")) {
    LeavingSinceMs.reset();
    if (Leaving->as_bool())
      LeavingSinceMs = transport::unixMilliseconds();
  }
  if (const auto *Value = Json.if_contains("refuses_when_leaving"))
    Fault.RefusesWhenLeaving = Value->as_bool();
  if (const auto *Value = Json.if_contains("silent"))
    Fault.Silent = Value->as_bool();
  if (const auto *Value = Json.if_contains("crash_on"))
    Fault.CrashOn = std::string(Value->as_string());
  if (const auto *Value = Json.if_contains("extra_ms"))
    Fault.ExtraMs = Value->to_number<double>();
  if (const auto *Value = Json.if_contains("reported_in_use"))
    Fault.ReportedInUse = Value->to_number<unsigned>();
  Respond(transport::jsonResponse(Request, http::status::ok, "{}"));
}

std::string Worker::regionOf(const HttpRequest &Request) const {
  const std::string Peer = header(Request, PeerHeader);
  const Place *From = Network ? Network->find(Peer) : nullptr;
  return From ? From->Region.value() : std::string("unknown");
}

Duration Worker::roundTrip(const HttpRequest &Request) const {
  if (!Network)
    return {};
  const Place *From = Network->find(header(Request, PeerHeader));
  const Place *To = Network->find(Settings.Bind.Address);
  return From && To ? Network->roundTrip(*From, *To) : Duration{};
}

void Worker::respondAfter(Duration Delay, HttpResponse Answer,
                          const Reply &Respond) {
  if (Delay == Duration{})
    return Respond(std::move(Answer));
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io, Delay);
  Timer->async_wait([Timer, Answer = std::move(Answer),
                     Respond](boost::system::error_code) mutable {
    Respond(std::move(Answer));
  });
}

} // namespace masticgap::standins
