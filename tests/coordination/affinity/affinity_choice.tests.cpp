#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Duration TypicalLatency = 100ms;

std::vector<AffinityCandidate> workers(std::size_t Count) {
  std::vector<AffinityCandidate> Result(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Result[I].WorkerHash = workerHash(WorkerId("w" + std::to_string(I)));
    Result[I].Slots = 3;
  }
  return Result;
}

std::uint64_t object(int Number) {
  return objectHash(ServiceName("s"), std::to_string(Number));
}

std::size_t choose(std::span<const AffinityCandidate> Candidates,
                   std::uint64_t Object) {
  return chooseByAffinity(Candidates, Object, TypicalLatency, {})->Index;
}

} // namespace

// Guards against cold objects: the removal of a worker might move objects of
// other workers.
TEST_CASE("the removal of a worker moves only the objects of that worker") {
  const std::vector<AffinityCandidate> All = workers(16);
  const std::vector<AffinityCandidate> Fewer(All.begin(), All.end() - 1);
  int Moved = 0;
  for (int I = 0; I < 1000; ++I) {
    const std::size_t Before = choose(All, object(I));
    CHECK(choose(All, object(I)) == Before);
    const std::size_t After = choose(Fewer, object(I));
    if (Before != All.size() - 1) {
      CHECK(After == Before);
    } else {
      ++Moved;
    }
  }
  CHECK(Moved > 0);
}

TEST_CASE("objects spread over all workers") {
  const std::vector<AffinityCandidate> All = workers(16);
  std::map<std::size_t, int> Objects;
  for (int I = 0; I < 1600; ++I)
    ++Objects[choose(All, object(I))];
  CHECK(Objects.size() == All.size());
}

// Guards against a preferred worker that is used although another, which has
// not handled the object, is expected to be faster.
TEST_CASE("a preferred worker is skipped if another has a lower cost") {
  struct Case {
    const char *Name;
    void (*Change)(AffinityCandidate &Preferred);
    bool Stays;
  };
  const Case Cases[] = {
      {"idle", [](AffinityCandidate &) {}, true},
      {"all slots but one busy",
       [](AffinityCandidate &Preferred) { Preferred.Occupancy = 2; }, true},
      {"a short queue",
       [](AffinityCandidate &Preferred) { Preferred.Occupancy = 5; }, true},
      {"a long queue",
       [](AffinityCandidate &Preferred) { Preferred.Occupancy = 12; }, false},
      {"slow",
       [](AffinityCandidate &Preferred) { Preferred.RelativeLatency = 5; },
       false},
      {"a little slow",
       [](AffinityCandidate &Preferred) { Preferred.RelativeLatency = 1.5; },
       true},
      {"failing",
       [](AffinityCandidate &Preferred) { Preferred.FailureShare = 0.6; },
       false},
      {"one failure among many",
       [](AffinityCandidate &Preferred) { Preferred.FailureShare = 0.1; },
       true},
      {"far away",
       [](AffinityCandidate &Preferred) { Preferred.RoundTrip = 500ms; },
       false},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    std::vector<AffinityCandidate> Candidates = workers(8);
    const std::size_t Preferred = choose(Candidates, object(1));
    C.Change(Candidates[Preferred]);
    CHECK((choose(Candidates, object(1)) == Preferred) == C.Stays);
  }
}

TEST_CASE("the expected wait counts the requests beyond the slots") {
  std::vector<AffinityCandidate> OneWorker = workers(1);
  OneWorker[0].Occupancy = 5;
  const auto Result =
      chooseByAffinity(OneWorker, object(1), TypicalLatency, {});
  REQUIRE(Result);
  CHECK(Result->QueueWait == TypicalLatency);
  CHECK(Result->ExpectedLatency == 2 * TypicalLatency);
  CHECK_FALSE(chooseByAffinity({}, object(1), TypicalLatency, {}));
}
