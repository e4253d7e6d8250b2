#include "timeline/log_line.hpp"
#include "timeline/event_filter.hpp"
#include "timeline/report.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::timeline;
using namespace std::chrono_literals;

namespace {

std::vector<Event> parseLines(std::initializer_list<const char *> Lines) {
  std::vector<Event> Events;
  for (const char *Line : Lines)
    if (auto E = parseLogLine(Line, Events.size() + 1))
      Events.push_back(std::move(*E));
  return Events;
}

//! Log of two gateways: h1 loses the answer of worker w1 to request a, and
//! shortly afterwards h2 cannot connect to w1.
std::vector<Event> lostAnswerLog() {
  return parseLines({
      "ts=1000 host=h1 event=worker_registered worker=w2 taken=true",
      "ts=8000 host=h1 event=config_adopted version=7 routes=3 source=store",
      "ts=8100 host=h2 event=member peer=h3 status=dead draining=false run=1",
      "ts=8200 host=h1 event=attempt id=b worker=w2 result=refused_full",
      "ts=8300 host=h1 event=request id=c status=200 worker=w1",
      "ts=9000 host=h1 event=attempt id=a worker=w1 result=connection_lost",
      "ts=9000 host=h1 event=request id=a outcome=answer_lost status=502",
      "ts=9040 host=h2 event=attempt id=d worker=w1 result=connect_failed",
      "ts=9500 host=h2 event=worker_unregistered worker=w1 lapse=false",
      "ts=20000 host=h2 event=worker_registered worker=w1 taken=true",
  });
}

} // namespace

TEST_CASE("log lines of a gateway are read as events") {
  struct Case {
    const char *Line;
    EventKind Kind;
    const char *Fields; //!< As printed in the text report.
  };
  const Case Cases[] = {
      {"ts=5 host=h event=started region=r", EventKind::ProcessStarted,
       "detail=started region=r"},
      {"ts=5 host=h event=stopped log_lines_dropped=0",
       EventKind::ProcessStopped, "detail=stopped log_lines_dropped=0"},
      {"ts=5 host=h event=rejected id=x reason=overloaded wait_ms=812.000",
       EventKind::RequestNotRun,
       "request=x detail=rejected reason=overloaded wait_ms=812.000"},
      {"ts=5 host=h event=request id=x status=200 worker=w",
       EventKind::RequestAnswered,
       "request=x worker=w detail=request status=200"},
      {"ts=5 host=h event=request id=x status=503 worker=\"\"",
       EventKind::RequestNotRun, "request=x detail=request status=503"},
      {"ts=5 host=h event=request id=x status=504", EventKind::RequestUnknown,
       "request=x detail=request status=504"},
      {"ts=5 host=h event=request id=x outcome=cut_off status=0",
       EventKind::RequestUnknown,
       "request=x detail=request outcome=cut_off status=0"},
      {"ts=5 host=h event=member peer=g status=dead", EventKind::MemberChanged,
       "subject=g detail=member status=dead"},
      {"ts=5 host=h event=worker_gone worker=w reason=lapsed",
       EventKind::WorkerEjected, "worker=w detail=worker_gone reason=lapsed"},
      {"ts=5 host=h event=config_adopted version=3", EventKind::ConfigInForce,
       "detail=config_adopted version=3"},
      {"ts=5 host=h event=store_lost table=workers", EventKind::Decision,
       "detail=store_lost table=workers"},
      {R"(ts=5 host=h event=row_unreadable error="a \"b\" = c" row=x)",
       EventKind::Decision, R"(detail=row_unreadable error=a "b" = c row=x)"},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Line);
    const auto Parsed = parseLogLine(C.Line, 3);
    REQUIRE(Parsed);
    CHECK((Parsed->Kind == C.Kind));
    CHECK(fieldText(Parsed->Fields) == C.Fields);
    CHECK(Parsed->Stamp.UnixMicros == 5000);
    CHECK(Parsed->Host == HostId("h"));
    CHECK(Parsed->Sequence == 3);
  }
}

TEST_CASE("a line without time, host or event name is not an event") {
  for (const char *Line : {"", "ts=", "ts=x host=h event=e", "ts=1 event=e",
                           "ts=1 host=h", "host=h event=e", "ts=1 host=\"h"}) {
    CAPTURE(Line);
    CHECK_FALSE(parseLogLine(Line, 1));
  }
  CHECK_FALSE(isLogLine("{\"sequence\":1}"));
}

// The id of a failed request must select the events of its worker on all hosts
// and those of its host, and no unrelated events.
TEST_CASE("a request is explained by its workers and hosts") {
  const std::string Text =
      textReport(explainRequest(lostAnswerLog(), RequestId("a"), 1000ms));
  CAPTURE(Text);
  for (const char *Included :
       {"config_adopted", "result=connection_lost", "outcome=answer_lost",
        "result=connect_failed", "worker_unregistered"})
    CHECK(Text.find(Included) != std::string::npos);
  for (const char *Excluded : {"w2", "status=dead", "request=c", "taken=true"})
    CHECK(Text.find(Excluded) == std::string::npos);
  CHECK(explainRequest(lostAnswerLog(), RequestId("none"), 1000ms).empty());
}
