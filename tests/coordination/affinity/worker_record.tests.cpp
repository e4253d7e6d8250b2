#include "masticgap/coordination/affinity/worker_record.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now{100s};

} // namespace

TEST_CASE("the reported load of other hosts decays") {
  WorkerRecord Record;
  Record.recordSent(Now);
  Record.recordLoad({3, 2, 3}, Now);
  CHECK(Record.occupancy(Now) == doctest::Approx(5));
  CHECK(Record.occupancy(Now + 1s) < 4);
  CHECK(Record.occupancy(Now + 20s) == doctest::Approx(1).epsilon(0.01));
  Record.recordEnded(Now + 20s);
  CHECK(Record.inFlight() == 0);
}

// Guards against a worker that is never tried again, and against one that gets
// requests at the full rate while it does not answer.
TEST_CASE("ejections of an unreachable worker grow until it answers") {
  WorkerRecord Record;
  CHECK(Record.recordUnreachable(Now));
  CHECK(Record.isEjected(Now + 300ms));
  CHECK_FALSE(Record.isEjected(Now + 500ms));
  CHECK(Record.awaitsRecovery());
  CHECK_FALSE(Record.recordUnreachable(Now + 500ms));
  CHECK(Record.isEjected(Now + 1200ms));
  for (int I = 0; I < 20; ++I)
    Record.recordUnreachable(Now + 2s);
  CHECK_FALSE(Record.isEjected(Now + 4001ms));
  Record.recordAnswer(100ms, 100ms, Now + 5s);
  CHECK_FALSE(Record.awaitsRecovery());
  CHECK_FALSE(Record.isEjected(Now + 5s));
}

TEST_CASE("relative latency and failures follow the answers and decay") {
  WorkerRecord Record;
  for (int I = 0; I < 10; ++I)
    Record.recordAnswer(500ms, 100ms, Now);
  CHECK(Record.relativeLatency(Now) > 4);
  CHECK(Record.relativeLatency(Now + 30s) < 1.1);
  Record.recordFailure(Now);
  Record.recordFailure(Now);
  CHECK(Record.failureShare(Now) > 0.1);
  CHECK(Record.failureShare(Now + 30s) < 0.01);
  CHECK(WorkerRecord().failureShare(Now) == 0);
}

// Guards against own requests that are counted twice or not at all when a
// report of another host is late, and against reports that go back in time.
TEST_CASE("a report of another host counts as of the time of the report") {
  struct Case {
    const char *Name;
    std::vector<Duration> Sent;  //!< Own requests, relative to Now.
    std::vector<Duration> Ended; //!< Own requests, relative to Now.
    Duration Age;                //!< Of the report, which states 5 requests.
    PeerReportResult Result;
    double Occupancy; //!< At Now.
  };
  const Case Cases[] = {
      {"no own requests", {}, {}, 250ms, PeerReportResult::Applied, 5},
      {"own ones before", {-1s, -1s}, {}, 250ms, PeerReportResult::Applied, 5},
      {"own one since", {-100ms}, {}, 250ms, PeerReportResult::Applied, 6},
      {"own one ended since",
       {-1s, -1s},
       {-100ms},
       250ms,
       PeerReportResult::Applied,
       4},
      {"sent and ended since",
       {-200ms},
       {-100ms},
       250ms,
       PeerReportResult::Applied,
       5},
      {"sent, ended and sent again",
       {-1s, -100ms},
       {-200ms},
       250ms,
       PeerReportResult::Applied,
       5},
      {"more changes than are kept",
       std::vector<Duration>(12, -100ms),
       {},
       250ms,
       PeerReportResult::Applied,
       5 + 12 - 4},
      {"at the hold time", {}, {}, 1s, PeerReportResult::Applied, 5},
      {"decays after it", {}, {}, 2s, PeerReportResult::Applied, 2.567},
      {"too old", {}, {}, 2010ms, PeerReportResult::Expired, 0},
      {"from the future", {}, {}, -10ms, PeerReportResult::Applied, 5},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    WorkerRecord Record;
    std::vector<std::pair<Duration, bool>> Changes;
    for (const Duration Each : C.Sent)
      Changes.emplace_back(Each, true);
    for (const Duration Each : C.Ended)
      Changes.emplace_back(Each, false);
    std::ranges::sort(Changes);
    for (const auto &[At, IsSent] : Changes)
      IsSent ? Record.recordSent(Now + At) : Record.recordEnded(Now + At);
    CHECK(Record.recordPeerReport({5, 1, Now - C.Age}, Now) == C.Result);
    CHECK(Record.occupancy(Now) == doctest::Approx(C.Occupancy).epsilon(0.001));
  }
}

TEST_CASE("only newer reports of other hosts replace what a host knows") {
  WorkerRecord Record;
  Record.recordLoad({3, 2, 3, 2.5, true}, Now, ExchangedReportHold);
  CHECK(Record.occupancy(Now + 1s) == doctest::Approx(5));
  CHECK(Record.occupancy(Now + 1s + 1500ms) ==
        doctest::Approx(5 * std::exp(-1)));
  CHECK(Record.recordPeerReport({9, 1, Now - 1ms}, Now) ==
        PeerReportResult::Superseded);
  CHECK(Record.recordPeerReport({9, 1, Now}, Now) ==
        PeerReportResult::Superseded);
  CHECK(Record.relativeLatency(Now) == doctest::Approx(2.5));
  CHECK(Record.recordPeerReport({1, 1, Now + 10ms}, Now + 50ms) ==
        PeerReportResult::Applied);
  CHECK(Record.occupancy(Now + 50ms) == doctest::Approx(1));
  CHECK(Record.relativeLatency(Now + 50ms) == 1);
  // A refusal by the full worker is newer than the report that follows late.
  Record.recordRefusedFull(3, Now + 200ms);
  CHECK(Record.recordPeerReport({1, 1, Now + 150ms}, Now + 250ms) ==
        PeerReportResult::Superseded);
  CHECK(Record.occupancy(Now + 250ms) == doctest::Approx(6));
}

// Guards against a slow phase of a worker that is assumed for longer than it
// lasts, and against one that hides what the host itself has measured.
TEST_CASE("the larger of own latencies and the recent work factor counts") {
  WorkerRecord Record;
  CHECK(Record.recordPeerReport({0, 2.5, Now - 600ms}, Now) ==
        PeerReportResult::Applied);
  CHECK(Record.relativeLatency(Now) == doctest::Approx(1 + 1.5 * std::exp(-1)));
  CHECK(Record.relativeLatency(Now + 4s) == 1);
  // A large factor has a limited effect.
  Record.recordLoad({0, 0, 3, 100, true}, Now);
  CHECK(Record.relativeLatency(Now) == doctest::Approx(12));
  // Answers of the slow phase that were expected to be slow prove nothing.
  Record.recordAnswer(100ms, 100ms, Now);
  Record.recordLoad({0, 0, 3, 1, true}, Now);
  CHECK(Record.relativeLatency(Now) == 1);
  for (int I = 0; I < 10; ++I)
    Record.recordAnswer(500ms, 100ms, Now);
  Record.recordLoad({0, 0, 3, 2, true}, Now);
  CHECK(Record.relativeLatency(Now) > 4);
  // A factor below 1 does not hide that answers were faster than expected.
  WorkerRecord Fast;
  Fast.recordAnswer(50ms, 100ms, Now);
  Fast.recordLoad({0, 0, 3, 0.9, true}, Now);
  CHECK(Fast.relativeLatency(Now) < 0.9);
}
