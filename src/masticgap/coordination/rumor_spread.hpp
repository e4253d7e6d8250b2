#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/coordination/membership_settings.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Requests that one rumor be pushed to one member.
struct RumorPushTo {
  HostId To;
  std::uint64_t Rumor = 0;
  bool Relay = false; //!< The receiver relays it to its failure domain.
};

//! End of a spread that this member started.
struct SpreadEnded {
  std::uint64_t Rumor = 0;
  bool AllAcknowledged = false;
  std::vector<HostId> Missing;
};

//! All live members of this member's failure domain have a rumor that Origin
//! requested to be relayed.
struct RelayCovered {
  HostId Origin;
  std::uint64_t Rumor = 0;
};

//! Output of one call of RumorSpread.
struct SpreadStep {
  std::vector<RumorPushTo> Pushes;
  std::vector<SpreadEnded> Ended;
  std::vector<RelayCovered> Covered;
};

//! Pushes urgent rumors with acknowledgements: to all live members when there
//! are few, else to one relay per failure domain.
class RumorSpread {
public:
  RumorSpread(HostId Host, const MembershipTiming &Limits);

  //! Starts a spread by this member. A running spread of the same rumor
  //! continues unchanged.
  SpreadStep start(std::uint64_t Rumor, std::span<const MemberRecord> Members,
                   Instant Now);

  //! Starts relaying to this member's failure domain, or reports the state of
  //! the relay when it was started before.
  SpreadStep relay(std::uint64_t Rumor, const HostId &Origin,
                   std::span<const MemberRecord> Members, Instant Now);

  //! Records that a member has the rumor or, with Covered, that its failure
  //! domain has it.
  SpreadStep acknowledged(std::uint64_t Rumor, const HostId &From, bool Covered,
                          Instant Now);

  //! Resends due pushes and ends spreads that have reached their time limit.
  SpreadStep tick(std::span<const MemberRecord> Members, Instant Now);

  //! Returns when tick() is due, if a spread is running.
  std::optional<Instant> nextDeadline() const;

  //! Returns the number of stored spreads and relays.
  std::size_t size() const { return Spreads.size(); }

  //! Maximum number of concurrent spreads. Above it, a spread ends at once
  //! unacknowledged and its rumor is only piggybacked.
  static constexpr std::size_t MaxSpreads = 256;
  //! Pushes to one relay before another member of its domain is tried.
  static constexpr unsigned SendsPerRelay = 2;

private:
  //! Member, or relay of a failure domain, that has not acknowledged yet.
  struct Target {
    HostId Member;
    std::optional<FailureDomainName> RelayFor;
    unsigned Sends = 0;
  };
  struct Spread {
    std::uint64_t Rumor = 0;
    std::optional<HostId> Origin; //!< Set when this member is a relay.
    std::vector<Target> Pending;
    Instant NextSend;
    Instant EndsAt;
  };

  Spread *find(std::uint64_t Rumor, const std::optional<HostId> &Origin);
  bool changeRelay(Target &T, std::span<const MemberRecord> Members);
  std::vector<Target> targets(std::span<const MemberRecord> Members) const;
  std::vector<Target> domainTargets(std::span<const MemberRecord> Members,
                                    const FailureDomainName &Domain) const;
  void send(Spread &S, SpreadStep &Step, Instant Now);
  static void finish(const Spread &S, SpreadStep &Step);
  bool dropEndedTargets(Spread &S, std::span<const MemberRecord> Members);
  void add(Spread S, SpreadStep &Step, Instant Now);

  HostId Self;
  MembershipTiming Timing;
  std::vector<Spread> Spreads;
};

} // namespace masticgap::coordination
