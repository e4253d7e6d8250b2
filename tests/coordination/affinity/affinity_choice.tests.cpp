#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <doctest/doctest.h>

#include <map>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Duration Typical = 100ms;

std::vector<AffinityCandidate> workers(std::size_t Count) {
  std::vector<AffinityCandidate> Made(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Made[I].WorkerHash = workerHash(WorkerId("w" + std::to_string(I)));
    Made[I].Slots = 3;
  }
  return Made;
}

std::uint64_t object(int Number) {
  return objectHash(ServiceName("s"), std::to_string(Number));
}

std::size_t choose(std::span<const AffinityCandidate> Candidates,
                   std::uint64_t Object) {
  return chooseByAffinity(Candidates, Object, Typical, {})->Index;
}

} // namespace

// Guards against objects that are cold because hosts disagree about their home,
// or because a change of the workers moves objects that it does not concern.
TEST_CASE("the home of an object depends on the workers only") {
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

// Guards against a home that is used although another worker is faster.
TEST_CASE("a home that is worse than a cold run elsewhere is passed over") {
  struct Case {
    const char *Name;
    void (*Change)(AffinityCandidate &Home);
    bool Stays;
  };
  const Case Cases[] = {
      {"idle", [](AffinityCandidate &) {}, true},
      {"all slots but one busy",
       [](AffinityCandidate &Home) { Home.Occupancy = 2; }, true},
      {"a short queue", [](AffinityCandidate &Home) { Home.Occupancy = 5; },
       true},
      {"a long queue", [](AffinityCandidate &Home) { Home.Occupancy = 12; },
       false},
      {"slow", [](AffinityCandidate &Home) { Home.RelativeLatency = 5; },
       false},
      {"a little slow",
       [](AffinityCandidate &Home) { Home.RelativeLatency = 1.5; }, true},
      {"failing", [](AffinityCandidate &Home) { Home.FailureShare = 0.6; },
       false},
      {"one failure among many",
       [](AffinityCandidate &Home) { Home.FailureShare = 0.1; }, true},
      {"far away", [](AffinityCandidate &Home) { Home.RoundTrip = 500ms; },
       false},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    std::vector<AffinityCandidate> Candidates = workers(8);
    const std::size_t Home = choose(Candidates, object(1));
    C.Change(Candidates[Home]);
    CHECK((choose(Candidates, object(1)) == Home) == C.Stays);
  }
}

TEST_CASE("the expected wait counts the requests beyond the slots") {
  std::vector<AffinityCandidate> One = workers(1);
  One[0].Occupancy = 5;
  const auto Result = chooseByAffinity(One, object(1), Typical, {});
  REQUIRE(Result);
  CHECK(Result->QueueWait == Typical);
  CHECK(Result->ExpectedLatency == 2 * Typical);
  CHECK_FALSE(chooseByAffinity({}, object(1), Typical, {}));
}
