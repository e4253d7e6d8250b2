#include "timeline/event_filter.hpp"
#include "timeline/event_source.hpp"
#include "timeline/report.hpp"

#include "masticgap/coordination/event_json.hpp"
#include "masticgap/coordination/event_log.hpp"
#include "masticgap/state/error.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::timeline;
using namespace std::chrono_literals;

namespace {

//! Returns the events of a configuration change and of a request that passes
//! through two hosts whose clocks differ by 50 ms.
std::vector<Event> sampleEvents() {
  const Instant Start{1h};
  HybridClock First(makeIncarnation(1'700'000'000'050, 1), Start);
  HybridClock Second(makeIncarnation(1'700'000'000'000, 1), Start);
  EventLog A(HostId("entry-a"), First);
  EventLog B(HostId("entry-b"), Second);
  const EventFields Request{RequestId("r-1"), {}, {}, "", ""};
  const EventFields Dispatched{
      RequestId("r-1"), WorkerId("agenda-3"), {}, "", ""};
  A.record(EventKind::ProcessStarted, {}, Start);
  B.record(EventKind::ProcessStarted, {}, Start);
  A.record(EventKind::RequestReceived, Request, Start + 2ms);
  Second.observe(First.stamp(Start + 3ms), Start + 4ms);
  B.record(EventKind::RequestReceived, Request, Start + 4ms);
  B.record(EventKind::RequestDispatched, Dispatched, Start + 5ms);
  B.record(EventKind::RequestUnknown,
           {RequestId("r-1"), WorkerId("agenda-3"), {}, "", "reset <504>"},
           Start + 80ms);
  A.record(EventKind::ConfigInForce,
           {{}, {}, HostId("entry-b"), "c-7", "version 12"}, Start + 90ms);
  std::vector<Event> All = B.since(0);
  for (Event &E : A.since(0))
    All.push_back(std::move(E));
  return All;
}

std::string lines(std::span<const Event> Events) {
  std::string Text;
  for (const Event &E : Events)
    Text += toJsonLine(E) + '\n';
  return Text;
}

template <class Function> std::string errorOf(Function Run) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_CHECK(Run());
        return std::string();
      },
      [](const Error &E) { return describe(E); },
      [] { return std::string("not typed"); });
}

std::string readError(const std::string &Text) {
  std::istringstream In(Text);
  return errorOf([&] { return readEvents(In, "a.jsonl"); });
}

void checkGolden(const std::string &Name, const std::string &Text) {
  const std::string Path = std::string(MASTICGAP_GOLDEN_DIR) + "/" + Name;
  if (std::getenv("MASTICGAP_WRITE_GOLDEN"))
    std::ofstream(Path) << Text;
  std::ifstream File(Path);
  CHECK(Text == std::string{std::istreambuf_iterator<char>(File), {}});
}

} // namespace

TEST_CASE("text and HTML reports match the golden files") {
  const auto Merged = mergeEvents(sampleEvents(), {});
  checkGolden("timeline.jsonl", lines(sampleEvents()));
  checkGolden("timeline.txt", textReport(Merged));
  checkGolden("timeline.html", htmlReport(Merged));
  CHECK(textReport({}).empty());
  CHECK(htmlReport({}).ends_with("</html>\n"));
}

TEST_CASE("events of two hosts are merged in causal order without duplicates") {
  auto Duplicated = sampleEvents();
  for (const Event &E : sampleEvents())
    Duplicated.push_back(E);
  const auto Merged = mergeEvents(Duplicated, {});
  REQUIRE(Merged.size() == sampleEvents().size());
  // entry-b received the request after entry-a although its clock is behind.
  CHECK(Merged[1].Host == HostId("entry-a"));
  CHECK(Merged[2].Fields.Request == RequestId("r-1"));
  CHECK(Merged[2].Host == HostId("entry-a"));
  CHECK(Merged[3].Host == HostId("entry-b"));
  CHECK((Merged[3].Kind == EventKind::RequestReceived));
}

TEST_CASE("filters select by request, worker, host and change") {
  struct Case {
    EventFilter Filter;
    std::size_t Count;
  };
  const Case Cases[] = {
      {{"r-1", "", "", ""}, 4},        {{"", "agenda-3", "", ""}, 2},
      {{"", "", "entry-b", ""}, 5},    {{"", "", "", "c-7"}, 1},
      {{"r-1", "", "entry-a", ""}, 1}, {{"r-2", "", "", ""}, 0}};
  for (const Case &C : Cases)
    CHECK(mergeEvents(sampleEvents(), C.Filter).size() == C.Count);
}

TEST_CASE("invalid input gives one error with file, line and remedy") {
  const std::string Good = toJsonLine(sampleEvents()[0]);
  const std::string Remedy =
      "; give lines as GET /events of an admin port writes them";
  struct Case {
    std::string Line;
    std::string Message;
  };
  const Case Cases[] = {
      {"[1]", "not a JSON object"},
      {R"({"sequence":-1})", "key \"sequence\" is not a whole number"},
      {R"({"sequence":1,"micros":2})", "key \"logical\" is missing"},
      {R"({"sequence":1,"micros":2,"logical":4294967296})",
       "key \"logical\" is larger than 32 bits"},
      {R"({"sequence":1,"micros":2,"logical":0,"host":3})",
       "key \"host\" is not a string"},
      {R"({"sequence":1,"micros":2,"logical":0,"host":"a","kind":"x"})",
       "key \"kind\" has the unknown value \"x\""},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Line);
    CHECK(readError(Good + "\n\n" + C.Line + "\n") ==
          "a.jsonl: line 3: " + C.Message + Remedy);
  }
  CHECK(readError("{").starts_with("a.jsonl: line 1: not valid JSON"));
  CHECK(errorOf([] { return readEventFile("/nonexistent/x"); }) ==
        "/nonexistent/x: cannot be opened; give files of event JSON lines that "
        "exist and are readable");
  for (const char *List : {"localhost:1", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0",
                           "10.0.0.1:7x", "10.0.0.1:1,x"})
    CHECK(errorOf([&] {
            return parseEndpoints(List);
          }).ends_with("give a list such as 10.0.0.1:7002,10.0.0.2:7002"));
}

TEST_CASE("events are fetched from an admin port") {
  boost::asio::io_context Io{1};
  std::string Target;
  transport::HttpServer Server(
      Io, {"127.0.0.1", 0}, {},
      [&](const transport::HttpRequest &Request,
          const transport::HttpServer::Reply &Reply) {
        Target = std::string(Request.target());
        Reply(transport::jsonResponse(Request, boost::beast::http::status::ok,
                                      lines(sampleEvents())));
      });
  std::thread Thread([&] { Io.run(); });
  std::size_t Count = 0;
  const std::string Failure = errorOf([&]() -> boost::leaf::result<void> {
    BOOST_LEAF_AUTO(Events, fetchEvents(Server.local(), 9, 10s));
    Count = Events.size();
    return {};
  });
  Io.stop();
  Thread.join();
  CHECK(Failure.empty());
  CHECK(Count == sampleEvents().size());
  CHECK(Target == "/events?since=9");
}
