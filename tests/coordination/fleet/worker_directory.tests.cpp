#include "masticgap/coordination/fleet/worker_directory.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

WorkerRegistration entry(const std::string &Id, std::uint64_t Run = 1,
                         bool Leaving = false, Duration Cold = 0s) {
  WorkerRegistration Made;
  Made.Worker.Id = WorkerId(Id);
  Made.Worker.Service = ServiceName("s");
  Made.Worker.Domain = FailureDomainName("d");
  Made.Worker.Run = Incarnation{Run};
  Made.Worker.Leaving = Leaving;
  Made.ColdDuration = Cold;
  return Made;
}

//! What keeps the worker "w" from requests; Gone when it is not known.
WorkerExclusion barOf(const WorkerDirectory &Directory, Instant Now) {
  const KnownWorker *Known = Directory.find(WorkerId("w"));
  return Known ? Directory.exclusion(*Known, Now) : WorkerExclusion::Gone;
}

} // namespace

// Guards against new work for a worker that left, whatever is heard later of
// the same incarnation, and against old registrations that shadow new ones.
TEST_CASE("registrations order the incarnations of a worker") {
  struct Case {
    const char *Name;
    std::vector<WorkerRegistration> Entries;
    WorkerExclusion Expected;
  };
  const Case Cases[] = {
      {"ready", {entry("w")}, WorkerExclusion::None},
      {"leaving", {entry("w"), entry("w", 1, true)}, WorkerExclusion::Leaving},
      {"leaving stays",
       {entry("w", 1, true), entry("w")},
       WorkerExclusion::Leaving},
      {"a later incarnation serves",
       {entry("w", 1, true), entry("w", 2)},
       WorkerExclusion::None},
      {"an older incarnation has no say",
       {entry("w", 2), entry("w", 1, true)},
       WorkerExclusion::None},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    for (const WorkerRegistration &Each : C.Entries)
      Directory.recordRegistration(Each, Start, false);
    CHECK(barOf(Directory, Start) == C.Expected);
  }
}

// Guards against an outage of the store that empties all services, and against
// a worker that is kept although its registration was removed.
TEST_CASE("registrations that lapse in an outage are kept for a grace") {
  struct Case {
    const char *Name;
    std::size_t Removed; //!< Of 8 workers.
    bool AfterOutage;
    bool BackAfter1s;
    bool UsedAt1s;
    bool UsedAt3s;
  };
  const Case Cases[] = {
      {"departure", 1, false, false, false, false},
      {"lapse", 1, true, false, true, false},
      {"lapse that is back", 1, true, true, true, true},
      {"many at once without a known outage", 6, false, false, true, false},
      {"many at once that are back", 6, false, true, true, true},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    WorkerDirectory Directory;
    Directory.recordRegistration(entry("w"), Start, true);
    for (int I = 0; I < 7; ++I)
      Directory.recordRegistration(entry("x" + std::to_string(I)), Start, true);
    std::vector<WorkerId> Ids{WorkerId("w")};
    for (std::size_t I = 1; I < C.Removed; ++I)
      Ids.emplace_back("x" + std::to_string(I));
    Directory.recordRemovals(Ids, C.AfterOutage, Start);
    const Instant Later = Start + 1s;
    Directory.expire(Later);
    CHECK((barOf(Directory, Later) == WorkerExclusion::None) == C.UsedAt1s);
    if (C.BackAfter1s)
      Directory.recordRegistration(entry("w"), Later, false);
    Directory.expire(Start + 3s);
    CHECK((barOf(Directory, Start + 3s) == WorkerExclusion::None) ==
          C.UsedAt3s);
  }
}

TEST_CASE("a leaving worker has no grace when its registration is removed") {
  WorkerDirectory Directory;
  Directory.recordRegistration(entry("w", 1, true), Start, true);
  Directory.recordRemovals({WorkerId("w")}, true, Start);
  CHECK(barOf(Directory, Start) == WorkerExclusion::Gone);
}

TEST_CASE("workers of an evacuated failure domain rest and come back cold") {
  WorkerDirectory Directory;
  Directory.recordRegistration(entry("w"), Start, true);
  const auto Cold = [](const ServiceName &) { return Duration(3s); };
  Directory.setEvacuated({FailureDomainName("d")}, Cold, Start);
  CHECK(barOf(Directory, Start) == WorkerExclusion::Evacuated);
  Directory.setEvacuated({}, Cold, Start + 10s);
  CHECK(barOf(Directory, Start + 10s) == WorkerExclusion::None);
  CHECK(Directory.find(WorkerId("w"))->ColdUntil == Start + 13s);
}

TEST_CASE("a worker that was misdirected is gone until it registers again") {
  WorkerDirectory Directory;
  Directory.recordRegistration(entry("w", 4), Start, true);
  Directory.recordMisdirected(WorkerId("w"), Incarnation{3});
  CHECK(barOf(Directory, Start) == WorkerExclusion::None);
  Directory.recordMisdirected(WorkerId("w"), Incarnation{4});
  CHECK(barOf(Directory, Start) == WorkerExclusion::Gone);
}
