#include "standins/store/store_server.hpp"

#include "platform/base64.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace masticgap::standins {

namespace http = boost::beast::http;
namespace json = boost::json;
using transport::HttpRequest;
using transport::HttpServer;

namespace {

constexpr std::string_view ReadPath = "/api/rows-get";
constexpr std::string_view FeedPath = "/api/rows-feed";
constexpr std::string_view WritePath = "/api/rows-tx";
//! Test control from another process: ?mode=, ?put=&key=, ?remove=&key=
constexpr std::string_view ControlPath = "/control";

std::string_view target(const HttpRequest &Request) {
  return {Request.target().data(), Request.target().size()};
}

std::uint64_t number(const std::string &Text) {
  std::uint64_t Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Value;
}

std::string text(const json::value &Value) {
  return {Value.as_string().data(), Value.as_string().size()};
}

} // namespace

struct StoreServer::PendingFeed {
  PendingFeed(boost::asio::io_context &Io, HttpRequest Request,
              HttpServer::Reply To)
      : Request(std::move(Request)), Reply(std::move(To)), Timer(Io) {}
  HttpRequest Request;
  HttpServer::Reply Reply;
  std::string Table;
  std::uint64_t After = 0;
  boost::asio::steady_timer Timer;
};

StoreServer::StoreServer(boost::asio::io_context &Io, const Endpoint &Bind)
    : Io(Io), Server(Io, Bind, {},
                     [this](const HttpRequest &Request,
                            const HttpServer::Reply &Reply) {
                       handle(Request, Reply);
                     }),
      SecondServer(
          Io, {Bind.Address, 0}, {},
          [this](const HttpRequest &Request, const HttpServer::Reply &Reply) {
            if (RejectsOnSecondAddress)
              return Reply(
                  answer(Request, http::status::service_unavailable, "{}"));
            handle(Request, Reply);
          }) {}

StoreServer::~StoreServer() = default;

void StoreServer::put(const std::string &Table, const std::string &Key,
                      const std::string &Value) {
  Now.Tables[Table][Key] = {Value, ++Now.Version, false};
  answerChangedFeeds();
}

void StoreServer::remove(const std::string &Table, const std::string &Key) {
  Now.Tables[Table][Key] = {{}, ++Now.Version, true};
  answerChangedFeeds();
}

void StoreServer::setMode(StoreMode New) { Mode = New; }

void StoreServer::forgetHistory() {
  Now.Oldest = ++Now.Version;
  answerUnknownFeeds();
}

void StoreServer::answerUnknownFeeds() {
  std::list<std::shared_ptr<PendingFeed>> Due;
  for (auto It = PendingFeeds.begin(); It != PendingFeeds.end();) {
    const auto Next = std::next(It);
    if (!hasVersion((*It)->After))
      Due.splice(Due.end(), PendingFeeds, It);
    It = Next;
  }
  for (const auto &Feed : Due) {
    Feed->Timer.cancel();
    Feed->Reply(answer(Feed->Request, http::status::gone, "{}"));
  }
}

void StoreServer::takeCopy() { Copy = Now; }

void StoreServer::restore() {
  Now = Copy;
  ++Era;
  answerUnknownFeeds();
}

bool StoreServer::contains(const std::string &Table,
                           const std::string &Key) const {
  const auto TableRows = Now.Tables.find(Table);
  if (TableRows == Now.Tables.end())
    return false;
  const auto Entry = TableRows->second.find(Key);
  return Entry != TableRows->second.end() && !Entry->second.Removed;
}

transport::HttpResponse StoreServer::answer(const HttpRequest &Request,
                                            http::status Status,
                                            const std::string &Body) const {
  transport::HttpResponse Answer =
      transport::jsonResponse(Request, Status, Body);
  Answer.set("Store-Era", std::to_string(Era));
  return Answer;
}

void StoreServer::handle(const HttpRequest &Request,
                         const HttpServer::Reply &Reply) {
  const auto Path = transport::targetPath(target(Request));
  if (Path == ControlPath)
    return control(Request, Reply);
  ++Calls;
  if (Mode == StoreMode::Silent) {
    Unanswered.push_back(Reply);
    return;
  }
  if (Mode != StoreMode::Serve)
    return Reply(answer(Request,
                        Mode == StoreMode::Refuse
                            ? http::status::service_unavailable
                            : http::status::too_many_requests,
                        "{}"));
  if (Path == ReadPath)
    return Reply(
        answer(Request, http::status::ok,
               rowsBody(transport::queryParameter(target(Request), "table"), 0,
                        false)));
  if (Path == FeedPath)
    return feed(Request, Reply);
  if (Path == WritePath)
    return write(Request, Reply);
  Reply(answer(Request, http::status::not_found, "{}"));
}

void StoreServer::control(const HttpRequest &Request,
                          const HttpServer::Reply &Reply) {
  const auto Parameter = [&](const char *Name) {
    return transport::queryParameter(target(Request), Name);
  };
  const std::string NewMode = Parameter("mode");
  if (NewMode == "serve")
    setMode(StoreMode::Serve);
  else if (NewMode == "refuse")
    setMode(StoreMode::Refuse);
  else if (NewMode == "throttle")
    setMode(StoreMode::Throttle);
  else if (NewMode == "silent")
    setMode(StoreMode::Silent);
  else if (NewMode == "forget")
    forgetHistory();
  else if (NewMode == "copy")
    takeCopy();
  else if (NewMode == "restore")
    restore();
  if (const std::string Table = Parameter("put"); !Table.empty())
    put(Table, Parameter("key"), Request.body());
  if (const std::string Table = Parameter("remove"); !Table.empty())
    remove(Table, Parameter("key"));
  Reply(answer(Request, http::status::ok, "{}"));
}

bool StoreServer::hasChanges(const std::string &Table,
                             std::uint64_t After) const {
  const auto TableRows = Now.Tables.find(Table);
  return TableRows != Now.Tables.end() &&
         std::ranges::any_of(TableRows->second, [&](const auto &Entry) {
           return Entry.second.Version > After;
         });
}

std::string StoreServer::rowsBody(const std::string &Table, std::uint64_t After,
                                  bool WithRemoved) const {
  json::array List;
  if (const auto TableRows = Now.Tables.find(Table);
      TableRows != Now.Tables.end()) {
    for (const auto &[Key, Row] : TableRows->second) {
      if (Row.Version <= After || (Row.Removed && !WithRemoved))
        continue;
      json::object RowJson;
      RowJson["table"] = Table;
      RowJson["part"] = "";
      RowJson["key"] = Key;
      RowJson["value"] = platform::encodeBase64(Row.Value);
      RowJson["schema_version"] = Row.Version;
      if (Row.Removed)
        RowJson["removed"] = true;
      List.push_back(std::move(RowJson));
    }
  }
  json::object Body;
  Body["rows"] = std::move(List);
  Body["has_more"] = false;
  Body["schema_version"] = Now.Version;
  Body["now"] = "1ms";
  return json::serialize(Body);
}

void StoreServer::feed(const HttpRequest &Request,
                       const HttpServer::Reply &Reply) {
  auto Pending = std::make_shared<PendingFeed>(Io, Request, Reply);
  Pending->Table = transport::queryParameter(target(Request), "table");
  Pending->After = number(transport::queryParameter(target(Request), "after"));
  if (!hasVersion(Pending->After))
    return Reply(answer(Request, http::status::gone, "{}"));
  PendingFeeds.push_back(Pending);
  Pending->Timer.expires_after(std::chrono::milliseconds(
      number(transport::queryParameter(target(Request), "wait_ms"))));
  Pending->Timer.async_wait([this, WeakPending = std::weak_ptr(Pending)](
                                boost::system::error_code Failure) {
    // A change or the destructor may have removed the feed after this handler
    // was queued, which cancelling the timer does not undo.
    const auto Due = WeakPending.lock();
    if (Failure || !Due || std::erase(PendingFeeds, Due) == 0)
      return;
    Due->Reply(answer(Due->Request, http::status::ok,
                      rowsBody(Due->Table, Due->After, true)));
  });
  answerChangedFeeds();
}

void StoreServer::answerChangedFeeds() {
  std::list<std::shared_ptr<PendingFeed>> Due;
  for (auto It = PendingFeeds.begin(); It != PendingFeeds.end();) {
    const auto Next = std::next(It);
    if (hasChanges((*It)->Table, (*It)->After))
      Due.splice(Due.end(), PendingFeeds, It);
    It = Next;
  }
  for (const auto &Feed : Due) {
    Feed->Timer.cancel();
    // The answer to a feed that began before an outage is lost in the outage.
    if (Mode == StoreMode::Silent)
      Unanswered.push_back(Feed->Reply);
    else
      Feed->Reply(answer(Feed->Request, http::status::ok,
                         rowsBody(Feed->Table, Feed->After, true)));
  }
}

void StoreServer::write(const HttpRequest &Request,
                        const HttpServer::Reply &Reply) {
  json::error_code Failure;
  const json::value Body = json::parse(Request.body(), Failure);
  if (Failure || !Body.is_object())
    return Reply(answer(Request, http::status::bad_request, "{}"));
  for (const json::value &Item : Body.as_object().at("puts").as_array()) {
    const json::object &Put = Item.as_object();
    put(text(Put.at("table")), text(Put.at("key")),
        platform::decodeBase64(text(Put.at("value"))).value_or(""));
  }
  if (std::exchange(RestoresAtWrite, false))
    restore();
  Reply(answer(Request, http::status::ok, rowsBody("", Now.Version, false)));
}

} // namespace masticgap::standins
