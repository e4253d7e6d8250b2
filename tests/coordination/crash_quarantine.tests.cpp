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

//! Quarantine of one host with events as short calls.
struct Host {
  CrashQuarantine Quarantine;

  QuarantineAction died(int Worker, Instant Now = T0, Fingerprint F = Bad) {
    return Quarantine.workerDied(worker(Worker), Incarnation{1},
                                 std::span(&F, 1), Now);
  }
  //! Death of a worker on which the request had been sent at a given time.
  void diedSent(int Worker, Instant Sent) {
    const InFlightRequest Lost{Bad, Sent};
    Quarantine.workerDied(worker(Worker), Incarnation{1}, std::span(&Lost, 1),
                          Sent + 1ms);
  }
  std::vector<Rumor> heardDeath(int Worker, Instant Now = T0) {
    return Quarantine.onRumor(RequestSuspected{Bad, worker(Worker), {1}}, Now);
  }
  void heardQuarantine(Instant Now = T0) {
    Quarantine.onRumor(RequestQuarantined{Bad}, Now);
  }
  std::vector<Rumor> recordSuccess(Instant Now = T0) {
    return Quarantine.recordSuccess(Bad, Now);
  }
  void heardSuccess(int Worker, Instant Now = T0) {
    Quarantine.onRumor(RequestCleared{Bad, worker(Worker), {1}}, Now);
  }
  static WorkerId worker(int Number) {
    return WorkerId("w" + std::to_string(Number));
  }
};

} // namespace

// Guards against a third dead worker, against an innocent request that stays
// quarantined, and against one that a late copy of a rumor blocks again.
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
      {"one death, told by a rumor", [](Host &H) { H.heardDeath(1); }, 0s, Open,
       true},
      {"same death twice", [](Host &H) { H.died(1), H.died(1); }, 300ms, Open,
       true},
      {"same death, seen and told", [](Host &H) { H.heardDeath(1), H.died(1); },
       300ms, Open, true},
      {"known death is spread again",
       [](Host &H) { H.heardDeath(1), H.died(1); }, 0s, Wait, true},
      {"seen after it was told, sent before",
       [](Host &H) { H.heardDeath(1), H.diedSent(1, T0 - 1ms); }, 300ms, Open,
       true},
      {"same incarnation, but sent after its death was seen",
       [](Host &H) { H.died(1, T0 - 1s), H.diedSent(1, T0); }, 0s, Stop, false},
      {"same incarnation, but sent after its death was told",
       [](Host &H) { H.heardDeath(1, T0 - 1s), H.diedSent(1, T0); }, 0s, Stop,
       false},
      {"same incarnation, but sent after a success",
       [](Host &H) {
         H.died(1, T0 - 2s), H.recordSuccess(T0 - 1s), H.diedSent(1, T0);
       },
       301ms, Open, true},
      {"two deaths", [](Host &H) { H.died(1), H.died(2); }, 0s, Stop, false},
      {"one death seen, one told", [](Host &H) { H.died(1), H.heardDeath(2); },
       0s, Stop, false},
      {"two deaths told", [](Host &H) { H.heardDeath(1), H.heardDeath(2); }, 0s,
       Stop, false},
      {"quarantine told", [](Host &H) { H.heardQuarantine(); }, 0s, Stop,
       false},
      {"quarantine before its end", [](Host &H) { H.heardQuarantine(); },
       10min - 1ns, Stop, false},
      {"quarantine after its end", [](Host &H) { H.heardQuarantine(); }, 10min,
       Open, false},
      {"old copy does not prolong the quarantine",
       [](Host &H) { H.heardQuarantine(), H.heardQuarantine(T0 + 5min); },
       10min, Open, false},
      {"suspicion expires before the second death",
       [](Host &H) { H.died(1, T0 - 10min), H.died(2); }, 300ms, Open, true},
      {"success between two deaths",
       [](Host &H) { H.died(1), H.recordSuccess(), H.died(2); }, 300ms, Open,
       true},
      {"success clears", [](Host &H) { H.died(1), H.recordSuccess(); }, 0s,
       Open, false},
      {"success on another host's worker releases the quarantine",
       [](Host &H) { H.died(1), H.died(2), H.recordSuccess(); }, 0s, Open,
       false},
      {"old copies after a success",
       [](Host &H) {
         H.died(1), H.died(2), H.recordSuccess();
         H.heardDeath(1), H.heardDeath(2), H.heardQuarantine(T0 + 1s);
       },
       1s, Open, false},
      {"success on another host releases the quarantine",
       [](Host &H) { H.heardDeath(1), H.heardDeath(2), H.heardSuccess(2); }, 0s,
       Open, false},
      {"success on another host between two deaths",
       [](Host &H) { H.heardDeath(1), H.heardSuccess(1), H.heardDeath(2); }, 0s,
       Open, true},
      {"a death told after the success that cleared it",
       [](Host &H) { H.heardSuccess(1), H.heardDeath(1); }, 0s, Open, false},
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

// Guards against a caller that is answered before other hosts know: the rumors
// and the wait limit have to be complete.
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
  CHECK(Other.heardDeath(1).empty());
  CHECK(Other.heardDeath(2) == std::vector<Rumor>{RequestQuarantined{Bad}});
  CHECK(Other.heardDeath(2).empty());
}

// Guards against hosts that refuse an innocent request for the whole time of a
// quarantine, because only a host that does not refuse it can see its success.
TEST_CASE("a success is told to all hosts once for each death that it clears") {
  Host H;
  CHECK(H.recordSuccess().empty());
  H.heardDeath(1);
  CHECK(H.recordSuccess() ==
        std::vector<Rumor>{RequestCleared{Bad, Host::worker(1), {1}}});
  CHECK(H.recordSuccess().empty());
}

// Guards against a caller that is answered before the quarantine is known: its
// next host would know of one death only.
TEST_CASE("a caller waits for the spread of a quarantine too") {
  Host H;
  H.heardDeath(1);
  CHECK_FALSE(H.Quarantine.isSpreading(Bad, T0));
  const auto Second = H.died(2);
  CHECK(H.Quarantine.isQuarantined(Bad, T0));
  CHECK(H.Quarantine.isSpreading(Bad, T0 + 299ms));
  CHECK_FALSE(H.Quarantine.isSpreading(Bad, T0 + 300ms));
  H.Quarantine.spreadFinished(Second.Spread.at(0));
  CHECK_FALSE(H.Quarantine.isSpreading(Bad, T0));
}

// Guards against a restarted host that runs a quarantined request again.
TEST_CASE("a host that joins takes over facts with their remaining time") {
  Host H;
  H.died(1);
  H.died(2);
  CrashQuarantine Joined;
  Joined.restore(H.Quarantine.facts(T0 + 4min), T0);
  CHECK(Joined.gate(Bad, T0 + 6min - 1ns) == DispatchGate::Quarantined);
  CHECK(Joined.gate(Bad, T0 + 6min) == DispatchGate::Open);
  Host Suspecting;
  Suspecting.died(1);
  CrashQuarantine Second;
  Second.restore(Suspecting.Quarantine.facts(T0), T0);
  CHECK(Second.isSuspect(Bad, T0));
}

// Guards against unbounded memory when many workers die, and against loss of a
// quarantine to a flood of suspects.
TEST_CASE("memory is bounded and a quarantine outlasts suspects") {
  Host H{CrashQuarantine({.MaxRequests = 10})};
  H.died(1);
  H.died(2);
  for (std::uint64_t I = 100; I < 200; ++I)
    H.died(3, T0 + 1s * static_cast<int>(I), Fingerprint{I});
  CHECK(H.Quarantine.size() == 10);
  CHECK(H.Quarantine.isQuarantined(Bad, T0 + 200s));
  CHECK(H.Quarantine.isSuspect(Fingerprint{199}, T0 + 200s));
}
