#include "masticgap/coordination/account_limit/account_owners.hpp"

#include "masticgap/coordination/member_record.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <xxhash.h>

namespace masticgap::coordination {

namespace {

//! Time for which a dead member counts: regions lose contact with each other
//! for up to an hour, and the other part uses its share of the limits
//! meanwhile.
constexpr Duration DeadMemory = std::chrono::minutes(75);
//! Owners are at least this part of the live members, so that the credit
//! requests of all hosts do not overload a few.
constexpr std::size_t OwnerShareDivisor = 32;
//! Processes that start within this time of each other belong to one start of
//! the fleet; clocks may differ by less.
constexpr std::uint64_t MaxStartSpreadMs = 5000;
//! Time after the start in which the members that were not known yet do not
//! reduce the share.
constexpr Duration StartPhase = std::chrono::seconds(10);

//! Returns the start of a process by the clock of its host.
std::uint64_t startMs(Incarnation Run) { return Run.Value >> 16; }

std::uint64_t hostHash(const HostId &Host) {
  return XXH3_64bits(Host.value().data(), Host.value().size());
}

//! Mixes two hashes (finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t Host, std::uint64_t Account) {
  std::uint64_t X = Host ^ (Account * 0x9e3779b97f4a7c15U);
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9U;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebU;
  return X ^ (X >> 31);
}

} // namespace

AccountKey accountKey(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

AccountOwners::AccountOwners(AccountLimitSettings Settings, HostId Self,
                             std::size_t MinMembers)
    : Settings(Settings), Self(std::move(Self)), MinMembers(MinMembers),
      Share(Settings.settleTime(1)) {}

void AccountOwners::setAccounts(std::span<const AccountLimit> Limits) {
  Owners.clear();
  for (const AccountLimit &Limit : Limits)
    Owners.emplace(Limit.Key, HostId());
  assign();
}

void AccountOwners::setMembers(std::span<const FleetMember> All, Instant Now) {
  if (!FirstMembersAt)
    FirstMembersAt = Now;
  std::map<HostId, KnownMember> Updated;
  Live = 0;
  Known = 0;
  KnownSeeds = 0;
  LiveSeeds = 0;
  for (const FleetMember &Member : All) {
    const auto Before = Members.find(Member.Host);
    const bool WasDead = Before != Members.end() &&
                         Before->second.Status == FleetMemberStatus::Dead;
    const Instant DeadSince = WasDead ? Before->second.DeadSince : Now;
    Updated[Member.Host] = {Member.Status, DeadSince, Member.SizeClass,
                            Member.Run, Member.IsSeed};
    const bool IsLive = Member.Status == FleetMemberStatus::Live ||
                        Member.Status == FleetMemberStatus::Stopping;
    Live += IsLive ? 1 : 0;
    KnownSeeds += Member.IsSeed ? 1 : 0;
    LiveSeeds += Member.IsSeed && IsLive ? 1 : 0;
    if (IsLive && (Before == Members.end() || Before->second.Run != Member.Run))
      JoinedAt = Now;
    Known += IsLive || (Member.Status == FleetMemberStatus::Dead &&
                        Now - DeadSince < DeadMemory)
                 ? 1
                 : 0;
  }
  Members = std::move(Updated);
  StartedTogether = startedTogether();
  if (Live <= 1)
    Known = std::max(Known, MinMembers);
  Known = std::max<std::size_t>(1, Known);
  assign();
  updateShare(Now);
}

std::uint8_t AccountOwners::ownerClass() const {
  std::array<std::size_t, MaxSizeClass + 1> Count{};
  std::size_t All = 0;
  for (const auto &[Host, Member] : Members)
    if (Member.Status == FleetMemberStatus::Live) {
      ++Count[std::min(Member.SizeClass, MaxSizeClass)];
      ++All;
    }
  std::size_t Above = 0;
  for (std::uint8_t Class = MaxSizeClass; Class > 0; --Class) {
    Above += Count[Class];
    if (Above > 0 && Above * OwnerShareDivisor >= All)
      return Class;
  }
  return 0;
}

void AccountOwners::assign() {
  const std::uint8_t MinClass = ownerClass();
  std::vector<std::pair<std::uint64_t, const HostId *>> Candidates;
  Candidates.reserve(Members.size());
  for (const auto &[Host, Member] : Members)
    if (Member.Status == FleetMemberStatus::Live &&
        Member.SizeClass >= MinClass)
      Candidates.emplace_back(hostHash(Host), &Host);
  for (auto &[Account, Owner] : Owners) {
    const HostId *Best = nullptr;
    std::uint64_t BestScore = 0;
    for (const auto &[Hash, Host] : Candidates) {
      const std::uint64_t Score = mix(Hash, Account);
      if (!Best || Score > BestScore) {
        Best = Host;
        BestScore = Score;
      }
    }
    Owner = Best ? *Best : HostId();
  }
}

const HostId &AccountOwners::owner(AccountKey Account) const {
  static const HostId None;
  const auto Found = Owners.find(Account);
  return Found == Owners.end() ? None : Found->second;
}

FleetMemberStatus AccountOwners::status(const HostId &Host) const {
  const auto Found = Members.find(Host);
  return Found == Members.end() ? FleetMemberStatus::Left
                                : Found->second.Status;
}

bool AccountOwners::hasOlderMember() const {
  const auto Own = Members.find(Self);
  if (Own == Members.end())
    return false;
  const std::uint64_t OwnStart = startMs(Own->second.Run);
  return std::ranges::any_of(Members, [&](const auto &Entry) {
    const KnownMember &Member = Entry.second;
    return Member.Status != FleetMemberStatus::Left &&
           startMs(Member.Run) + MaxStartSpreadMs < OwnStart;
  });
}

bool AccountOwners::startedTogether() const {
  const bool HasDead = std::ranges::any_of(Members, [](const auto &Entry) {
    return Entry.second.Status == FleetMemberStatus::Dead;
  });
  return Live > 1 && Members.contains(Self) && !HasDead && !hasOlderMember() &&
         KnownSeeds >= Settings.Seeds;
}

double AccountOwners::seedShare() const {
  // A member that is older knows of the hosts that are missing here.
  if (KnownSeeds >= Settings.Seeds || hasOlderMember())
    return 1;
  return static_cast<double>(LiveSeeds) / static_cast<double>(Settings.Seeds);
}

std::optional<Instant> AccountOwners::commonStart() const {
  if (!StartedTogether)
    return std::nullopt;
  return JoinedAt + Settings.GossipPeriod * 2;
}

double AccountOwners::currentShare() const {
  const std::size_t All = std::max(Known, KnownByPeers);
  return std::min(seedShare(),
                  static_cast<double>(Live) / static_cast<double>(All));
}

void AccountOwners::updateShare(Instant Now) {
  Share.setWindow(settleTime());
  Share.record(currentShare(), Now);
}

double AccountOwners::share(Instant Now) {
  if (KnownByPeers > 0 && Now - KnownByPeersAt > settleTime()) {
    KnownByPeers = 0;
    updateShare(Now);
  }
  const auto Start = commonStart();
  if (Start && *Start <= Now && Now < *FirstMembersAt + StartPhase)
    return currentShare();
  return Share.extreme(Now);
}

void AccountOwners::recordKnownByPeer(std::size_t Count, Instant Now) {
  if (Count <= Known || Count < KnownByPeers)
    return;
  const bool Changed = Count != KnownByPeers;
  KnownByPeers = Count;
  KnownByPeersAt = Now;
  if (Changed)
    updateShare(Now);
}

} // namespace masticgap::coordination
