#include "masticgap/coordination/affinity/worker_record.hpp"

#include <doctest/doctest.h>

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
  Record.recordEnded();
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
