#include "platform/store_client.hpp"
#include "masticgap/transport/http_server.hpp"
#include "platform/base64.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::platform;
using namespace std::chrono_literals;
using coordination::StoreFailure;
using coordination::StorePosition;
using coordination::TableSnapshot;
using gateway::StoreTable;
namespace http = boost::beast::http;

namespace {

std::string rowText(const std::string &Key, unsigned Version,
                    const std::string &Extra = "") {
  return R"({"table":"op","part":"","key":")" + Key + R"(","value":")" +
         encodeBase64("v-" + Key) + R"(","schema_version":)" +
         std::to_string(Version) + Extra + "}";
}

std::string body(const std::string &Rows, unsigned Version, bool More = false) {
  return R"({"rows":[)" + Rows + R"(],"has_more":)" +
         (More ? "true" : "false") + R"(,"schema_version":)" +
         std::to_string(Version) + R"(,"now":"5ms"})";
}

//! Store that returns the answers of a test in sequence.
struct ScriptedStore {
  struct Answer {
    unsigned Status;
    std::string Body;
    std::string Era = {}; //!< Value of the header; empty: none.
  };

  explicit ScriptedStore(std::vector<Answer> Script)
      : Answers(std::move(Script)),
        Server(Io, {"127.0.0.1", 0}, {},
               [this](const transport::HttpRequest &Request,
                      const transport::HttpServer::Reply &Reply) {
                 Targets.emplace_back(Request.target().data(),
                                      Request.target().size());
                 Bodies.push_back(Request.body());
                 const Answer &Next =
                     Answers[std::min(Targets.size() - 1, Answers.size() - 1)];
                 auto Response = transport::jsonResponse(
                     Request, http::status(Next.Status), Next.Body);
                 if (!Next.Era.empty())
                   Response.set("Store-Era", Next.Era);
                 Reply(std::move(Response));
               }),
        Api(makeStoreApi(Io, Server.local())) {}

  //! Runs the io_context until a call has completed.
  template <class Done> void runUntil(const Done &IsDone) {
    while (!IsDone())
      Io.run_one();
  }

  std::vector<Answer> Answers;
  std::vector<std::string> Targets;
  std::vector<std::string> Bodies;
  boost::asio::io_context Io{1};
  transport::HttpServer Server;
  gateway::StoreApi Api;
};

} // namespace

// Guards against a row that is read twice at a page border, and against changes
// that are missed because the version of the last page is used.
TEST_CASE("a read collects all pages") {
  ScriptedStore Store(
      {{200, body(rowText("a", 3) + "," + rowText("b", 4), 9, true)},
       {200, body(rowText("b", 4) + "," + rowText("c", 11), 12)}});
  std::optional<std::variant<TableSnapshot, StoreFailure>> Result;
  Store.Api.Read(StoreTable::Workers, [&](auto Answer) { Result = Answer; });
  Store.runUntil([&] { return Result.has_value(); });
  REQUIRE(std::holds_alternative<TableSnapshot>(*Result));
  const auto &Snapshot = std::get<TableSnapshot>(*Result);
  CHECK(Snapshot.Version == StorePosition(0, 9));
  REQUIRE(Snapshot.Rows.size() == 3);
  CHECK(Snapshot.Rows[2].Key == "c");
  CHECK(Snapshot.Rows[2].Value == "v-c");
  CHECK(Snapshot.Rows[2].Version == StorePosition(0, 11));
  REQUIRE(Store.Targets.size() == 2);
  CHECK(Store.Targets[0] == "/api/rows-get?table=servers&part=&limit=500");
  CHECK(Store.Targets[1] ==
        "/api/rows-get?table=servers&part=&limit=500&start_revision=b");
}

// Guards against failures of the store that are read as changes. After each
// failure the host must continue to use the rows it has.
TEST_CASE("a feed call returns changes or the reason of its failure") {
  struct Case {
    const char *Name;
    unsigned Status;
    int Changes; //!< -1: unavailable, -2: history gone.
    std::string Body;
  };
  const Case Cases[] = {
      {"changes", 200, 2,
       body(rowText("a", 3) + "," + rowText("b", 4, R"(,"removed":true)"), 9)},
      {"none", 200, 0, body("", 9)},
      {"history gone", 410, -2, "{}"},
      {"throttled", 429, -1, "{}"},
      {"refused", 503, -1, "{}"},
      {"no JSON", 200, -1, "<html>"},
      {"no rows", 200, -1, R"({"schema_version":9})"},
      {"no version", 200, -1, R"({"rows":[]})"},
      {"a row without a key", 200, 2,
       body(rowText("a", 3) + R"(,{"schema_version":1},)" +
                rowText("b", 4, R"(,"removed":true)"),
            9)},
      {"a row without a version", 200, 2,
       body(rowText("a", 3) + R"(,{"key":"x","part":"","value":""},)" +
                rowText("b", 4, R"(,"removed":true)"),
            9)},
      {"a row with a fractional version", 200, 1,
       body(R"({"key":"x","schema_version":1.5},)" + rowText("a", 3), 9)},
      {"a row that is no object", 200, 1, body("7," + rowText("a", 3), 9)},
      {"a key with an unpaired leading surrogate", 200, 2,
       body(rowText("\\ud800", 3) + "," + rowText("b", 4, R"(,"removed":true)"),
            9)},
      {"a key with an unpaired trailing surrogate", 200, 2,
       body(rowText("\\\\\\udc00x", 3) + "," +
                rowText("\\ud83d\\ude00", 4, R"(,"removed":true)"),
            9)},
      {"a key with invalid UTF-8", 200, 2,
       body(rowText("\xff", 3) + "," + rowText("b", 4, R"(,"removed":true)"),
            9)},
      {"a cut escape", 200, -1, R"({"rows":[],"schema_version":9,"x":"\ud8"})"},
      {"rows that are no list", 200, -1, R"({"rows":{},"schema_version":9})"},
      {"a value that is not base64", 200, 1,
       R"({"rows":[{"key":"a","part":"","value":"!!","schema_version":1}],"schema_version":9})"},
      {"a row of another part", 200, 0,
       R"({"rows":[{"key":"a","part":"p","value":"","schema_version":1}],"schema_version":9})"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    ScriptedStore Store({{C.Status, C.Body}});
    std::optional<std::variant<gateway::TableChanges, StoreFailure>> Result;
    Store.Api.Await(StoreTable::Operator, {{0, 7}, 2s},
                    [&](auto Answer) { Result = Answer; });
    Store.runUntil([&] { return Result.has_value(); });
    CHECK(Store.Targets[0] == "/api/rows-feed?table=op&after=7&wait_ms=2000");
    if (const auto *Failure = std::get_if<StoreFailure>(&*Result)) {
      CHECK(C.Changes == (*Failure == StoreFailure::HistoryGone ? -2 : -1));
      continue;
    }
    const auto &Changes = std::get<gateway::TableChanges>(*Result);
    CHECK(static_cast<int>(Changes.Changes.size()) == C.Changes);
    CHECK(Changes.Version == StorePosition(0, 9));
    if (C.Changes > 0)
      CHECK_FALSE(Changes.Changes[0].Removed);
    if (C.Changes == 2)
      CHECK(Changes.Changes[1].Removed);
  }
}

// Guards against a key that is taken for another one because an unpaired
// surrogate was dropped.
TEST_CASE("unpaired surrogates in a key become U+FFFD") {
  struct Case {
    const char *Escaped;
    const char *Key;
  };
  const Case Cases[] = {
      {R"(\ud800)", "\xef\xbf\xbd"},
      {R"(a\udc00b)", "a\xef\xbf\xbd"
                      "b"},
      {R"(\ud800\ud83d\ude00)", "\xef\xbf\xbd\xf0\x9f\x98\x80"},
      {R"(\ud800\u0041)", "\xef\xbf\xbd"
                          "A"},
      {R"(\\ud800\udc00)", "\\ud800\xef\xbf\xbd"},
      {R"(\ud800\\)", "\xef\xbf\xbd\\"},
  };
  for (const auto &C : Cases) {
    CAPTURE(std::string(C.Escaped));
    const auto Answer = decodeRows(body(rowText(C.Escaped, 3), 9));
    REQUIRE(Answer);
    REQUIRE(Answer->Rows.size() == 1);
    CHECK(Answer->Rows[0].Row.Key == C.Key);
  }
}

TEST_CASE("a host announces its address with one unconditional write") {
  ScriptedStore Store({{200, R"({"schema_version":3,"now":"1ms"})"}});
  std::optional<bool> Done;
  Store.Api.AnnounceHost("h1", "10.0.0.1", [&](bool Ok) { Done = Ok; });
  Store.runUntil([&] { return Done.has_value(); });
  CHECK(*Done);
  CHECK(Store.Targets[0] == "/api/rows-tx");
  CHECK(
      Store.Bodies[0] ==
      R"({"expected_revision":[],"puts":[{"table":"masticgap_hosts","part":"","key":"h1","value":"MTAuMC4wLjE="}],"deletes":[]})");
}

TEST_CASE("a store that cannot be reached is unavailable") {
  boost::asio::io_context Io(1);
  std::uint16_t Port = 0;
  {
    transport::HttpServer Closed(Io, {"127.0.0.1", 0}, {}, {});
    Port = Closed.local().Port;
  }
  const auto Store = makeStoreApi(Io, {"127.0.0.1", Port});
  std::optional<std::variant<TableSnapshot, StoreFailure>> Result;
  Store.Read(StoreTable::Operator, [&](auto Answer) { Result = Answer; });
  Io.restart();
  while (!Result)
    Io.run_one();
  CHECK(std::get<StoreFailure>(*Result) == StoreFailure::Unavailable);
}

TEST_CASE("base64 preserves all bytes") {
  std::string All;
  for (int I = 0; I < 256; ++I)
    All.push_back(static_cast<char>(I));
  for (std::size_t Size : {0, 1, 2, 3, 4, 5, 255, 256}) {
    const std::string Bytes = All.substr(0, Size);
    CHECK(decodeBase64(encodeBase64(Bytes)) == Bytes);
  }
  CHECK(encodeBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(decodeBase64("a*b="));
}

// Guards against a snapshot with pages of two eras, and against an era that is
// missed because the answer refuses the call.
TEST_CASE("the store's era is read from every answer") {
  const std::string Page = body(rowText("a", 3), 9);
  const std::string FirstPage = body(rowText("x", 4), 9, true);
  struct Case {
    const char *Name;
    std::vector<ScriptedStore::Answer> Answers;
    std::vector<unsigned> Rises;
    std::optional<StorePosition> Expected; //!< Of the snapshot, after one call.
    std::size_t Rows;
  };
  const Case Cases[] = {
      {"no header", {{200, Page}}, {}, StorePosition(0, 9), 1},
      {"header", {{200, Page, "7"}}, {7}, StorePosition(7, 9), 1},
      {"refused", {{503, "{}", "7"}}, {7}, std::nullopt, 0},
      {"history gone", {{410, "{}", "7"}}, {7}, std::nullopt, 0},
      {"second page without header",
       {{200, FirstPage, "7"}, {200, Page}},
       {7},
       StorePosition(7, 9),
       2},
      {"second page of a later era",
       {{200, FirstPage, "7"}, {200, Page, "8"}, {200, Page, "8"}},
       {7, 8},
       StorePosition(8, 9),
       1},
      {"second page of an earlier era",
       {{200, FirstPage, "7"}, {200, Page, "6"}, {200, Page, "7"}},
       {7},
       StorePosition(7, 9),
       1},
      {"eras that alternate",
       {{200, FirstPage, "7"},
        {200, FirstPage, "8"},
        {200, FirstPage, "7"},
        {200, FirstPage, "8"},
        {200, FirstPage, "7"},
        {200, FirstPage, "8"},
        {200, FirstPage, "7"},
        {200, FirstPage, "8"}},
       {7, 8},
       std::nullopt,
       0},
      {"no number", {{200, Page, "x"}}, {}, std::nullopt, 0},
      {"too large", {{200, Page, "65536"}}, {}, std::nullopt, 0},
      {"version too large",
       {{200, R"({"rows":[],"schema_version":281474976710656})", "1"}},
       {1},
       std::nullopt,
       0},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    ScriptedStore Store(C.Answers);
    std::vector<unsigned> Rises;
    Store.Api.OnEraRise(
        [&](coordination::StoreEra Era) { Rises.push_back(Era); });
    std::optional<std::variant<TableSnapshot, StoreFailure>> Result;
    Store.Api.Read(StoreTable::Workers, [&](auto Answer) { Result = Answer; });
    Store.runUntil([&] { return Result.has_value(); });
    CHECK(Rises == C.Rises);
    const auto *Snapshot = std::get_if<TableSnapshot>(&*Result);
    REQUIRE((Snapshot != nullptr) == C.Expected.has_value());
    if (!Snapshot)
      continue;
    CHECK(Snapshot->Version == *C.Expected);
    CHECK(Snapshot->Rows.size() == C.Rows);
    for (const auto &Row : Snapshot->Rows)
      CHECK(Row.Version.Era == C.Expected->Era);
  }
}
