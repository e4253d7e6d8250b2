#include "masticgap/coordination/crash_quarantine.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

const Fingerprint Bad{1};
const Instant T0{100s};

//! Quarantine of one host, with short calls for the events.
struct Host {
  CrashQuarantine Quarantine;

  QuarantineAction died(int Worker, Instant Now = T0, Fingerprint F = Bad) {
    return Quarantine.workerDied(worker(Worker), Incarnation{1},
                                 std::span(&F, 1), Now);
  }
  //! Death of a worker to which the request was sent at a given time.
  void diedAfterSending(int Worker, Instant Sent) {
    const InFlightRequest Lost{Bad, Sent};
    Quarantine.workerDied(worker(Worker), Incarnation{1}, std::span(&Lost, 1),
                          Sent + 1ms);
  }
  std::vector<Rumor> deathRumor(int Worker, Instant Now = T0) {
    return Quarantine.onRumor(RequestSuspected{Bad, worker(Worker), {1}}, Now);
  }
  void quarantineRumor(Instant Now = T0) {
    Quarantine.onRumor(RequestQuarantined{Bad}, Now);
  }
  std::vector<Rumor> recordSuccess(Instant Now = T0) {
    return Quarantine.recordSuccess(Bad, Now);
  }
  void clearedRumor(int Worker, Instant Now = T0) {
    Quarantine.onRumor(RequestCleared{Bad, worker(Worker), {1}}, Now);
  }
  static WorkerId worker(int Number) {
    return WorkerId("w" + std::to_string(Number));
  }
};

} // namespace

// Guards against a request that crashes a third worker, against a harmless
// request that stays quarantined, and against one that is quarantined again by
// a late copy of a rumor.
TEST_CASE("deaths, rumors and successes decide whether a request is stopped") {
  const auto Open = DispatchGate::Open;
  const auto Wait = DispatchGate::WaitForSpread;
  const auto Stop = DispatchGate::Quarantined;
  struct Case {
    const char *Name;
    std::function<void(Host &)> Events;
    Duration After;
    DispatchGate Expected;
    bool Suspect;
  };
  const Case Cases[] = {
      {"no death", [](Host &) {}, 0s, Open, false},
      {"one death", [](Host &H) { H.died(1); }, 0s, Wait, true},
      {"one death, before the wait limit", [](Host &H) { H.died(1); }, 299ms,
       Wait, true},
      {"one death, wait limit passed", [](Host &H) { H.died(1); }, 300ms, Open,
       true},
      {"one death, spread finished",
       [](Host &H) {
         const auto Action = H.died(1);
         H.Quarantine.spreadFinished(Action.Spread.at(0));
       },
       0s, Open, true},
      {"one death, known from a rumor", [](Host &H) { H.deathRumor(1); }, 0s,
       Open, true},
      {"same death twice", [](Host &H) { H.died(1), H.died(1); }, 300ms, Open,
       true},
      {"same death, known from a rumor and observed",
       [](Host &H) { H.deathRumor(1), H.died(1); }, 300ms, Open, true},
      {"death known from a rumor is spread when observed",
       [](Host &H) { H.deathRumor(1), H.died(1); }, 0s, Wait, true},
      {"observed after the rumor, sent before",
       [](Host &H) { H.deathRumor(1), H.diedAfterSending(1, T0 - 1ms); }, 300ms,
       Open, true},
      {"same incarnation, but sent after its death was observed",
       [](Host &H) { H.died(1, T0 - 1s), H.diedAfterSending(1, T0); }, 0s, Stop,
       false},
      {"same incarnation, but sent after the rumor of its death",
       [](Host &H) { H.deathRumor(1, T0 - 1s), H.diedAfterSending(1, T0); }, 0s,
       Stop, false},
      {"same incarnation, but sent after a success",
       [](Host &H) {
         H.died(1, T0 - 2s), H.recordSuccess(T0 - 1s),
             H.diedAfterSending(1, T0);
       },
       301ms, Open, true},
      {"two deaths", [](Host &H) { H.died(1), H.died(2); }, 0s, Stop, false},
      {"one death observed, one known from a rumor",
       [](Host &H) { H.died(1), H.deathRumor(2); }, 0s, Stop, false},
      {"two deaths known from rumors",
       [](Host &H) { H.deathRumor(1), H.deathRumor(2); }, 0s, Stop, false},
      {"quarantine known from a rumor", [](Host &H) { H.quarantineRumor(); },
       0s, Stop, false},
      {"quarantine before its end", [](Host &H) { H.quarantineRumor(); },
       10min - 1ns, Stop, false},
      {"quarantine after its end", [](Host &H) { H.quarantineRumor(); }, 10min,
       Open, false},
      {"old copy does not prolong the quarantine",
       [](Host &H) { H.quarantineRumor(), H.quarantineRumor(T0 + 5min); },
       10min, Open, false},
      {"suspicion expires before the second death",
       [](Host &H) { H.died(1, T0 - 10min), H.died(2); }, 300ms, Open, true},
      {"success between two deaths",
       [](Host &H) { H.died(1), H.recordSuccess(), H.died(2); }, 300ms, Open,
       true},
      {"success clears", [](Host &H) { H.died(1), H.recordSuccess(); }, 0s,
       Open, false},
      {"success ends the quarantine",
       [](Host &H) { H.died(1), H.died(2), H.recordSuccess(); }, 0s, Open,
       false},
      {"old copies after a success",
       [](Host &H) {
         H.died(1), H.died(2), H.recordSuccess();
         H.deathRumor(1), H.deathRumor(2), H.quarantineRumor(T0 + 1s);
       },
       1s, Open, false},
      {"success on another host ends the quarantine",
       [](Host &H) { H.deathRumor(1), H.deathRumor(2), H.clearedRumor(2); }, 0s,
       Open, false},
      {"success on another host between two deaths",
       [](Host &H) { H.deathRumor(1), H.clearedRumor(1), H.deathRumor(2); }, 0s,
       Open, true},
      {"rumor of a death after the success that cleared it",
       [](Host &H) { H.clearedRumor(1), H.deathRumor(1); }, 0s, Open, false},
      {"new deaths after a success",
       [](Host &H) { H.died(1), H.recordSuccess(), H.died(2), H.died(3); }, 0s,
       Stop, false},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    Host H;
    C.Events(H);
    CHECK(H.Quarantine.gate(Bad, T0 + C.After) == C.Expected);
    CHECK(H.Quarantine.isSuspect(Bad, T0 + C.After) == C.Suspect);
    CHECK(H.Quarantine.gate(Fingerprint{2}, T0 + C.After) == Open);
  }
}

// Guards against a caller that is answered before other hosts know of the
// death: the rumors and the wait limit have to be complete.
TEST_CASE("a death is spread, and a second one spreads the quarantine") {
  Host H;
  const auto First = H.died(1);
  CHECK(First.Spread ==
        std::vector<Rumor>{RequestSuspected{Bad, Host::worker(1), {1}}});
  CHECK(First.WaitLimit == T0 + 300ms);
  const auto Second = H.died(2);
  CHECK(Second.Spread ==
        std::vector<Rumor>{RequestSuspected{Bad, Host::worker(2), {1}},
                           RequestQuarantined{Bad}});
  Host Other;
  CHECK(Other.deathRumor(1).empty());
  CHECK(Other.deathRumor(2) == std::vector<Rumor>{RequestQuarantined{Bad}});
  CHECK(Other.deathRumor(2).empty());
}

// Guards against hosts that reject a harmless request for the whole quarantine
// time: only a host that does not reject it can see it succeed.
TEST_CASE(
    "a success is spread to all hosts once for each death that it clears") {
  Host H;
  CHECK(H.recordSuccess().empty());
  H.deathRumor(1);
  CHECK(H.recordSuccess() ==
        std::vector<Rumor>{RequestCleared{Bad, Host::worker(1), {1}}});
  CHECK(H.recordSuccess().empty());
}

// Guards against a caller that is answered before other hosts know of the
// quarantine: the host to which it sends its retry would know only one death.
TEST_CASE("a caller waits for the spread of a quarantine too") {
  Host H;
  H.deathRumor(1);
  CHECK_FALSE(H.Quarantine.isSpreading(Bad, T0));
  const auto Second = H.died(2);
  CHECK(H.Quarantine.isQuarantined(Bad, T0));
  CHECK(H.Quarantine.isSpreading(Bad, T0 + 299ms));
  CHECK_FALSE(H.Quarantine.isSpreading(Bad, T0 + 300ms));
  H.Quarantine.spreadFinished(Second.Spread.at(0));
  CHECK_FALSE(H.Quarantine.isSpreading(Bad, T0));
}

// Guards against a restarted host that runs a quarantined request again.
TEST_CASE("a new host restores records with their remaining time") {
  Host H;
  H.died(1);
  H.died(2);
  CrashQuarantine Joined;
  Joined.restore(H.Quarantine.records(T0 + 4min), T0);
  CHECK(Joined.gate(Bad, T0 + 6min - 1ns) == DispatchGate::Quarantined);
  CHECK(Joined.gate(Bad, T0 + 6min) == DispatchGate::Open);
  Host Suspecting;
  Suspecting.died(1);
  CrashQuarantine Second;
  Second.restore(Suspecting.Quarantine.records(T0), T0);
  CHECK(Second.isSuspect(Bad, T0));
}

// Guards against a harmless request that many callers send: a failure of many
// workers at once must not quarantine it, and a quarantine must not last for
// its full time; and against a request that crashes a worker at each trial.
TEST_CASE("concurrent deaths count once, and trials become rare") {
  CrashQuarantine Shared(
      {.CountConcurrentDeaths = false, .FirstTrial = Duration(3s)});
  const auto DiedAfterSending = [&](int Worker, Instant Sent, Instant Now) {
    const InFlightRequest Lost{Bad, Sent};
    Shared.workerDied(Host::worker(Worker), Incarnation{1}, std::span(&Lost, 1),
                      Now);
  };
  for (int Worker = 0; Worker < 5; ++Worker)
    DiedAfterSending(Worker, T0 - 1s, T0 + 10ms * Worker);
  CHECK_FALSE(Shared.isQuarantined(Bad, T0 + 1s));
  CHECK_FALSE(Shared.takeTrial(Bad, T0 + 1s));
  DiedAfterSending(6, T0 + 1s, T0 + 2s);
  CHECK(Shared.isQuarantined(Bad, T0 + 2s));
  CHECK(Shared.untilTrial(Bad, T0 + 2s) == Duration(3s));
  struct Step {
    Duration At; // After the beginning of the quarantine.
    bool Due;
  };
  for (const Step &S : {Step{2999ms, false}, Step{3s, true},
                        Step{3001ms, false}, Step{14s, false}, Step{15s, true},
                        Step{62s, false}, Step{63s, true}, Step{64s, false}}) {
    CAPTURE(S.At.count());
    CHECK(Shared.takeTrial(Bad, T0 + 2s + S.At) == S.Due);
  }
  Shared.recordSuccess(Bad, T0 + 70s);
  CHECK_FALSE(Shared.isQuarantined(Bad, T0 + 70s));
  CHECK_FALSE(Shared.takeTrial(Bad, T0 + 400s));
}

// Guards against unbounded memory use when many workers die, and against a
// quarantine that is evicted by many suspects.
TEST_CASE(
    "memory use is bounded and suspects are evicted before a quarantine") {
  Host H{CrashQuarantine({.MaxRequests = 10})};
  H.died(1);
  H.died(2);
  for (std::uint64_t I = 100; I < 200; ++I)
    H.died(3, T0 + 1s * static_cast<int>(I), Fingerprint{I});
  CHECK(H.Quarantine.size() == 10);
  CHECK(H.Quarantine.isQuarantined(Bad, T0 + 200s));
  CHECK(H.Quarantine.isSuspect(Fingerprint{199}, T0 + 200s));
}
