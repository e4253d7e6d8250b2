#include "masticgap/coordination/fleet/lookup_hosts.hpp"

#include <algorithm>

namespace masticgap::coordination {

std::vector<const MemberRecord *>
lookupHosts(std::span<const MemberRecord> Members,
            const LookupCriteria &Criteria) {
  std::vector<const MemberRecord *> LocalHosts;
  std::vector<const MemberRecord *> RemoteHosts;
  for (const MemberRecord &Member : Members) {
    // A host without a configuration rejects every request.
    if (!takesCallers(Member) || Member.ConfigVersion == 0)
      continue;
    const RegionName &Region = Member.Host.Region;
    const bool InHomeRegion = Criteria.HomeRegions.empty() ||
                              std::ranges::find(Criteria.HomeRegions, Region) !=
                                  Criteria.HomeRegions.end();
    if (Region == Criteria.Region)
      LocalHosts.push_back(&Member);
    else if (InHomeRegion)
      RemoteHosts.push_back(&Member);
  }
  if (LocalHosts.size() < Criteria.MinHosts)
    LocalHosts.insert(LocalHosts.end(), RemoteHosts.begin(), RemoteHosts.end());
  if (LocalHosts.size() > Criteria.MaxHosts)
    LocalHosts.resize(Criteria.MaxHosts);
  return LocalHosts;
}

} // namespace masticgap::coordination
