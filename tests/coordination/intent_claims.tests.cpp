#include "masticgap/coordination/intent_claims.hpp"

#include "coordination/fake_table.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <type_traits>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

//! Outcome of a store call.
enum class CallOutcome { Done, LostBefore, LostAfter, Hang };

//! Claims of one entry host at a table that may be shared with other hosts.
//! Calls without a scripted outcome succeed.
struct Host {
  tests::FakeTable &Table;
  IntentClaims Claims;
  Instant Now{};
  std::vector<CallOutcome> CallOutcomes{};
  std::size_t NextCallOutcome = 0;
  std::string Log{}; //!< Settled claims, each as a letter and its number.
  std::vector<StoreTransact> Hanging{};

  Host(tests::FakeTable &T, const char *Name, std::uint64_t Run = 1,
       IntentLimits Limits = {})
      : Table(T), Claims({HostId(Name), {Run}}, Limits) {}

  void handle(const IntentEvent &Event) {
    for (auto &Action : Claims.handle(Event, Now))
      std::visit([&](const auto &A) { on(A); }, Action);
  }
  //! Fires timers until the given time has passed.
  void run(Duration Length = 1s) {
    const Instant End = Now + Length;
    for (auto Next = Claims.nextTimer(); Next && *Next <= End;
         Next = Claims.nextTimer()) {
      Now = std::max(Now, *Next);
      handle(IntentTick{});
    }
    Now = End;
  }
  void claim(SubmissionId Id, const char *Key, std::uint64_t Request = 1,
             Duration Limit = 2s) {
    handle(ClaimRequested{Id, Key, {Request}, Now + Limit});
  }

  void on(const ClaimWon &A) { note('W', A.Claim); }
  void on(const ClaimHeld &A) { note('H', A.Claim); }
  void on(const ClaimRefused &A) { note('R', A.Claim); }
  void on(const ClaimUnknown &A) { note('U', A.Claim); }
  void on(const StoreTransact &Call) { store(Call); }
  void on(const StoreRead &Call) { store(Call); }

private:
  void note(char Letter, SubmissionId Id) {
    Log += Letter + std::to_string(Id);
  }
  template <class CallType> void store(const CallType &Call) {
    const CallOutcome F = NextCallOutcome < CallOutcomes.size()
                              ? CallOutcomes[NextCallOutcome++]
                              : CallOutcome::Done;
    if constexpr (std::is_same_v<CallType, StoreTransact>)
      if (F == CallOutcome::Hang) {
        Hanging.push_back(Call);
        return;
      }
    const StoreAnswer Answer =
        F == CallOutcome::LostBefore ? StoreLost{Call.CallId} : Table(Call);
    if (F == CallOutcome::LostAfter)
      return handle(StoreLost{Call.CallId});
    std::visit([&](const auto &A) { handle(A); }, Answer);
  }
};

} // namespace

// Guards against a claim won by two hosts, and against a claim that fails
// although no host holds the key, when store answers are lost.
TEST_CASE("a claim is settled whichever store calls are lost") {
  using enum CallOutcome;
  struct Case {
    const char *Name;
    std::vector<CallOutcome> CallOutcomes;
    bool HeldByOther;
    const char *Expected;
  };
  const Case Cases[] = {
      {"committed", {Done}, false, "W1"},
      {"answer lost after the write", {LostAfter}, false, "W1"},
      {"answer lost before the write", {LostBefore}, false, "W1"},
      {"write and its read lost", {LostAfter, LostBefore}, false, "W1"},
      {"two writes lost", {LostBefore, Done, LostAfter}, false, "W1"},
      {"store down", std::vector<CallOutcome>(100, LostBefore), false, "U1"},
      {"held by another host", {Done}, true, "H1"},
      {"held, first answer lost", {LostAfter}, true, "H1"},
      {"held, read lost", {Done, LostBefore}, true, "H1"},
      {"held, store down after the conflict",
       {Done,       LostBefore, LostBefore, LostBefore, LostBefore, LostBefore,
        LostBefore, LostBefore, LostBefore, LostBefore, LostBefore, LostBefore,
        LostBefore, LostBefore, LostBefore, LostBefore, LostBefore, LostBefore,
        LostBefore, LostBefore, LostBefore, LostBefore, LostBefore, LostBefore,
        LostBefore, LostBefore, LostBefore, LostBefore},
       true,
       "U1"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    tests::FakeTable Table;
    Host Other(Table, "b");
    if (C.HeldByOther) {
      Other.claim(9, "k");
      Other.run();
    }
    Host A(Table, "a");
    A.CallOutcomes = C.CallOutcomes;
    A.claim(1, "k");
    A.run(3s);
    CHECK(A.Log == C.Expected);
    CHECK(A.Claims.waiting() == 0);
  }
}

// Guards against a second execution of a key. The result of a further claim
// depends on what the first holder has proved.
TEST_CASE("the state of the first claim determines the result of the second") {
  enum class First { Open, NotRun, Completed, Unsettled, Cancelled };
  struct Case {
    const char *Name;
    First What;
    const char *SecondHost;
    std::uint64_t SecondRun;
    std::uint64_t Request;
    const char *Expected;
  };
  const Case Cases[] = {
      {"open, other host", First::Open, "b", 1, 1, "H2"},
      {"open, same run", First::Open, "a", 1, 1, "U2"},
      {"open, next run of the host", First::Open, "a", 2, 1, "U2"},
      // The holder may release the row and run the other request in the
      // meantime.
      {"open, other request, other host", First::Open, "b", 1, 5, "H2"},
      {"open, other request, same run", First::Open, "a", 1, 5, "R2"},
      {"unsettled, other request", First::Unsettled, "b", 1, 5, "H2"},
      {"not run, other host", First::NotRun, "b", 1, 1, "W2"},
      {"not run, same run", First::NotRun, "a", 1, 1, "W2"},
      {"not run, next run of the host", First::NotRun, "a", 2, 1, "W2"},
      {"not run, other request", First::NotRun, "b", 1, 5, "W2"},
      {"cancelled, other host", First::Cancelled, "b", 1, 1, "W2"},
      {"completed, other host", First::Completed, "b", 1, 1, "H2"},
      {"completed, same run", First::Completed, "a", 1, 1, "U2"},
      {"completed, other request", First::Completed, "b", 1, 5, "R2"},
      {"unsettled, other host", First::Unsettled, "b", 1, 1, "H2"},
      {"unsettled, same run", First::Unsettled, "a", 1, 1, "U2"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    tests::FakeTable Table;
    Host A(Table, "a");
    A.claim(1, "k");
    A.run();
    REQUIRE(A.Log == "W1");
    CHECK(A.Claims.mayDispatch(1, A.Now));
    switch (C.What) {
    case First::Open:
      break;
    case First::NotRun:
      A.handle(ClaimNotRun{1});
      break;
    case First::Completed:
      A.handle(ClaimCompleted{1});
      break;
    case First::Unsettled:
      A.handle(ClaimUnsettled{1});
      break;
    case First::Cancelled:
      A.handle(ClaimCancelled{1});
      break;
    }
    CHECK(A.Claims.mayDispatch(1, A.Now) == (C.What == First::Open));
    A.run(3s);
    Host Fresh(Table, C.SecondHost, C.SecondRun);
    const bool SameRun = C.SecondHost == std::string("a") && C.SecondRun == 1;
    Host &B = SameRun ? A : Fresh;
    B.Log.clear();
    B.claim(2, "k", C.Request);
    B.run();
    CHECK(B.Log == C.Expected);
  }
}

// Guards against a claimed row that no host uses or releases, and against a
// dispatch after the caller received "unknown".
TEST_CASE("a claim that is won after its deadline is released") {
  tests::FakeTable Table;
  Host A(Table, "a");
  A.CallOutcomes = {CallOutcome::Hang};
  A.claim(1, "k");
  A.run(3s);
  REQUIRE(A.Hanging.size() == 1);
  CHECK(A.Log == "U1");
  const StoreAnswer Late = Table(A.Hanging.front());
  SUBCASE("its answer arrives") {
    std::visit([&](const auto &E) { A.handle(E); }, Late);
    CHECK_FALSE(A.Claims.mayDispatch(1, A.Now));
    A.run();
    Host B(Table, "b");
    B.claim(2, "k");
    B.run();
    CHECK(B.Log == "W2");
  }
  SUBCASE("its answer is lost, and the same run claims the key again") {
    A.handle(StoreLost{A.Hanging.front().CallId});
    A.claim(2, "k");
    A.run();
    CHECK(A.Log == "U1W2");
    CHECK_FALSE(A.Claims.mayDispatch(1, A.Now));
  }
  SUBCASE("another host finds it held in the meantime") {
    Host B(Table, "b");
    B.claim(2, "k");
    B.run();
    CHECK(B.Log == "H2");
  }
}

// Guards against treating a lost transaction as committed for all its claims
// because an earlier transaction had written one of them.
TEST_CASE("a late first write does not prove a second transaction") {
  tests::FakeTable Table;
  Host A(Table, "a", 1, {.WritesPerSecond = 1000, .ReadsPerSecond = 1000});
  // The first write, its probe, and the write shared by both claims.
  A.CallOutcomes = {CallOutcome::Hang, CallOutcome::Done,
                    CallOutcome::LostBefore};
  A.claim(1, "k1");
  A.run(10ms);
  REQUIRE(A.Hanging.size() == 1);
  A.claim(2, "k2");
  A.handle(StoreLost{A.Hanging.front().CallId});
  REQUIRE(A.NextCallOutcome == 3);
  Table(A.Hanging.front());
  A.run();
  CHECK(A.Log.find("W1") != std::string::npos);
  CHECK(A.Log.find("W2") != std::string::npos);
  Host B(Table, "b");
  B.claim(3, "k2");
  B.run();
  CHECK(B.Log == "H3");
}

// Guards against an answer to a caller that has disconnected.
TEST_CASE("a cancelled claim is not reported, even at its deadline") {
  tests::FakeTable Table;
  Host A(Table, "a");
  A.CallOutcomes = {CallOutcome::Hang};
  A.claim(1, "k");
  A.claim(2, "l");
  A.run(1s);
  A.Now = Instant(2s);
  A.handle(ClaimCancelled{1});
  CHECK(A.Log == "U2");
}

// Guards against a conflict that fails the claims of other callers, and against
// a separate write for each claim.
TEST_CASE(
    "claims share a transaction, and a conflict fails only its own claim") {
  tests::FakeTable Table;
  Host B(Table, "b");
  B.claim(1, "held");
  B.run();
  Table.Writes = 0;
  Host A(Table, "a");
  A.claim(1, "k1");
  A.claim(2, "held");
  A.claim(3, "k3");
  A.run();
  CHECK(A.Log.find("W1") != std::string::npos);
  CHECK(A.Log.find("W3") != std::string::npos);
  CHECK(A.Log.find("H2") != std::string::npos);
  CHECK(Table.Writes == 2);
  CHECK(Table.Reads == 1);
}

// Guards against a holder that was paused until its row had been removed.
TEST_CASE("a claim that is older than an hour is not dispatched") {
  tests::FakeTable Table;
  Host A(Table, "a");
  A.claim(1, "k");
  A.run();
  CHECK(A.Claims.mayDispatch(1, Instant(1h) - 1ns));
  CHECK_FALSE(A.Claims.mayDispatch(1, Instant(1h)));
}

// Guards against exceeding the write limit of the platform with all hosts.
TEST_CASE("writes and reads stay under their rates; excess is not dispatched") {
  tests::FakeTable Table;
  Host A(Table, "a", 1,
         {.WritesPerSecond = 4,
          .ReadsPerSecond = 12,
          .MaxBatch = 8,
          .MaxWaiting = 100});
  SubmissionId Id = 0;
  for (int I = 0; I < 1000; ++I) {
    ++Id;
    A.claim(Id, std::to_string(Id).c_str());
    A.run(10ms);
  }
  CHECK(Table.Writes <= 41);
  CHECK(Table.Writes >= 39);
  CHECK(A.Claims.waiting() <= 100);
  A.run(3s);
  CHECK(A.Claims.waiting() == 0);
  const auto Count = [&A](char Letter) {
    return std::count(A.Log.begin(), A.Log.end(), Letter);
  };
  // 40 transactions of 8 claims.
  CHECK(Count('W') >= 300);
  CHECK(Count('W') + Count('U') == 1000);
}
