#include "masticgap/coordination/admission/caller_patience.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

// Guards against first requests that are taken for retried ones and the other
// way round, and against a large remaining time that has an effect for too
// long.
TEST_CASE("the time that a caller has used follows from its remaining time") {
  struct Stated {
    const char *Route;
    Duration At;
    Duration Remaining;
  };
  struct Case {
    const char *Name;
    std::vector<Stated> Before;
    std::optional<Duration> Remaining;
    Duration At;
    Duration Used;
  };
  const Case Cases[] = {
      {"nothing stated before", {}, 2s, 0s, 0s},
      {"no deadline", {{"r", 0s, 2s}}, std::nullopt, 0s, 0s},
      {"first request", {{"r", 0s, 2s}}, 2s, 1s, 0s},
      {"more time than all others", {{"r", 0s, 2s}}, 3s, 1s, 0s},
      {"delayed on its way", {{"r", 0s, 2s}}, 1951ms, 1s, 0s},
      {"retried", {{"r", 0s, 2s}}, 1950ms, 1s, 50ms},
      {"largest of several",
       {{"r", 0s, 1s}, {"r", 1s, 2s}, {"r", 2s, 500ms}},
       1200ms,
       3s,
       800ms},
      {"other route", {{"r", 0s, 1s}, {"s", 0s, 5s}}, 800ms, 1s, 200ms},
      {"a quarter states the largest time",
       {{"r", 0s, 5s}, {"r", 0s, 2s}, {"r", 1s, 2s}, {"r", 2s, 2s}},
       1500ms,
       3s,
       3500ms},
      {"only one caller states the largest time",
       {{"r", 0s, 2s},
        {"r", 0s, 5s},
        {"r", 1s, 2s},
        {"r", 2s, 2s},
        {"r", 3s, 2s}},
       1500ms,
       3s,
       0s},
      {"callers state different times",
       {{"r", 0s, 2s},
        {"r", 0s, 3s},
        {"r", 0s, 4s},
        {"r", 0s, 5s},
        {"r", 0s, 6s}},
       1500ms,
       0s,
       0s},
      {"end of the window",
       {{"r", 0s, 5s}, {"r", 5s, 2s}},
       1500ms,
       9999ms,
       3500ms},
      {"after the window", {{"r", 0s, 5s}, {"r", 5s, 2s}}, 1500ms, 10s, 500ms},
      {"long after", {{"r", 0s, 5s}}, 1500ms, 1h, 0s},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const Instant Start(100s);
    CallerPatience Patience;
    for (const Stated &Request : C.Before)
      Patience.record(Request.Route, Request.Remaining, Start + Request.At);
    CHECK(Patience.timeUsed("r", C.Remaining, Start + C.At) == C.Used);
  }
}

// Guards against memory that grows with each renamed route.
TEST_CASE("routes without recent requests are dropped") {
  CallerPatience Patience;
  for (int I = 0; I < 1000; ++I)
    Patience.record("r" + std::to_string(I), 1s, Instant(1s * I));
  CHECK(Patience.routes() <= 11);
}
