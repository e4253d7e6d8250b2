#include "masticgap/coordination/fleet/lookup_hosts.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;

namespace {

MemberRecord member(const char *Name, const char *Region,
                    MemberStatus Status = MemberStatus::Alive,
                    bool Draining = false, std::uint64_t Version = 1) {
  MemberRecord Result;
  Result.Host.Id = HostId(Name);
  Result.Host.Region = RegionName(Region);
  Result.Status = Status;
  Result.Draining = Draining;
  Result.ConfigVersion = Version;
  return Result;
}

} // namespace

// Guards against callers that are sent to dead, leaving or unready hosts, or
// outside the home regions of their routes.
TEST_CASE("look-ups return hosts that accept callers, local ones first") {
  const std::vector<MemberRecord> Fleet{
      member("a1", "a"),
      member("a2", "a"),
      member("a3", "a"),
      member("a4", "a", MemberStatus::Dead),
      member("a5", "a", MemberStatus::Alive, true),
      member("a6", "a", MemberStatus::Alive, false, 0),
      member("b1", "b", MemberStatus::Suspect),
      member("c1", "c")};
  struct Case {
    const char *Name;
    const char *Region;
    std::vector<RegionName> HomeRegions;
    std::size_t MaxHosts;
    const char *Expected;
  };
  const Case Cases[] = {
      {"enough local hosts", "a", {}, 64, "a1 a2 a3 "},
      {"few local hosts", "b", {}, 64, "b1 a1 a2 a3 c1 "},
      {"unknown region", "x", {}, 64, "a1 a2 a3 b1 c1 "},
      {"home regions", "b", {RegionName("c")}, 64, "b1 c1 "},
      {"limit", "a", {}, 2, "a1 a2 "},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    LookupCriteria Criteria;
    Criteria.Region = RegionName(C.Region);
    Criteria.HomeRegions = C.HomeRegions;
    Criteria.MaxHosts = C.MaxHosts;
    std::string Names;
    for (const MemberRecord *Record : lookupHosts(Fleet, Criteria))
      Names += Record->Host.Id.value() + " ";
    CHECK(Names == C.Expected);
  }
}
