#include "standins/caller/caller.hpp"

#include "masticgap/transport/http_fetch.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <thread>

namespace masticgap::standins {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

double millisecondsSince(Clock::time_point Start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - Start)
      .count();
}

std::string headerText(const HttpResponse &Answer, const char *Name) {
  const auto Value = Answer[Name];
  return {Value.data(), Value.size()};
}

} // namespace

Caller::Caller(CallerSettings Settings)
    : Settings(std::move(Settings)), Random(this->Settings.Seed) {
  NextLookup = Random();
}

CallerReport Caller::run() {
  const auto End = Clock::now() + Settings.Length;
  std::exponential_distribution<double> Pause(1.0);
  while (Clock::now() < End) {
    const CallerService &Service = drawService();
    if (Settings.LookupsOnly) {
      CachedLookup Unused;
      lookUp(Service.Name, Unused);
    } else if (Service.Repeatable) {
      sendRepeatable(Service);
    } else {
      sendNonRepeatable(Service);
    }
    std::this_thread::sleep_for(Settings.Pause * Pause(Random));
  }
  return std::move(Report);
}

const CallerService &Caller::drawService() {
  double Sum = 0;
  for (const auto &Service : Settings.Services)
    Sum += Service.Weight;
  double Draw = std::uniform_real_distribution<double>(0, Sum)(Random);
  for (const auto &Service : Settings.Services) {
    Draw -= Service.Weight;
    if (Draw < 0)
      return Service;
  }
  return Settings.Services.back();
}

HttpConnection &Caller::connection(const Endpoint &To) {
  auto &Slot = Connections[To];
  if (!Slot)
    Slot = std::make_unique<HttpConnection>(To, Settings.Source);
  return *Slot;
}

bool Caller::lookUp(const std::string &Service, CachedLookup &Entry) {
  // Queries the entry hosts in turn until one answers.
  for (std::size_t Try = 0; Try < Settings.Lookups.size(); ++Try) {
    const Endpoint &To = Settings.Lookups[NextLookup % Settings.Lookups.size()];
    HttpRequest Request = transport::makeRequest(http::verb::get, To,
                                                 "/lookup?service=" + Service);
    Request.keep_alive(true);
    HttpResponse Answer;
    const auto Start = Clock::now();
    const auto End = connection(To).exchange(Request, Settings.Timeout, Answer);
    ++Report.Lookups;
    if (End == ExchangeEnd::Completed && Answer.result() == http::status::ok) {
      Report.LookupMs.push_back(millisecondsSince(Start));
      if (Settings.LookupsOnly)
        return true;
      const auto Json = boost::json::parse(Answer.body());
      Entry.Targets.clear();
      for (const auto &Item : Json.at("targets").as_array())
        Entry.Targets.push_back(
            {{boost::json::value_to<std::string>(Item.at("address")),
              Item.at("traffic_port").to_number<std::uint16_t>()},
             boost::json::value_to<std::string>(Item.at("key_prefix"))});
      const std::chrono::milliseconds Ttl(
          Json.at("ttl_ms").to_number<std::int64_t>());
      Entry.ExpiresAt = Clock::now() + Ttl;
      return !Entry.Targets.empty();
    }
    ++Report.FailedLookups;
    ++NextLookup;
  }
  return false;
}

const std::vector<Caller::Target> *Caller::targets(const std::string &Service) {
  CachedLookup &Entry = Cache[Service];
  if (!Settings.Direct.empty()) {
    Entry.Targets.clear();
    for (const Endpoint &Worker : Settings.Direct[Service])
      Entry.Targets.push_back({Worker, ""});
    std::ranges::shuffle(Entry.Targets, Random);
    return &Entry.Targets;
  }
  if (Clock::now() >= Entry.ExpiresAt && !lookUp(Service, Entry))
    return Entry.Targets.empty() ? nullptr : &Entry.Targets;
  return &Entry.Targets;
}

std::string Caller::attempt(const Target &To, const CallerService &Service,
                            const std::string &Key, const std::string &Id) {
  HttpRequest Request = transport::makeRequest(
      Service.Repeatable ? http::verb::get : http::verb::post, To.Address,
      "/" + Service.Name + "/" + Id, Service.Repeatable ? "" : Settings.Marker);
  Request.keep_alive(true);
  Request.set("Masticgap-Request-Id", Id);
  Request.set("Masticgap-Deadline-Ms",
              std::to_string(Settings.Timeout.count()));
  if (!Key.empty())
    Request.set("Idempotency-Key", Key);
  HttpResponse Answer;
  const auto Start = Clock::now();
  const auto End =
      connection(To.Address).exchange(Request, 2 * Settings.Timeout, Answer);
  if (End == ExchangeEnd::ConnectFailed)
    return "no-connection";
  if (End == ExchangeEnd::Broken) {
    ++Report.Broken;
    return "broken";
  }
  std::string Outcome = headerText(Answer, "Masticgap-Outcome");
  if (Outcome.empty())
    Outcome = Answer.result() == http::status::ok ? "answered" : "not-run";
  if (Outcome != "answered") {
    ++Report.Reasons[std::to_string(Answer.result_int()) + " " +
                     Answer.body().substr(0, 120)];
    return Outcome;
  }
  const double Milliseconds = millisecondsSince(Start);
  Report.RequestMs.push_back(Milliseconds);
  Report.ServiceMs[Service.Name].push_back(Milliseconds);
  if (!matchesRequest(Answer, Id, Key))
    ++Report.WrongAnswers;
  return Outcome;
}

bool Caller::matchesRequest(const HttpResponse &Answer, const std::string &Id,
                            const std::string &Key) const {
  boost::json::error_code Failure;
  const auto Json = boost::json::parse(Answer.body(), Failure);
  if (Failure || !Json.is_object())
    return false;
  const auto *EchoedTarget = Json.as_object().if_contains("target");
  const auto *EchoedKey = Json.as_object().if_contains("key");
  if (!EchoedTarget || !EchoedTarget->is_string() || !EchoedKey ||
      !EchoedKey->is_string())
    return false;
  const std::string Path(EchoedTarget->as_string());
  return Path.ends_with("/" + Id) && std::string(EchoedKey->as_string()) == Key;
}

void Caller::sendRepeatable(const CallerService &Service) {
  const std::string Id = Settings.Name + "-" + std::to_string(++LastRequest);
  const auto *Available = targets(Service.Name);
  std::string Outcome = "no-lookup";
  if (Available) {
    for (const Target &To : std::vector<Target>(*Available)) {
      Outcome = attempt(To, Service, "", Id);
      if (Outcome != "no-connection" && Outcome != "broken")
        break;
      // Forces a look-up before the next request.
      Cache[Service.Name].ExpiresAt = {};
    }
  }
  ++Report.Outcomes[Outcome];
}

void Caller::sendNonRepeatable(const CallerService &Service) {
  const std::string Id = Settings.Name + "-" + std::to_string(++LastRequest);
  const auto *Available = targets(Service.Name);
  if (!Available) {
    ++Report.Outcomes["no-lookup"];
    return;
  }
  const std::vector<Target> Hosts = *Available;
  std::uniform_real_distribution<double> Draw(0, 1);
  const bool Bare = Draw(Random) < Settings.BareShare;
  KeyRecord Record{(Bare ? "" : Hosts.front().KeyPrefix) + Id, Service.Name,
                   "none", 0};
  // Retries with the same key at the next entry host while the outcome is
  // uncertain.
  for (unsigned Send = 0; Send < Settings.MaxSends; ++Send) {
    const std::string Outcome =
        attempt(Hosts[Send % Hosts.size()], Service, Record.Key, Id);
    ++Record.Sends;
    if (Outcome == "answered" || Outcome == "not-run" || Outcome == "unknown")
      Record.ReportedOutcome = Outcome;
    if (Outcome == "answered" || Outcome == "not-run")
      break;
    Cache[Service.Name].ExpiresAt = {};
  }
  ++Report.Outcomes[Record.ReportedOutcome];
  Report.Keys.push_back(std::move(Record));
}

} // namespace masticgap::standins
