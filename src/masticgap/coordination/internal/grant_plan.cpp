#include "masticgap/coordination/internal/grant_plan.hpp"

#include "masticgap/coordination/link_limits.hpp"

#include <algorithm>

namespace masticgap::coordination::internal {

double fairShare(double Capacity, std::span<const double> Wants) {
  if (Wants.empty())
    return 0;
  const double Own = Wants.front();
  std::vector<double> Sorted(Wants.begin(), Wants.end());
  std::ranges::sort(Sorted);
  double Left = std::max(0.0, Capacity);
  std::size_t Sharing = Sorted.size();
  for (const double Want : Sorted) {
    const double Equal = Left / static_cast<double>(Sharing);
    if (Want >= Equal)
      return std::min(Own, Equal);
    if (Want >= Own)
      return Own;
    Left -= Want;
    --Sharing;
  }
  return Own;
}

void EntryObserver::observe(std::span<const LinkGrantEntry> Row, Instant Now) {
  std::map<std::pair<HostId, Incarnation>, Observation> Next;
  for (const LinkGrantEntry &E : Row) {
    const std::pair Key{E.Holder, E.Run};
    const auto It = Entries.find(Key);
    const bool Unchanged =
        It != Entries.end() && It->second.Sequence == E.Sequence;
    Next[Key] = Unchanged ? It->second : Observation{E.Sequence, Now};
  }
  Entries = std::move(Next);
}

bool EntryObserver::ended(const LinkGrantEntry &E, Instant Now) const {
  const auto It = Entries.find({E.Holder, E.Run});
  return It != Entries.end() && It->second.Sequence == E.Sequence &&
         Now - It->second.Since >= LinkLeaseForOthers;
}

GrantPlan planGrant(const LinkGrantRow &Row, const LeaseOwner &Owner,
                    const EntryObserver &Observer, const GrantRequest &Request,
                    Instant Now) {
  GrantPlan Plan;
  double HeldByOthers = 0;
  bool IsHolder = false;
  std::vector<double> Wants{Request.Wanted};
  for (const LinkGrantEntry &E : Row.Entries) {
    if (Owner.owns(E)) {
      IsHolder = true;
      continue;
    }
    if (Observer.ended(E, Now))
      continue;
    HeldByOthers += static_cast<double>(E.Rate);
    Wants.push_back(static_cast<double>(E.Wanted));
    Plan.Others.push_back(E);
  }
  Plan.RowFull = !IsHolder && Plan.Others.size() >= MaxHoldersPerRow;
  Plan.Target = fairShare(Request.Leasable, Wants);
  const double Free = std::max(0.0, Request.Leasable - HeldByOthers);
  Plan.Rate = std::min(Plan.Target, std::max(Free, Request.RetainedRate));
  return Plan;
}

} // namespace masticgap::coordination::internal
