#pragma once

#include "masticgap/coordination/account_limit/account_credit.hpp"
#include "masticgap/coordination/account_limit/account_owner.hpp"

namespace masticgap::coordination {

//! Limits of accounts at one host: the host's own admissions and the buckets of
//! the accounts that it owns. Messages to itself are handled at once.
class AccountLimiter {
public:
  static constexpr Duration HeartbeatPeriod = std::chrono::milliseconds(500);

  //! \param MinMembers assumed size of the fleet as long as no other member is
  //! live.
  //! \param Started start of the process.
  AccountLimiter(AccountLimitSettings Settings, HostId Self,
                 std::size_t MinMembers, std::uint64_t Seed, Instant Started);

  //! Sets the start of the heartbeats if it is later than the process's.
  void beginHeartbeat(Instant Now) { LastHeartbeat = LastContact = Now; }
  //! Shows that the process runs; to be called every HeartbeatPeriod. After a
  //! longer pause other hosts may own this host's accounts, so that its buckets
  //! start again.
  void heartbeat(Instant Now);
  //! Records a message of another member that does not regard this host as
  //! dead. A host that gets none although it knows live members may have been
  //! replaced as the owner of its accounts, so that its buckets start again.
  void recordContact(Instant Now);
  //! Records a message of a member that regards this host as dead.
  void recordDeclaredDead(Instant Now) { Owned.restart(Now); }

  //! Applies changed bounds. Credit that was granted before stays valid.
  void setSettings(const AccountLimitSettings &New, Instant Now);
  //! Sets the accounts that have a limit. Others are unlimited.
  void setLimits(std::vector<AccountLimit> New, Instant Now);
  //! Sets all members, including this host, dead ones and ones that left.
  void setMembers(std::span<const FleetMember> Members, Instant Now);

  AccountAdmission admit(AccountKey Account, Instant Now);
  //! Removes a request that waits.
  void cancel(AccountKey Account, std::uint64_t Waiter) {
    Credit.cancel(Account, Waiter);
  }
  //! Returns the credit of a request that was not sent to a worker.
  void giveBack(AccountKey Account, const AccountAdmitted &Unused,
                Instant Now) {
    Credit.giveBack(Account, Unused, Now);
  }
  //! Handles a message of another host.
  void handle(const HostId &From, const AccountMessage &Message, Instant Now);
  //! Handles everything that is due.
  void advance(Instant Now);
  std::optional<Instant> nextDeadline() const { return Credit.nextDeadline(); }
  //! Returns the messages to other hosts since the last call.
  std::vector<OutgoingAccountMessage> takeMessages() {
    return std::exchange(Messages, {});
  }
  //! Returns the decisions for waiting requests since the last call.
  std::vector<AccountDecision> takeDecisions() {
    return Credit.takeDecisions();
  }
  const AccountCounters *counters(AccountKey Account) const {
    return Credit.counters(Account);
  }
  //! Returns what this host knows of an account; nothing if it has no limit.
  std::optional<AccountStatus> status(AccountKey Account, Instant Now) const;
  //! Returns what admit() would decide, without a change of the state. If this
  //! host is the owner, the decision is estimated from its bucket.
  AccountAdmission preview(AccountKey Account, Instant Now) const;
  //! Returns the credit that this host holds in stock.
  std::uint32_t stock(AccountKey Account, Instant Now) {
    return Credit.stock(Account, Now);
  }
  //! Returns the bucket of an account; nothing if this host does not own it.
  std::optional<CreditBalance> balance(AccountKey Account, Instant Now) {
    return Owned.balance(Account, Now);
  }
  std::span<const AccountLimit> limits() const { return Limits; }
  const AccountLimitSettings &settings() const { return Settings; }
  //! Returns the owner of an account as seen from here; empty if there is none.
  const HostId &owner(AccountKey Account) const {
    return Owners.owner(Account);
  }

private:
  void route(Instant Now);
  //! Starts the buckets again if this host may have been declared dead.
  void checkContinuity(Instant Now);
  bool isIsolated(Instant Now) const;

  AccountLimitSettings Settings;
  std::vector<AccountLimit> Limits;
  AccountOwners Owners;
  AccountOwner Owned;
  AccountCredit Credit;
  std::vector<OutgoingAccountMessage> Messages;
  Instant LastHeartbeat;
  Instant LastContact;
  Instant RestartedAt; //!< While isolated.
};

} // namespace masticgap::coordination
