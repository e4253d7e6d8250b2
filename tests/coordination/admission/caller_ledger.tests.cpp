#include "masticgap/coordination/admission/caller_ledger.hpp"
#include "masticgap/coordination/admission/buffer_budget.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

// Guards against closing a caller that a worker serves, or one that holds
// little or makes progress in place of one that blocks memory.
TEST_CASE("the caller that holds most for the longest is closed") {
  struct Caller {
    std::size_t Bytes;
    std::chrono::milliseconds LastProgress; //!< Before the choice.
    bool Served;
  };
  struct Case {
    const char *Name;
    std::vector<Caller> Callers;
    std::size_t MinBytes;
    std::optional<std::size_t> Victim; //!< Index.
  };
  constexpr std::size_t K = 1024;
  const Case Cases[] = {
      {"none", {}, 0, std::nullopt},
      {"most bytes", {{10 * K, 1s, false}, {90 * K, 1s, false}}, 0, 1},
      {"longest wait", {{10 * K, 9s, false}, {10 * K, 1s, false}}, 0, 0},
      {"both", {{200 * K, 100ms, false}, {100 * K, 900ms, false}}, 0, 1},
      {"same moment", {{200 * K, 0s, false}, {100 * K, 0s, false}}, 0, 0},
      {"served", {{200 * K, 9s, true}, {10 * K, 1s, false}}, 0, 1},
      {"all served", {{200 * K, 9s, true}}, 0, std::nullopt},
      {"idle without memory", {{0, 9s, false}, {10 * K, 1s, false}}, 4 * K, 1},
      {"only idle ones", {{0, 9s, false}}, 4 * K, std::nullopt},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const Instant Now = Instant() + 1h;
    CallerLedger Ledger(10);
    std::vector<CallerLedger::CallerId> Ids;
    for (const Caller &Each : C.Callers) {
      const Instant Then = Now - Each.LastProgress;
      Ids.push_back(Ledger.open(Then));
      Ledger.hold(Ids.back(), Each.Bytes);
      Ledger.setServed(Ids.back(), Each.Served, Then);
    }
    const auto Victim = Ledger.takeVictim(C.MinBytes, Now);
    REQUIRE(Victim.has_value() == C.Victim.has_value());
    if (!Victim)
      continue;
    CHECK(Victim->Caller == Ids.at(*C.Victim));
    CHECK(Ledger.connections() == C.Callers.size() - 1);
  }
}

// Guards against a crowd that keeps its connections by single bytes, while
// uploads that pause for longer than the crowd does are closed.
TEST_CASE("single bytes are no progress, and the time at a worker no pause") {
  struct Part {
    std::chrono::milliseconds Before; //!< The choice.
    std::size_t Bytes;
  };
  struct Case {
    const char *Name;
    std::vector<Part> Crowd;
    std::chrono::milliseconds Pause; //!< Of the upload before the choice.
    std::chrono::milliseconds AtWorker;
    bool UploadIsClosed;
  };
  constexpr std::size_t Enough = CallerLedger::MinProgressBytes;
  const Case Cases[] = {
      {"single bytes", {{300ms, 1}, {150ms, 1}, {1ms, 1}}, 500ms, 0ms, false},
      {"many small parts",
       {{300ms, Enough / 2}, {1ms, Enough / 2}},
       500ms,
       0ms,
       true},
      {"a large part", {{1ms, Enough}}, 500ms, 0ms, true},
      {"the upload pauses for longer", {{1ms, 1}}, 3s, 0ms, true},
      {"the worker takes long", {{1ms, 1}}, 3s, 2s, false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const Instant Now = Instant() + 1h;
    CallerLedger Ledger(10);
    const auto Upload = Ledger.open(Now - C.Pause);
    const auto Crowd = Ledger.open(Now - 2s);
    for (const auto Each : {Upload, Crowd})
      Ledger.hold(Each, 256 * 1024);
    for (const Part &Sent : C.Crowd)
      Ledger.received(Crowd, Sent.Bytes, Now - Sent.Before);
    if (C.AtWorker > 0ms) {
      Ledger.setServed(Upload, true, Now - C.AtWorker);
      Ledger.setServed(Upload, false, Now);
    }
    const auto Victim = Ledger.takeVictim(0, Now);
    REQUIRE(Victim);
    CHECK(Victim->Caller == (C.UploadIsClosed ? Upload : Crowd));
  }
}

// Guards against callers that take the descriptors for files and for workers.
TEST_CASE("callers get less than half of the descriptors") {
  struct Case {
    std::size_t Descriptors;
    std::size_t Callers;
  };
  for (const Case &C : {Case{0, 1}, Case{26, 1}, Case{240, 99},
                        Case{2870, 1320}, Case{65536, 30415}})
    CHECK(maxCallerConnections(C.Descriptors) == C.Callers);
}

// Guards against memory above the hard limit while closed callers still hold
// theirs, and against a shortage that never ends.
TEST_CASE("memory of closed callers may be reserved before it is released") {
  std::vector<std::size_t> Missing;
  BufferBudget Budget(100);
  std::size_t Closable = 90;
  Budget.onShortage([&](std::size_t Bytes) {
    Missing.push_back(Bytes);
    return std::exchange(Closable, 0);
  });
  CHECK(Budget.tryReserve(90));
  CHECK(Budget.tryReserve(30));
  CHECK(Missing == std::vector<std::size_t>{20});
  CHECK(Budget.tryReserve(30));
  CHECK_FALSE(Budget.tryReserve(1));
  CHECK(Budget.reserved() == 150);
  Budget.release(90);
  Budget.endClosed(90);
  CHECK(Budget.tryReserve(40));
  CHECK_FALSE(Budget.tryReserve(1));
  Budget.release(100);
  CHECK(Budget.releasedSincePeak() == 150);
  Budget.forgetPeak();
  CHECK(Budget.releasedSincePeak() == 0);
}
