#include "masticgap/coordination/admission_queue.hpp"
#include "masticgap/coordination/connection_health.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {
constexpr Instant Start{Duration(1h)};
} // namespace

TEST_CASE("the queue rejects requests that it cannot serve in time") {
  AdmissionQueue Queue(3);
  CHECK(Queue.enqueue(Start, Start + 1s));
  CHECK(Queue.enqueue(Start, Start + 1s));
  CHECK(Queue.enqueue(Start, Start + 1s));
  CHECK_FALSE(Queue.enqueue(Start, Start + 1s)); // Full.

  // Two requests are served 400 ms apart, so a new one would wait about 400 ms.
  REQUIRE(Queue.next());
  Queue.served(Start);
  REQUIRE(Queue.next());
  Queue.served(Start + 400ms);
  CHECK(Queue.size() == 1);
  CHECK(Queue.expectedWait() == 400ms);
  CHECK_FALSE(Queue.enqueue(Start + 400ms, Start + 800ms));
  CHECK(Queue.enqueue(Start + 400ms, Start + 801ms));
}

TEST_CASE("idle time does not count as slow service") {
  AdmissionQueue Queue(3);
  REQUIRE(Queue.enqueue(Start, Start + 1s));
  REQUIRE(Queue.next());
  Queue.served(Start);
  REQUIRE(Queue.enqueue(Start + 1h, Start + 1h + 1s));
  REQUIRE(Queue.next());
  Queue.served(Start + 1h);
  CHECK(Queue.expectedWait() == 0s);
}

TEST_CASE("waiting requests keep their order and leave at their deadline") {
  AdmissionQueue Queue(8);
  const auto A = Queue.enqueue(Start, Start + 1s);
  const auto B = Queue.enqueue(Start, Start + 2s);
  const auto C = Queue.enqueue(Start, Start + 3s);
  REQUIRE(Queue.next() == A);
  Queue.requeue(*A, Start + 1s);
  CHECK(Queue.removeExpired(Start + 1s) == std::vector{*A});
  Queue.remove(*B);
  CHECK(Queue.next() == C);
  CHECK_FALSE(Queue.next());
}

// Guards against a non-repeatable request that is lost on a stale connection.
TEST_CASE("a connection without recent proof of liveness gets only repeatable "
          "requests") {
  struct Case {
    Duration Age;
    ConnectionUse Expected;
  };
  const Case Cases[] = {{0s, ConnectionUse::Any},
                        {1999ms, ConnectionUse::Any},
                        {2s, ConnectionUse::RepeatableOnly},
                        {29s, ConnectionUse::RepeatableOnly},
                        {30s, ConnectionUse::Close}};
  for (const auto &C : Cases) {
    CAPTURE(C.Age.count());
    CHECK(ConnectionHealth(Start).use(Start + C.Age) == C.Expected);
  }
}
