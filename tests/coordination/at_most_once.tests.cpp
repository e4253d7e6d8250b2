#include "masticgap/coordination/at_most_once.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

const EntryHostRun Self{HostId("a"), Incarnation{7}};
const Instant Start{1000s};
const Fingerprint First{1};

IdempotencyKey key(const std::string &Text) {
  return parseIdempotencyKey(Text).value();
}

std::string nameOf(const Verdict &V) {
  static const char *const Names[] = {
      "dispatch", "join", "replay", "forward", "refuse", "unknown", "claim"};
  return Names[V.index()];
}

StoredAnswer answer(std::size_t Bytes = 2) {
  return {200, {{"Content-Type", "text/plain"}}, std::string(Bytes, 'x')};
}

//! Submission of a key to a guard, with short functions for its events.
struct TestSubmission {
  AtMostOnceGuard &Guard;
  IdempotencyKey Key;
  SubmissionId Id;

  TestSubmission(AtMostOnceGuard &G, IdempotencyKey K, Instant Now = Start)
      : Guard(G), Key(std::move(K)) {
    const Verdict V = Guard.admit(Key, First, Now);
    if (const auto *Direct = std::get_if<Dispatch>(&V))
      Id = Direct->Submission;
    else
      Id = std::get<ClaimIntent>(V).Submission;
  }
  bool start() { return Guard.dispatched(Key, Id); }
  void notRun() { Guard.notRun(Key, Id); }
  void answered(std::size_t Bytes = 2) {
    Guard.answered(Key, Id, answer(Bytes));
  }
  void unknown() { Guard.unknown(Key, Id); }
  CallerGoneAction gone() { return Guard.callerGone(Key, Id); }
};

} // namespace

// Guards against a second execution, a wrong "not run" and a lost outcome. Each
// row lists the events of a key before its request is resent and the verdict.
TEST_CASE("the verdict on a resent request depends on the key's history") {
  struct Case {
    const char *Name;
    std::function<void(TestSubmission &)> Before;
    const char *Bound;
    const char *Bare;
  };
  const Case Cases[] = {
      {"waiting for a worker", [](TestSubmission &) {}, "join", "join"},
      {"dispatched", [](TestSubmission &S) { S.start(); }, "join", "join"},
      {"answered", [](TestSubmission &S) { S.start(), S.answered(); }, "replay",
       "replay"},
      {"answered too large to keep",
       [](TestSubmission &S) { S.start(), S.answered(1 << 20); }, "unknown",
       "unknown"},
      {"answer not collected",
       [](TestSubmission &S) { S.start(), S.Guard.answered(S.Key, S.Id, {}); },
       "unknown", "unknown"},
      {"unknown", [](TestSubmission &S) { S.start(), S.unknown(); }, "unknown",
       "unknown"},
      {"refused by the worker",
       [](TestSubmission &S) { S.start(), S.notRun(); }, "dispatch", "claim"},
      {"refused, then retried inside the host",
       [](TestSubmission &S) { S.start(), S.start(); }, "join", "join"},
      {"answered after a retry",
       [](TestSubmission &S) { S.start(), S.start(), S.answered(); }, "replay",
       "replay"},
      {"answered after unknown",
       [](TestSubmission &S) { S.start(), S.unknown(), S.answered(); },
       "replay", "replay"},
      {"not run reported after unknown",
       [](TestSubmission &S) { S.start(), S.unknown(), S.notRun(); }, "unknown",
       "unknown"},
      {"unknown reported after answered",
       [](TestSubmission &S) { S.start(), S.answered(), S.unknown(); },
       "replay", "replay"},
      {"caller gone before dispatch", [](TestSubmission &S) { S.gone(); },
       "dispatch", "claim"},
      {"caller gone in flight", [](TestSubmission &S) { S.start(), S.gone(); },
       "join", "join"},
      {"caller gone in flight, then answered",
       [](TestSubmission &S) { S.start(), S.gone(), S.answered(); }, "replay",
       "replay"},
      {"one of two callers gone before dispatch",
       [](TestSubmission &S) { S.Guard.admit(S.Key, First, Start), S.gone(); },
       "join", "join"},
      {"both callers gone before dispatch",
       [](TestSubmission &S) {
         S.Guard.admit(S.Key, First, Start), S.gone(), S.gone();
       },
       "dispatch", "claim"},
      {"events of an earlier submission after not run",
       [](TestSubmission &S) {
         S.notRun();
         TestSubmission Second(S.Guard, S.Key);
         S.start(), S.notRun(), S.unknown(), S.answered();
       },
       "join", "join"},
  };
  for (const auto &C : Cases) {
    for (const bool IsBound : {true, false}) {
      CAPTURE(C.Name);
      CAPTURE(IsBound);
      AtMostOnceGuard Guard(Self, Start);
      TestSubmission Submission(Guard, key(IsBound ? "a.7.0~k" : "k"));
      C.Before(Submission);
      const Verdict V = Guard.admit(Submission.Key, First, Start + 1s);
      CHECK(nameOf(V) == (IsBound ? C.Bound : C.Bare));
    }
  }
}

// Guards against dispatching a submission that a later one has replaced.
TEST_CASE("a settled or replaced submission may not be dispatched") {
  AtMostOnceGuard Guard(Self, Start);
  TestSubmission Early(Guard, key("a.7.0~k"));
  Early.notRun();
  CHECK_FALSE(Early.start());
  TestSubmission Second(Guard, key("a.7.0~k"));
  CHECK_FALSE(Early.start());
  CHECK_FALSE(Guard.mayDispatch(Early.Key, Early.Id));
  CHECK(Guard.mayDispatch(Second.Key, Second.Id));
  CHECK(Second.start());
  Second.unknown();
  CHECK_FALSE(Second.start());
}

// Guards against execution by a process that does not own the key, and against
// a wrong "not run" for keys whose history is no longer stored.
TEST_CASE("the binding decides about keys that are not stored") {
  struct Case {
    const char *Name;
    const char *Text;
    Duration Age;
    RequestOrigin Origin;
    const char *Expected;
  };
  const auto Caller = RequestOrigin::Caller;
  const auto Forwarded = RequestOrigin::Forwarded;
  const Case Cases[] = {
      {"own", "a.7.0~k", 0s, Caller, "dispatch"},
      {"own, forwarded", "a.7.0~k", 0s, Forwarded, "dispatch"},
      {"other host", "b.7.0~k", 0s, Caller, "forward"},
      {"other host, forwarded", "b.7.0~k", 0s, Forwarded, "unknown"},
      {"older run", "a.6.0~k", 0s, Caller, "unknown"},
      {"newer run", "a.8.0~k", 0s, Caller, "unknown"},
      {"next epoch", "a.7.1~k", 59s, Caller, "refuse"},
      {"next epoch after it began", "a.7.1~k", 60s, Caller, "dispatch"},
      {"far epoch", "a.7.18446744073709551615~k", 0s, Caller, "refuse"},
      {"oldest kept epoch", "a.7.0~k", 599s, Caller, "dispatch"},
      {"newest dropped epoch", "a.7.0~k", 600s, Caller, "unknown"},
      {"bare", "k", 0s, Caller, "claim"},
      {"bare, forwarded", "k", 0s, Forwarded, "claim"},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    AtMostOnceGuard Guard(Self, Start);
    const Verdict V = Guard.admit(key(C.Text), First, Start + C.Age, C.Origin);
    CHECK(nameOf(V) == C.Expected);
  }
}

// Guards against returning the answer of another request, and against a second
// request that changes the state of the first.
TEST_CASE(
    "the same key with another request never runs or gets the first answer") {
  const std::function<void(TestSubmission &)> States[] = {
      [](TestSubmission &) {}, [](TestSubmission &S) { S.start(); },
      [](TestSubmission &S) { S.start(), S.answered(); },
      [](TestSubmission &S) { S.start(), S.unknown(); }};
  const char *const ResendVerdicts[] = {"join", "join", "replay", "unknown"};
  for (std::size_t I = 0; I < std::size(States); ++I) {
    for (const bool IsBound : {true, false}) {
      CAPTURE(I);
      CAPTURE(IsBound);
      AtMostOnceGuard Guard(Self, Start);
      TestSubmission Submission(Guard, key(IsBound ? "a.7.0~k" : "k"));
      States[I](Submission);
      const Verdict V = Guard.admit(Submission.Key, Fingerprint{2}, Start);
      // Until a bare key is claimed, the other request may have run elsewhere.
      const bool ProvedNotRun = IsBound || I > 0;
      CHECK(nameOf(V) == (ProvedNotRun ? "refuse" : "unknown"));
      CHECK(nameOf(Guard.admit(Submission.Key, First, Start)) ==
            ResendVerdicts[I]);
    }
  }
}

// Guards against dropping a key while its request runs. A resent request must
// find the key although its epoch has ended.
TEST_CASE("a key in flight outlives its epoch and is dropped when it settles") {
  AtMostOnceGuard Guard(Self, Start);
  TestSubmission Submission(Guard, key("a.7.0~k"));
  Submission.start();
  const Instant Late = Start + 11 * EpochLength;
  CHECK(nameOf(Guard.admit(Submission.Key, First, Late)) == "join");
  Submission.answered();
  CHECK(nameOf(Guard.admit(Submission.Key, First, Late)) == "unknown");
  CHECK(Guard.size() == 0);
  CHECK(Guard.answerBytes() == 0);
}

// Guards against unbounded memory, and against a host with a full key table
// that answers "not run" for a bare key although another host may have run it.
TEST_CASE("a full key table refuses new keys until old ones are dropped") {
  AtMostOnceGuard Guard(Self, Start, {.MaxKeys = 100});
  for (int I = 0; I < 100; ++I)
    TestSubmission(Guard, key("a.7.0~" + std::to_string(I))).unknown();
  CHECK(nameOf(Guard.admit(key("a.7.0~0"), First, Start)) == "unknown");
  CHECK(nameOf(Guard.admit(key("a.7.0~new"), First, Start)) == "refuse");
  CHECK(nameOf(Guard.admit(key("new"), First, Start)) == "unknown");
  CHECK(Guard.size() == 100);
  const Instant Late = Start + 10 * EpochLength;
  CHECK(nameOf(Guard.admit(key("a.7.10~new"), First, Late)) == "dispatch");
  // Each request examines a part of the key table.
  for (int I = 0; I < 10; ++I)
    CHECK(nameOf(Guard.admit(key("a.7.10~new"), First, Late)) == "join");
  CHECK(Guard.size() == 1);
}

// Guards against unbounded memory for answers. The fact that a key ran is kept.
TEST_CASE("the oldest answers are dropped when their total is too large") {
  AtMostOnceGuard Guard(Self, Start,
                        {.MaxAnswerBytes = 2000, .MaxTotalAnswerBytes = 3000});
  for (const char *Text : {"a.7.0~1", "a.7.0~2", "a.7.0~3"}) {
    TestSubmission Submission(Guard, key(Text));
    Submission.start();
    Submission.answered(1000);
  }
  CHECK(Guard.answerBytes() <= 3000);
  CHECK(nameOf(Guard.admit(key("a.7.0~1"), First, Start)) == "unknown");
  CHECK(nameOf(Guard.admit(key("a.7.0~2"), First, Start)) == "replay");
  CHECK(nameOf(Guard.admit(key("a.7.0~3"), First, Start)) == "replay");
}
