#pragma once

#include "masticgap/coordination/account_limit/account_limit.hpp"
#include "masticgap/coordination/internal/sliding_extreme.hpp"
#include "masticgap/state/incarnation.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace masticgap::coordination {

//! What a host knows of another one.
enum class FleetMemberStatus {
  Live,
  Stopping, //!< In a planned stop; owns no accounts.
  Dead,
  Left
};

struct FleetMember {
  HostId Host;
  FleetMemberStatus Status = FleetMemberStatus::Live;
  std::uint8_t SizeClass = 0; //!< See MemberRecord.
  Incarnation Run{};          //!< Of its process; 0: unknown.
  bool IsSeed = false;        //!< See AccountLimitSettings::Seeds.
};

//! This host's view of which host owns each account, and of its part of the
//! fleet. The owner is chosen by rendezvous hashing among the live members with
//! enough processor time: those of the highest size class that, with the
//! classes above, has 1/32 of the live members.
class AccountOwners {
public:
  //! \param Self this host.
  //! \param MinMembers assumed size of the fleet as long as no other member is
  //! live.
  AccountOwners(AccountLimitSettings Settings, HostId Self,
                std::size_t MinMembers);

  void setSettings(const AccountLimitSettings &New) { Settings = New; }
  //! Sets the accounts that have a limit.
  void setAccounts(std::span<const AccountLimit> Limits);
  //! Sets all members, including this host, dead ones and ones that left.
  void setMembers(std::span<const FleetMember> Members, Instant Now);

  //! Returns the owner of an account; empty if there is none.
  const HostId &owner(AccountKey Account) const;
  bool isOwnedHere(AccountKey Account) const { return owner(Account) == Self; }
  //! Returns the status of a member; Left if it is unknown.
  FleetMemberStatus status(const HostId &Host) const;
  //! Returns when the owners may grant credit in a fleet whose processes have
  //! all just started, so that nobody granted credit before: once the members
  //! stop changing. \returns nothing if a member may be older, or if this host
  //! knows no other one or not all seeds.
  std::optional<Instant> commonStart() const;
  //! Returns the live share of the members, the smallest one within the settle
  //! time. The sum over parts that cannot reach each other is at most 1.
  double share(Instant Now);
  //! Returns the number of members that may be running, including those that
  //! are dead as seen from here.
  std::size_t knownMembers() const { return Known; }
  //! Takes into account that another member knows this number of members, which
  //! may be more than a host that has just started knows.
  void recordKnownByPeer(std::size_t Members, Instant Now);
  //! Returns the number of live members, including this host.
  std::size_t liveMembers() const { return Live; }
  //! Returns the time within which all members learn of a change.
  Duration settleTime() const { return Settings.settleTime(Known); }
  const HostId &self() const { return Self; }

private:
  //! Returns whether a member started earlier than this host, so that the
  //! members' knowledge of the fleet is older than this process.
  bool hasOlderMember() const;
  bool startedTogether() const;
  //! Returns the share of the seeds that are live. Parts of a fleet that do not
  //! know of each other know different seeds, so that the sum of their shares
  //! is at most 1.
  double seedShare() const;
  double currentShare() const;
  void assign();
  std::uint8_t ownerClass() const;
  void updateShare(Instant Now);

  struct KnownMember {
    FleetMemberStatus Status = FleetMemberStatus::Live;
    Instant DeadSince;
    std::uint8_t SizeClass = 0;
    Incarnation Run;
    bool IsSeed = false;
  };

  AccountLimitSettings Settings;
  HostId Self;
  std::size_t MinMembers;
  std::map<HostId, KnownMember> Members;
  std::unordered_map<AccountKey, HostId> Owners;
  std::size_t Live = 1;
  std::size_t Known = 1;
  std::size_t KnownByPeers = 0;
  Instant KnownByPeersAt;
  bool StartedTogether = false;
  std::size_t KnownSeeds = 0; //!< Whatever their status.
  std::size_t LiveSeeds = 0;
  std::optional<Instant> FirstMembersAt;
  Instant JoinedAt; //!< When the last live member was learned.
  internal::SlidingExtreme<double, std::less<>> Share;
};

} // namespace masticgap::coordination
