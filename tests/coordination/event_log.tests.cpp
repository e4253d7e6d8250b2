#include "masticgap/coordination/event_log.hpp"

#include "masticgap/coordination/event_json.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <chrono>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1h};

} // namespace

TEST_CASE("stamps increase while the clock stands still or a stamp is ahead") {
  HybridClock Clock(makeIncarnation(1'000'000, 3), Start);
  const HybridTime First = Clock.stamp(Start);
  CHECK(First.UnixMicros == 1'000'000'000);
  const HybridTime Second = Clock.stamp(Start);
  CHECK(Second > First);
  const HybridTime Remote{First.UnixMicros + 5'000'000, 4};
  CHECK(Clock.observe(Remote, Start));
  CHECK(Clock.stamp(Start + 1s) > Remote);
  CHECK(Clock.stamp(Start + 6s) == HybridTime{First.UnixMicros + 6'000'000, 0});
  CHECK(Clock.observe({Remote.UnixMicros, UINT32_MAX}, Start + 4s));
}

TEST_CASE("the logical part carries over when it is full") {
  HybridClock Clock(makeIncarnation(1'000'000, 3), Start);
  REQUIRE(Clock.observe({2'000'000'000, UINT32_MAX}, Start));
  CHECK(Clock.stamp(Start) == HybridTime{2'000'000'001, 0});
}

TEST_CASE("a stamp from a clock that is far ahead is ignored") {
  HybridClock Clock(makeIncarnation(1'000'000, 3), Start);
  CHECK_FALSE(Clock.observe({UINT64_MAX, 0}, Start));
  CHECK(Clock.stamp(Start).UnixMicros == 1'000'000'000);
}

TEST_CASE("the log keeps the newest events up to its capacity") {
  HybridClock Clock(makeIncarnation(1'000'000, 3), Start);
  EventLog Log(HostId("entry-1"), Clock, 4);
  CHECK(Log.since(0).empty());
  for (unsigned I = 0; I < 10; ++I)
    Log.record(EventKind::RumorSpread, {}, Start);
  struct Case {
    std::uint64_t Since;
    std::size_t Limit;
    std::uint64_t First;
    std::size_t Count;
  };
  const Case Cases[] = {{0, 100, 7, 4}, {8, 100, 9, 2}, {6, 3, 7, 3}};
  for (const Case &C : Cases) {
    CAPTURE(C.Since);
    const auto Events = Log.since(C.Since, C.Limit);
    REQUIRE(Events.size() == C.Count);
    for (std::size_t I = 0; I < Events.size(); ++I)
      CHECK(Events[I].Sequence == C.First + I);
  }
  CHECK(Log.since(10).empty());
  CHECK(Log.since(UINT64_MAX).empty());
}

TEST_CASE("each kind of event survives JSON") {
  for (int Kind = 0; Kind <= static_cast<int>(EventKind::PlacementChanged);
       ++Kind) {
    CAPTURE(Kind);
    const Event E{UINT64_MAX,
                  {5, 6},
                  HostId("entry \"1\""),
                  static_cast<EventKind>(Kind),
                  {RequestId("r"), WorkerId("w"), HostId("h"), "c", "\n\x01"}};
    const Event Parsed = boost::leaf::try_handle_all(
        [&] { return parseEventLine(toJsonLine(E)); }, [] { return Event(); });
    CHECK(Parsed == E);
  }
}
