#include "masticgap/coordination/joining/join_schedule.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

std::uint64_t hash(int Worker) {
  return workerHash(WorkerId("w" + std::to_string(Worker)));
}

} // namespace

// Guards against a whole fleet that counts as joining after its start, and
// against one worker that takes over everything at once.
TEST_CASE("a worker joins if most of its group started earlier") {
  struct Case {
    const char *Name;
    std::vector<Instant> Group;
    Instant StartedAt;
    Duration Age; //!< When the share is taken.
    bool Joining;
    double MinShare;
    double MaxShare;
  };
  const Case Cases[] = {
      {"alone", {Start}, Start, 0s, false, 1, 1},
      {"no group", {}, Start, 0s, false, 1, 1},
      {"started with the others",
       {Start, Start + 1s, Start + 4s},
       Start + 4s,
       0s,
       false,
       1,
       1},
      {"just started",
       {Start, Start, Start + 30s},
       Start + 30s,
       0s,
       true,
       0,
       0},
      {"in the middle",
       {Start, Start, Start + 30s},
       Start + 30s,
       15s,
       true,
       0.49,
       0.51},
      {"has joined",
       {Start, Start, Start + 30s},
       Start + 30s,
       30s,
       false,
       1,
       1},
      {"most were replaced",
       {Start, Start + 30s, Start + 30s},
       Start + 30s,
       0s,
       false,
       1,
       1},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    JoinSchedule Schedule;
    const Instant Now = C.StartedAt + C.Age;
    Schedule.update(C.Group, 0, Now);
    const WorkerStart Worker{C.StartedAt, C.StartedAt};
    CHECK(Schedule.isJoining(Worker, Now) == C.Joining);
    CHECK(Schedule.takenOverShare(Worker, Now) >= C.MinShare);
    CHECK(Schedule.takenOverShare(Worker, Now) <= C.MaxShare);
  }
}

// Guards against objects that are sent to a worker while it is slow.
TEST_CASE("a worker takes over nothing in its cold phase") {
  JoinSchedule Schedule;
  Schedule.update({Start, Start, Start + 30s}, 0, Start + 30s);
  const WorkerStart Cold{Start + 30s, Start + 33s};
  CHECK(Schedule.takenOverShare(Cold, Start + 33s) == 0);
  CHECK_FALSE(Schedule.trialIsDue(Cold, hash(1), Start + 32s));
  CHECK(Schedule.takenOverShare(Cold, Start + 34s) > 0);
}

// Guards against an object that returns to its earlier worker, where it may be
// forgotten already.
TEST_CASE("an object that was taken over stays") {
  for (int Object = 0; Object < 200; ++Object) {
    bool Before = false;
    for (int Step = 0; Step < 20; ++Step) {
      const double Share = Step / 20.0;
      const bool TakenOver =
          isTakenOver(hash(1), static_cast<std::uint64_t>(Object) << 40, Share);
      CHECK(TakenOver >= Before);
      Before = TakenOver;
    }
    CHECK(isTakenOver(hash(1), static_cast<std::uint64_t>(Object) << 40, 1));
  }
}

// Guards against trials that take most of the requests of a service.
TEST_CASE("trials spread in proportion to the requests") {
  struct Case {
    double RequestsPerSecond;
    Duration AllDueAfter;
  };
  const Case Cases[] = {{0, 5s}, {50, 5s}, {320, 4200ms}, {3200, 420ms}};
  std::vector<Instant> Group(100, Start);
  Group.resize(140, Start + 30s);
  for (const Case &C : Cases) {
    CAPTURE(C.RequestsPerSecond);
    JoinSchedule Schedule;
    Schedule.update(Group, C.RequestsPerSecond, Start + 30s);
    CHECK(Schedule.joining() == 40);
    const WorkerStart Worker{Start + 30s, Start + 30s};
    int DueHalfway = 0;
    for (int I = 0; I < 40; ++I) {
      CHECK(Schedule.trialIsDue(Worker, hash(I), Start + 30s + C.AllDueAfter));
      DueHalfway +=
          Schedule.trialIsDue(Worker, hash(I), Start + 30s + C.AllDueAfter / 2);
    }
    CHECK(DueHalfway >= 10);
    CHECK(DueHalfway <= 30);
  }
}

// Guards against a worker that is tried by every host, and against one that
// none tries.
TEST_CASE("one host tries a joining worker") {
  std::vector<HostId> Hosts;
  for (int I = 0; I < 40; ++I)
    Hosts.emplace_back("h" + std::to_string(I));
  for (int Worker = 0; Worker < 100; ++Worker) {
    int Trials = 0;
    for (const HostId &Host : Hosts)
      Trials += isTrialHost(hash(Worker), Host, Hosts);
    CHECK(Trials == 1);
  }
  CHECK(isTrialHost(hash(1), HostId("h"), {}));
}
