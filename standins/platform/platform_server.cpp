#include "standins/platform/platform_server.hpp"

#include "masticgap/state/captured.hpp"
#include "masticgap/state/json_reader.hpp"
#include "masticgap/transport/boot_clock.hpp"
#include "masticgap/transport/http_server.hpp"
#include "standins/platform/rate_meter.hpp"
#include "standins/platform/table.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace masticgap::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpServer;

namespace {

constexpr std::size_t DefaultScanLimit = 1000;
constexpr std::uint64_t MaxDelayMs = 3'600'000;
constexpr std::uint64_t MaxRequestBytes = 64 * 1024 * 1024;

transport::HttpServerLimits serverLimits() {
  transport::HttpServerLimits Limits;
  Limits.MaxBodyBytes = MaxRequestBytes;
  return Limits;
}

//! Faults that are active; set with /_fault.
struct Faults {
  bool Down = false;
  bool LoseAnswers = false;
  bool ServeOld = false;
  std::uint64_t SlowMs = 0;
};

} // namespace

class PlatformServer::Impl : public std::enable_shared_from_this<Impl> {
public:
  explicit Impl(asio::io_context &Io) : Io(Io) {}

  void bind(const Endpoint &Bind) {
    Server.emplace(Io, Bind, serverLimits(),
                   [this](const HttpRequest &Request, HttpServer::Reply Reply) {
                     serve(Request, std::move(Reply));
                   });
  }
  Endpoint local() const { return Server->local(); }
  void setHosts(protocol::HostList Hosts);
  void setLag(std::chrono::milliseconds Value) { Lag = Value; }
  void close() { Server.reset(); }

private:
  using RequestHandler = HttpResponse (Impl::*)(const HttpRequest &);

  void serve(const HttpRequest &Request, HttpServer::Reply Reply);
  //! Counts reads and writes, including failed ones. Changes of the host list
  //! do not count: they are test control.
  void count(const HttpRequest &Request);
  void replyAfter(std::chrono::milliseconds Delay, HttpServer::Reply Reply,
                  HttpResponse Answer);
  //! Publishes a host list. Drops a list that was issued before the published
  //! one, because the lag may have been shortened in between.
  void publishHosts(std::uint64_t Issue, const std::string &Text) {
    if (Issue < PublishedIssue)
      return;
    PublishedIssue = Issue;
    PublishedHosts = Text;
  }
  HttpResponse answer(const HttpRequest &Request);
  HttpResponse transact(const HttpRequest &Request);
  HttpResponse readRow(const HttpRequest &Request);
  HttpResponse scan(const HttpRequest &Request);
  HttpResponse object(const HttpRequest &Request);
  HttpResponse hosts(const HttpRequest &Request);
  HttpResponse markLeaving(const HttpRequest &Request);
  HttpResponse setFaults(const HttpRequest &Request);
  HttpResponse stats(const HttpRequest &Request);

  asio::io_context &Io;
  std::optional<HttpServer> Server;
  Table Rows;
  std::map<std::string, std::string> Objects;
  protocol::HostList Hosts;
  std::string PublishedHosts = R"({"workers":[],"entry_hosts":[]})";
  std::uint64_t LastIssue = 0;
  std::uint64_t PublishedIssue = 0;
  std::chrono::milliseconds Lag{0};
  Faults ActiveFaults;
  RateMeter Reads;
  RateMeter Writes;
};

namespace {

HttpResponse refuse(const HttpRequest &Request, const Error &E) {
  return transport::errorResponse(Request, http::status::bad_request,
                                  toString(E.Kind), describe(E));
}

std::string_view pathOf(const HttpRequest &Request) {
  return transport::targetPath(
      {Request.target().data(), Request.target().size()});
}

std::string parameter(const HttpRequest &Request, std::string_view Name) {
  return transport::queryParameter(
      {Request.target().data(), Request.target().size()}, Name);
}

} // namespace

void PlatformServer::Impl::setHosts(protocol::HostList NewHosts) {
  Hosts = std::move(NewHosts);
  std::string Text = protocol::toJson(Hosts);
  const std::uint64_t Issue = ++LastIssue;
  if (Lag.count() == 0)
    return publishHosts(Issue, Text);
  auto Timer = std::make_shared<asio::steady_timer>(Io, Lag);
  Timer->async_wait(
      [Self = shared_from_this(), Timer, Issue,
       Text = std::move(Text)](boost::system::error_code Failure) {
        if (!Failure)
          Self->publishHosts(Issue, Text);
      });
}

void PlatformServer::Impl::serve(const HttpRequest &Request,
                                 HttpServer::Reply Reply) {
  const std::string_view Path = pathOf(Request);
  if (Path == "/_fault")
    return Reply(setFaults(Request));
  if (Path == "/_stats")
    return Reply(stats(Request));
  count(Request);
  if (ActiveFaults.Down) {
    HttpResponse Answer = transport::errorResponse(
        Request, http::status::service_unavailable, "unavailable",
        "the platform is down; try again later");
    Answer.keep_alive(false);
    return Reply(std::move(Answer));
  }
  HttpResponse Answer = answer(Request);
  // The request has taken effect; dropping the reply closes the connection.
  if (ActiveFaults.LoseAnswers)
    return;
  if (ActiveFaults.SlowMs > 0)
    return replyAfter(std::chrono::milliseconds(ActiveFaults.SlowMs),
                      std::move(Reply), std::move(Answer));
  Reply(std::move(Answer));
}

void PlatformServer::Impl::count(const HttpRequest &Request) {
  const std::string_view Path = pathOf(Request);
  if (Request.method() == http::verb::get)
    Reads.count(transport::now());
  else if (!Path.starts_with("/hosts"))
    Writes.count(transport::now());
}

void PlatformServer::Impl::replyAfter(std::chrono::milliseconds Delay,
                                      HttpServer::Reply Reply,
                                      HttpResponse Answer) {
  auto Timer = std::make_shared<asio::steady_timer>(Io, Delay);
  Timer->async_wait(
      [Timer, Reply = std::move(Reply),
       Answer = std::move(Answer)](boost::system::error_code Failure) {
        if (!Failure)
          Reply(Answer);
      });
}

HttpResponse PlatformServer::Impl::answer(const HttpRequest &Request) {
  const std::string_view Path = pathOf(Request);
  const http::verb Method = Request.method();
  if (Path == "/table/transact" && Method == http::verb::post)
    return transact(Request);
  if (Path == "/table/row" && Method == http::verb::get)
    return readRow(Request);
  if (Path == "/table/scan" && Method == http::verb::get)
    return scan(Request);
  if (Path.starts_with("/objects/"))
    return object(Request);
  if (Path == "/hosts")
    return hosts(Request);
  if (Path == "/hosts/leaving" && Method == http::verb::post)
    return markLeaving(Request);
  return transport::errorResponse(Request, http::status::not_found, "not_found",
                                  "no such path or method");
}

HttpResponse PlatformServer::Impl::transact(const HttpRequest &Request) {
  using Ops = std::vector<coordination::StoreOp>;
  const auto Parsed =
      capture<Ops>([&] { return protocol::parseTransact(Request.body()); });
  if (const Error *E = std::get_if<Error>(&Parsed))
    return refuse(Request, *E);
  const Table::Result R = Rows.transact(std::get<Ops>(Parsed));
  if (R.Failed.empty())
    return transport::jsonResponse(
        Request, http::status::ok,
        json::serialize(json::object{{"version", R.Version}}));
  const json::array Failed(R.Failed.begin(), R.Failed.end());
  return transport::jsonResponse(
      Request, http::status::conflict,
      json::serialize(json::object{{"failed", Failed}}));
}

HttpResponse PlatformServer::Impl::readRow(const HttpRequest &Request) {
  const auto Row =
      Rows.read(parameter(Request, "table"), parameter(Request, "key"));
  if (!Row)
    return transport::errorResponse(Request, http::status::not_found,
                                    "not_found", "no such row");
  return transport::jsonResponse(
      Request, http::status::ok,
      json::serialize(
          json::object{{"version", Row->Version}, {"value", Row->Value}}));
}

HttpResponse PlatformServer::Impl::scan(const HttpRequest &Request) {
  std::size_t Limit = DefaultScanLimit;
  const std::string Text = parameter(Request, "limit");
  std::from_chars(Text.data(), Text.data() + Text.size(), Limit);
  return transport::jsonResponse(
      Request, http::status::ok,
      protocol::toJson(Rows.scan(parameter(Request, "table"),
                                 parameter(Request, "prefix"), Limit)));
}

HttpResponse PlatformServer::Impl::object(const HttpRequest &Request) {
  const std::string Name(pathOf(Request));
  if (Request.method() == http::verb::put) {
    Objects[Name] = Request.body();
    return transport::jsonResponse(Request, http::status::ok, "{}");
  }
  const auto Object = Objects.find(Name);
  if (Object == Objects.end())
    return transport::errorResponse(Request, http::status::not_found,
                                    "not_found", "no such object");
  return transport::jsonResponse(Request, http::status::ok, Object->second);
}

HttpResponse PlatformServer::Impl::hosts(const HttpRequest &Request) {
  if (Request.method() != http::verb::put) {
    return transport::jsonResponse(Request, http::status::ok, PublishedHosts);
  }
  const auto Parsed = capture<protocol::HostList>(
      [&] { return protocol::parseHostList(Request.body()); });
  if (const Error *E = std::get_if<Error>(&Parsed))
    return refuse(Request, *E);
  setHosts(std::get<protocol::HostList>(Parsed));
  return transport::jsonResponse(Request, http::status::ok, "{}");
}

HttpResponse PlatformServer::Impl::markLeaving(const HttpRequest &Request) {
  JsonErrors Errors(ErrorKind::InvalidRequest);
  const json::value Body = parseJson(Request.body(), Errors);
  ObjectReader Reader(Body, "", Errors);
  std::string Worker;
  Reader.name("worker", Worker);
  Reader.rejectOthers();
  if (Errors)
    return refuse(Request, Errors.first());
  protocol::HostList Changed = Hosts;
  for (WorkerDescriptor &W : Changed.Workers) {
    if (W.Id.value() != Worker)
      continue;
    W.Leaving = true;
    setHosts(std::move(Changed));
    return transport::jsonResponse(Request, http::status::ok, "{}");
  }
  return transport::errorResponse(Request, http::status::not_found, "not_found",
                                  "no worker " + Worker);
}

HttpResponse PlatformServer::Impl::setFaults(const HttpRequest &Request) {
  JsonErrors Errors(ErrorKind::InvalidRequest);
  const json::value Body = parseJson(Request.body(), Errors);
  ObjectReader Reader(Body, "", Errors);
  Faults New;
  constexpr auto Optional = ObjectReader::Optional;
  bool KeepSnapshot = false;
  bool Restore = false;
  Reader.flag("down", New.Down, Optional);
  Reader.flag("lose_answers", New.LoseAnswers, Optional);
  Reader.flag("serve_old", New.ServeOld, Optional);
  Reader.integer("slow_ms", New.SlowMs, 0, MaxDelayMs, Optional);
  Reader.flag("keep_snapshot", KeepSnapshot, Optional);
  Reader.flag("restore", Restore, Optional);
  std::uint64_t LagMs = static_cast<std::uint64_t>(Lag.count());
  Reader.integer("hosts_lag_ms", LagMs, 0, MaxDelayMs, Optional);
  Reader.rejectOthers();
  if (Errors)
    return refuse(Request, Errors.first());
  Lag = std::chrono::milliseconds(LagMs);
  ActiveFaults = New;
  if (KeepSnapshot)
    Rows.keepSnapshot();
  if (Restore)
    Rows.restore();
  Rows.serveOld(New.ServeOld);
  return transport::jsonResponse(Request, http::status::ok, "{}");
}

HttpResponse PlatformServer::Impl::stats(const HttpRequest &Request) {
  const json::object Body{{"reads", Reads.total()},
                          {"writes", Writes.total()},
                          {"peak_reads_per_second", Reads.peak()},
                          {"peak_writes_per_second", Writes.peak()}};
  return transport::jsonResponse(Request, http::status::ok,
                                 json::serialize(Body));
}

PlatformServer::PlatformServer(asio::io_context &Io, const Endpoint &Bind)
    : Pimpl(std::make_shared<Impl>(Io)) {
  Pimpl->bind(Bind);
}

PlatformServer::~PlatformServer() { Pimpl->close(); }

Endpoint PlatformServer::local() const { return Pimpl->local(); }

void PlatformServer::setHosts(protocol::HostList Hosts) {
  Pimpl->setHosts(std::move(Hosts));
}

void PlatformServer::setHostsLag(std::chrono::milliseconds Lag) {
  Pimpl->setLag(Lag);
}

} // namespace masticgap::standins
