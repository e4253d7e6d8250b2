#include "masticgap/coordination/worker_pool.hpp"

#include "masticgap/coordination/internal/slot_owner.hpp"

#include <doctest/doctest.h>

#include <functional>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{Duration(1h)};

WorkerDescriptor worker(const std::string &Id, const std::string &Domain,
                        std::uint64_t Run = 1, bool Leaving = false) {
  return {WorkerId(Id),
          ServiceName("agenda"),
          RegionName("luzon"),
          FailureDomainName(Domain),
          {"127.0.0.1", 1},
          Incarnation{Run},
          3,
          660,
          Leaving};
}

const std::vector<WorkerDescriptor> Six = {
    worker("w1", "luz-a"), worker("w2", "luz-a"), worker("w3", "luz-a"),
    worker("w4", "luz-b"), worker("w5", "luz-b"), worker("w6", "luz-b")};

WorkerPool makePool(ChoicePolicy Policy = LeastUsed{}) {
  WorkerPool Pool(std::move(Policy), 7);
  Pool.update(Six, Start);
  return Pool;
}

std::set<WorkerId> chosenWorkers(WorkerPool &Pool, Instant Now,
                                 int Draws = 200) {
  std::set<WorkerId> Result;
  for (int I = 0; I < Draws; ++I) {
    const auto Choice = Pool.choose({RegionName("luzon")}, Now);
    if (const auto *Chosen = std::get_if<WorkerChosen>(&Choice))
      Result.insert(Chosen->Worker.Id);
  }
  return Result;
}

void finish(WorkerPool &Pool, const std::string &Id, AttemptEnd End,
            Instant Now) {
  Pool.started(WorkerId(Id));
  Pool.finished(WorkerId(Id), {End, 10ms}, Now);
}

} // namespace

TEST_CASE("an ineligible worker is never chosen") {
  struct Case {
    const char *Fault;
    std::function<void(WorkerPool &)> Apply;
    Duration Later;
    bool Chosen;
  };
  const auto Fail = [](AttemptEnd End, int Times) {
    return [=](WorkerPool &Pool) {
      for (int I = 0; I < Times; ++I)
        finish(Pool, "w1", End, Start);
    };
  };
  const Case Cases[] = {
      {"none", [](WorkerPool &) {}, 0s, true},
      {"rumor of leaving",
       [](WorkerPool &P) { P.leaving(WorkerId("w1"), {1}); }, 0s, false},
      {"old rumor of leaving",
       [](WorkerPool &P) { P.leaving(WorkerId("w1"), {0}); }, 0s, true},
      {"refused as leaving, but still live in the host list",
       [](WorkerPool &P) {
         finish(P, "w1", AttemptEnd::RefusedLeaving, Start);
         P.update(Six, Start + 1s);
       },
       1h, false},
      {"operator's drain", [](WorkerPool &P) { P.avoid({WorkerId("w1")}, {}); },
       0s, false},
      {"refused as full", Fail(AttemptEnd::RefusedFull, 1), 0s, false},
      {"refused as full, later", Fail(AttemptEnd::RefusedFull, 1), 150ms, true},
      {"no connection", Fail(AttemptEnd::ConnectFailed, 1), 0s, false},
      {"no connection, after the ejection", Fail(AttemptEnd::ConnectFailed, 1),
       1s, true},
      {"two timeouts", Fail(AttemptEnd::TimedOut, 2), 0s, true},
      {"three timeouts", Fail(AttemptEnd::TimedOut, 3), 0s, false},
      {"the caller cancels often", Fail(AttemptEnd::Cancelled, 9), 0s, true},
      {"all slots in use by this host",
       [](WorkerPool &P) {
         for (int I = 0; I < 3; ++I)
           P.started(WorkerId("w1"));
       },
       0s, false},
      {"missing from the host list",
       [](WorkerPool &P) { P.update(std::span(Six).subspan(1), Start); }, 0s,
       false},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Fault);
    WorkerPool Pool = makePool(UniformChoice{});
    C.Apply(Pool);
    CHECK(chosenWorkers(Pool, Start + C.Later).contains(WorkerId("w1")) ==
          C.Chosen);
  }
}

TEST_CASE("a new incarnation of a leaving worker is eligible") {
  WorkerPool Pool = makePool(UniformChoice{});
  Pool.leaving(WorkerId("w1"), {1});
  auto Workers = Six;
  Workers[0].Run = {2};
  Pool.update(Workers, Start);
  CHECK(chosenWorkers(Pool, Start + 11s).contains(WorkerId("w1")));
  // An outdated host list must not restore the old incarnation.
  Pool.update(Six, Start + 1s);
  CHECK(Pool.states(Start + 1s).front().Worker.Run == Incarnation{2});
}

TEST_CASE("at most a third of a service's workers is ejected at once") {
  WorkerPool Pool = makePool(UniformChoice{});
  for (const auto &W : Six)
    finish(Pool, W.Id.value(), AttemptEnd::ConnectFailed, Start);
  CHECK(chosenWorkers(Pool, Start).size() == 4);
}

TEST_CASE("ejection times double up to 30 s and a success resets them") {
  Ejection E;
  Instant Now = Start;
  const Duration Expected[] = {1s, 2s, 4s, 8s, 16s, 30s, 30s};
  for (const Duration EjectionTime : Expected) {
    CAPTURE(EjectionTime.count());
    E.record(AttemptEnd::ConnectFailed);
    REQUIRE(E.isDue());
    E.begin(Now);
    CHECK(E.isActive(Now + EjectionTime - 1ns));
    CHECK_FALSE(E.isActive(Now + EjectionTime));
    Now += EjectionTime;
  }
  E.record(AttemptEnd::Answered);
  E.record(AttemptEnd::ConnectFailed);
  E.begin(Now);
  CHECK_FALSE(E.isActive(Now + 1s));
}

TEST_CASE("a retry goes to an untried worker, in another failure domain") {
  WorkerPool Pool = makePool(UniformChoice{});
  const std::vector<WorkerId> Tried = {WorkerId("w4"), WorkerId("w5")};
  ChoiceRequest Request{RegionName("luzon"), Tried, FailureDomainName("luz-a")};
  for (int I = 0; I < 50; ++I) {
    const auto Choice = Pool.choose(Request, Start);
    REQUIRE(std::holds_alternative<WorkerChosen>(Choice));
    CHECK(std::get<WorkerChosen>(Choice).Worker.Id == WorkerId("w6"));
  }
}

TEST_CASE("full workers and no workers are distinguished") {
  WorkerPool Pool = makePool();
  for (const auto &W : Six)
    finish(Pool, W.Id.value(), AttemptEnd::RefusedFull, Start);
  CHECK(std::holds_alternative<AllWorkersFull>(
      Pool.choose({RegionName("luzon")}, Start)));
  CHECK(std::holds_alternative<NoWorkers>(
      Pool.choose({RegionName("visayas")}, Start)));
}

TEST_CASE("a false report can neither keep a worker idle nor overload it") {
  WorkerPool Pool = makePool();
  // Reports "all in use" but answers: still chosen when the others are full.
  Pool.report(WorkerId("w1"), {3, 3}, Start);
  for (int I = 2; I <= 6; ++I)
    finish(Pool, "w" + std::to_string(I), AttemptEnd::RefusedFull, Start);
  CHECK(chosenWorkers(Pool, Start) == std::set{WorkerId("w1")});
  // Reports "idle" but refuses: the refusal takes precedence over the report.
  finish(Pool, "w1", AttemptEnd::RefusedFull, Start);
  Pool.report(WorkerId("w1"), {0, 3}, Start);
  CHECK(chosenWorkers(Pool, Start).empty());
}

TEST_CASE("a new incarnation gets few requests at first") {
  WorkerPool Pool = makePool(UniformChoice{});
  auto Workers = Six;
  Workers[0].Run = {2};
  Pool.update(Workers, Start);
  struct Case {
    Duration Age;
    int MinCount, MaxCount;
  };
  // An even share of 6,000 draws over 6 workers is 1,000.
  const Case Cases[] = {{0s, 50, 200}, {5s, 400, 750}, {10s, 850, 1150}};
  for (const auto &C : Cases) {
    int Count = 0;
    for (int I = 0; I < 6000; ++I) {
      const auto Choice = Pool.choose({RegionName("luzon")}, Start + C.Age);
      Count += std::get<WorkerChosen>(Choice).Worker.Id == WorkerId("w1");
    }
    CAPTURE(C.Age.count());
    CHECK(Count >= C.MinCount);
    CHECK(Count <= C.MaxCount);
  }
}

TEST_CASE("region load counts only eligible workers") {
  WorkerPool Pool = makePool();
  Pool.report(WorkerId("w1"), {2, 3}, Start);
  Pool.leaving(WorkerId("w6"), {1});
  const RegionLoad Load = Pool.regionLoad(RegionName("luzon"), Start);
  CHECK(Load.Workers == 5);
  CHECK(Load.Slots == 15);
  CHECK(Load.InUse == doctest::Approx(2));
  CHECK(Load.FreshShare == doctest::Approx(0.2));
  CHECK(Pool.regionLoad(RegionName("luzon"), Start + 5s).FreshShare == 0);
}

TEST_CASE("a region whose workers all fail has no capacity until one answers") {
  struct Case {
    const char *Proof;
    std::function<void(WorkerPool &)> Apply;
    unsigned Slots;
  };
  const Case Cases[] = {
      {"none", [](WorkerPool &) {}, 0},
      {"a probe during the ejection",
       [](WorkerPool &P) {
         P.report(WorkerId("w1"), {0, 3}, Start);
       },
       0},
      {"a probe after the ejection",
       [](WorkerPool &P) {
         P.report(WorkerId("w1"), {0, 3}, Start + 2s);
       },
       3},
      {"an answer",
       [](WorkerPool &P) { finish(P, "w6", AttemptEnd::Answered, Start); }, 3},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Proof);
    WorkerPool Pool = makePool();
    for (const auto &W : Six)
      finish(Pool, W.Id.value(), AttemptEnd::ConnectFailed, Start);
    C.Apply(Pool);
    CHECK(Pool.regionLoad(RegionName("luzon"), Start + 2s).Slots == C.Slots);
  }
}

TEST_CASE("each slot of the local region has one owner") {
  std::vector<HostId> Hosts;
  for (int I = 0; I < 26; ++I)
    Hosts.emplace_back("e" + std::to_string(I));
  unsigned Owned = 0;
  for (const auto &Self : Hosts)
    for (const auto &W : Six)
      Owned += internal::ownedSlots(W, Self, Hosts);
  CHECK(Owned == 6 * 3);
}

TEST_CASE("owned slots are chosen first, then any free worker") {
  const std::vector<HostId> TwoHosts = {HostId("e1"), HostId("e2")};
  struct Case {
    const char *Name;
    RegionName Region;
    bool OwnedFirst;
  };
  const Case Cases[] = {{"local region", RegionName("luzon"), true},
                        {"another region", RegionName("visayas"), false}};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    WorkerPool Pool = makePool(UniformChoice{});
    Pool.setPolicy(SlotSubset{TwoHosts[0], C.Region, TwoHosts});
    unsigned OwnedSlots = 0;
    for (const auto &W : Six)
      OwnedSlots += internal::ownedSlots(W, TwoHosts[0], TwoHosts);
    // Uses as many slots as this host owns and compares them with the owned
    // ones.
    std::map<WorkerId, unsigned> UsedSlots;
    for (unsigned I = 0; I < OwnedSlots; ++I) {
      const auto Choice = Pool.choose({RegionName("luzon")}, Start);
      REQUIRE(std::holds_alternative<WorkerChosen>(Choice));
      const WorkerId Id = std::get<WorkerChosen>(Choice).Worker.Id;
      Pool.started(Id);
      ++UsedSlots[Id];
    }
    bool OnlyOwned = true;
    for (const auto &W : Six)
      OnlyOwned = OnlyOwned && UsedSlots[W.Id] == internal::ownedSlots(
                                                      W, TwoHosts[0], TwoHosts);
    CHECK(OnlyOwned == C.OwnedFirst);
    // The slots of the other host may still be used as overflow.
    CHECK(std::holds_alternative<WorkerChosen>(
        Pool.choose({RegionName("luzon")}, Start)));
  }
}
