#include "masticgap/coordination/fleet/worker_directory.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

WorkerRegistration registration(const std::string &Id, std::uint64_t Run = 1,
                                bool Leaving = false, Duration Cold = 0s) {
  WorkerRegistration Result;
  Result.Worker.Id = WorkerId(Id);
  Result.Worker.Service = ServiceName("s");
  Result.Worker.Domain = FailureDomainName("d");
  Result.Worker.Run = Incarnation{Run};
  Result.Worker.Leaving = Leaving;
  Result.ColdDuration = Cold;
  return Result;
}

//! Returns the exclusion of the worker "w"; Gone if it is unknown.
WorkerExclusion exclusionOf(const WorkerDirectory &Directory, Instant Now) {
  const KnownWorker *State = Directory.find(WorkerId("w"));
  return State ? Directory.exclusion(*State, Now) : WorkerExclusion::Gone;
}

} // namespace

// Guards against requests to a worker that left, whatever is registered later
// for the same incarnation, and against old registrations that replace new
// ones.
TEST_CASE("registrations order the incarnations of a worker") {
  struct Case {
    const char *Name;
    std::vector<WorkerRegistration> Entries;
    WorkerExclusion Expected;
  };
  const Case Cases[] = {
      {"ready", {registration("w")}, WorkerExclusion::None},
      {"leaving",
       {registration("w"), registration("w", 1, true)},
       WorkerExclusion::Leaving},
      {"leaving is permanent",
       {registration("w", 1, true), registration("w")},
       WorkerExclusion::Leaving},
      {"a later incarnation gets requests",
       {registration("w", 1, true), registration("w", 2)},
       WorkerExclusion::None},
      {"an older incarnation has no effect",
       {registration("w", 2), registration("w", 1, true)},
       WorkerExclusion::None},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    for (const WorkerRegistration &Registration : C.Entries)
      Directory.recordRegistration(Registration, Start);
    CHECK(exclusionOf(Directory, Start) == C.Expected);
  }
}

// Guards against an outage of the store that removes the workers of all
// services, and against a worker that is kept although it unregistered.
TEST_CASE("registrations that lapse in an outage are kept for a grace period") {
  struct Case {
    const char *Name;
    std::size_t Removed; //!< Of 8 workers.
    Duration LapseGrace;
    bool RenewedAfter1s;
    bool UsedAt1s;
    bool UsedAt3s;
  };
  const Case Cases[] = {
      {"removal without an outage", 1, 0s, false, false, false},
      {"lapse", 1, 2s, false, true, false},
      {"lapse at the end of the grace period", 1, 500ms, false, false, false},
      {"lapse that is renewed", 1, 2s, true, true, true},
      {"many at once without a known outage", 6, 0s, false, true, false},
      {"many at once that are renewed", 6, 0s, true, true, true},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    Directory.recordRegistration(registration("w"), Start);
    for (int I = 0; I < 7; ++I)
      Directory.recordRegistration(registration("x" + std::to_string(I)),
                                   Start);
    std::vector<WorkerId> Ids{WorkerId("w")};
    for (std::size_t I = 1; I < C.Removed; ++I)
      Ids.emplace_back("x" + std::to_string(I));
    Directory.recordRemovals(Ids, C.LapseGrace, Start);
    const Instant Later = Start + 1s;
    Directory.expire(Later);
    CHECK((exclusionOf(Directory, Later) == WorkerExclusion::None) ==
          C.UsedAt1s);
    if (C.RenewedAfter1s)
      Directory.recordRegistration(registration("w"), Later);
    Directory.expire(Start + 3s);
    CHECK((exclusionOf(Directory, Start + 3s) == WorkerExclusion::None) ==
          C.UsedAt3s);
  }
}

// Guards against a worker that is used to the end of a grace period although
// another source reported meanwhile that it left.
TEST_CASE("the shortest grace period of a removal counts") {
  struct Case {
    const char *Name;
    std::vector<Duration> Graces;
    bool Definite; //!< Another source reports the removal as definite.
    bool Renewed;  //!< Before that report.
    bool Used;     //!< After one second.
  };
  const Case Cases[] = {
      {"one source", {2s}, false, false, true},
      {"a shorter one second", {2s, 500ms}, false, false, false},
      {"a longer one second", {500ms, 2s}, false, false, false},
      {"definite according to another source", {2s}, true, false, false},
      {"renewed before the other source reports", {2s}, true, true, true},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    Directory.recordRegistration(registration("w"), Start);
    for (const Duration Grace : C.Graces)
      Directory.recordRemovals({WorkerId("w")}, Grace, Start);
    if (C.Renewed)
      Directory.recordRegistration(registration("w"), Start);
    if (C.Definite)
      Directory.recordDefiniteRemoval(WorkerId("w"));
    CHECK((exclusionOf(Directory, Start + 1s) == WorkerExclusion::None) ==
          C.Used);
  }
}

// Guards against requests to a worker that announced its leaving in an answer,
// because its registration does not state it.
TEST_CASE("a worker that announced its leaving gets no requests") {
  struct Case {
    const char *Name;
    std::uint64_t RegisteredRun; //!< Afterwards; 0: not registered again.
    bool RemovedAfterwards;
    WorkerExclusion Expected;
  };
  const Case Cases[] = {
      {"registration unchanged", 0, false, WorkerExclusion::Leaving},
      {"registration renewed", 1, false, WorkerExclusion::Leaving},
      {"removed, possibly lapsed", 0, true, WorkerExclusion::Gone},
      {"removed and registered again", 1, true, WorkerExclusion::Leaving},
      {"new incarnation", 2, false, WorkerExclusion::None},
      {"new incarnation after a removal", 2, true, WorkerExclusion::None},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    Directory.recordRegistration(registration("w", 1), Start);
    CHECK(Directory.recordLeaving(WorkerId("w"), Incarnation{1}));
    CHECK_FALSE(Directory.recordLeaving(WorkerId("w"), Incarnation{1}));
    if (C.RemovedAfterwards)
      Directory.recordRemovals({WorkerId("w")}, 2s, Start);
    if (C.RegisteredRun > 0)
      Directory.recordRegistration(registration("w", C.RegisteredRun), Start);
    CHECK(exclusionOf(Directory, Start) == C.Expected);
  }
}

TEST_CASE(
    "a leaving worker has no grace period when its registration is removed") {
  WorkerDirectory Directory;
  Directory.recordRegistration(registration("w", 1, true), Start);
  Directory.recordRemovals({WorkerId("w")}, 2s, Start);
  CHECK(exclusionOf(Directory, Start) == WorkerExclusion::Gone);
}

TEST_CASE("workers of an evacuated failure domain get no requests and are cold "
          "afterwards") {
  WorkerDirectory Directory;
  Directory.recordRegistration(registration("w"), Start);
  const auto Cold = [](const ServiceName &) { return Duration(3s); };
  Directory.setEvacuated({FailureDomainName("d")}, Cold, Start);
  CHECK(exclusionOf(Directory, Start) == WorkerExclusion::Evacuated);
  Directory.setEvacuated({}, Cold, Start + 10s);
  CHECK(exclusionOf(Directory, Start + 10s) == WorkerExclusion::None);
  CHECK(Directory.find(WorkerId("w"))->ColdUntil == Start + 13s);
}

TEST_CASE(
    "a worker whose address was reused is gone until it registers again") {
  WorkerDirectory Directory;
  Directory.recordRegistration(registration("w", 4), Start);
  Directory.recordMisdirected(WorkerId("w"), Incarnation{3});
  CHECK(exclusionOf(Directory, Start) == WorkerExclusion::None);
  Directory.recordMisdirected(WorkerId("w"), Incarnation{4});
  CHECK(exclusionOf(Directory, Start) == WorkerExclusion::Gone);
}

// Guards against an incarnation that appears to have started anew whenever its
// registration is written.
TEST_CASE("the start of an incarnation is that of its first registration") {
  struct Case {
    const char *Name;
    Incarnation Run;
    Duration Age;
    Instant Expected;
  };
  const Case Cases[] = {
      {"written again", Incarnation{1}, 40s, Start - 30s},
      {"another incarnation", Incarnation{2}, 2s, Start + 8s},
      {"a clock that is behind", Incarnation{2}, -5s, Start + 10s},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    Directory.recordRegistration(registration("w", 1), Start, 30s);
    Directory.recordRegistration(registration("w", C.Run.Value), Start + 10s,
                                 C.Age);
    CHECK(Directory.find(WorkerId("w"))->StartedAt == C.Expected);
  }
}

// Guards against an ended worker that gets requests again because a restored
// copy of the store has its registration.
TEST_CASE("an incarnation that ended stays ended in later eras") {
  enum class End { Removed, RemovedLater, Lapsed, Leaving, Announced, Peer };
  struct Case {
    const char *Name;
    std::uint64_t Run; //!< Of the next registration.
    End How;
    StoreEra Era; //!< Of the next registration; the worker ended in era 1.
    bool Used;
  };
  const Case Cases[] = {
      {"removed", 5, End::Removed, 2, false},
      {"removed, two eras later", 5, End::Removed, 3, false},
      {"removed, written again in the same era", 5, End::Removed, 1, true},
      {"removed, new incarnation", 6, End::Removed, 2, true},
      {"removed, older incarnation", 4, End::Removed, 2, false},
      {"possible lapse that became definite", 5, End::RemovedLater, 2, false},
      {"possible lapse", 5, End::Lapsed, 2, true},
      {"leaving", 5, End::Leaving, 2, false},
      {"leaving, new incarnation", 6, End::Leaving, 2, true},
      {"announced its leaving", 5, End::Announced, 2, false},
      {"a peer knows", 5, End::Peer, 2, false},
      {"a peer knows, same era", 5, End::Peer, 1, true},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    Directory.setEra(1);
    const WorkerId Id("w");
    if (C.How != End::Peer)
      Directory.recordRegistration(registration("w", 5, C.How == End::Leaving),
                                   Start);
    if (C.How == End::Announced)
      Directory.recordLeaving(Id, Incarnation{5});
    if (C.How == End::Removed)
      Directory.recordRemovals({Id}, 0s, Start);
    if (C.How == End::RemovedLater || C.How == End::Lapsed)
      Directory.recordRemovals({Id}, 2s, Start);
    if (C.How == End::RemovedLater)
      Directory.recordDefiniteRemoval(Id);
    Directory.setEra(C.Era);
    Directory.recordRegistration(registration("w", C.Run), Start);
    if (C.How == End::Peer)
      CHECK(Directory.recordEnded(Id, {Incarnation{5}, 1}) == !C.Used);
    CHECK((exclusionOf(Directory, Start) == WorkerExclusion::None) == C.Used);
    // A further era changes nothing.
    Directory.setEra(9);
    Directory.recordRegistration(registration("w", C.Run), Start);
    if (C.Era > 1)
      CHECK((exclusionOf(Directory, Start) == WorkerExclusion::None) == C.Used);
  }
}
