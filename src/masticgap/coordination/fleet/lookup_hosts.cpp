#include "masticgap/coordination/fleet/lookup_hosts.hpp"

#include <algorithm>

namespace masticgap::coordination {

std::vector<const MemberRecord *>
lookupHosts(std::span<const MemberRecord> Members,
            const LookupCriteria &Criteria) {
  std::vector<const MemberRecord *> Near;
  std::vector<const MemberRecord *> Far;
  for (const MemberRecord &Each : Members) {
    // A host without a configuration refuses every request.
    if (!takesCallers(Each) || Each.ConfigVersion == 0)
      continue;
    const RegionName &Region = Each.Host.Region;
    const bool Home = Criteria.HomeRegions.empty() ||
                      std::ranges::find(Criteria.HomeRegions, Region) !=
                          Criteria.HomeRegions.end();
    if (Region == Criteria.Region)
      Near.push_back(&Each);
    else if (Home)
      Far.push_back(&Each);
  }
  if (Near.size() < Criteria.MinHosts)
    Near.insert(Near.end(), Far.begin(), Far.end());
  if (Near.size() > Criteria.MaxHosts)
    Near.resize(Criteria.MaxHosts);
  return Near;
}

} // namespace masticgap::coordination
