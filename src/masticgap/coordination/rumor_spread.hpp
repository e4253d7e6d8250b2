#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/coordination/membership_settings.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Requests that rumors be pushed to one member in one message.
struct RumorPushTo {
  HostId To;
  std::vector<std::uint64_t> Rumors; //!< The first one is acknowledged.
  bool Relay = false; //!< The receiver relays it to its failure domain.
};

//! End of a spread that this member started, for one of its rumors.
struct SpreadEnded {
  std::uint64_t Rumor = 0;
  bool AllAcknowledged = false;
  std::vector<HostId> Missing; //!< Empty if the spread has not begun.
};

//! All live members of this member's failure domain have rumors that Origin
//! requested to be relayed.
struct RelayCovered {
  HostId Origin;
  std::uint64_t Rumor = 0; //!< The first one.
};

//! Output of one call of RumorSpread.
struct SpreadStep {
  std::vector<RumorPushTo> Pushes;
  std::vector<SpreadEnded> Ended;
  std::vector<RelayCovered> Covered;
};

//! Pushes urgent rumors with acknowledgements: to all live members when there
//! are few, else to one relay per failure domain.
//!
//! The number of spreads that all members together start in a second is
//! limited, so that what a burst costs each member does not grow with the
//! number of members. Rumors that come faster wait and are pushed together;
//! gossip carries them meanwhile.
class RumorSpread {
public:
  //! \param Seed of the delays of spreads that have to wait.
  RumorSpread(HostId Host, const MembershipTiming &Limits, std::uint64_t Seed);

  //! Requests a spread by this member; a later tick() starts it. It ends after
  //! RumorSpreadTime, also if it has not begun. A waiting or running spread of
  //! the same rumor continues unchanged.
  SpreadStep start(std::uint64_t Rumor, Instant Now);

  //! Starts relaying to this member's failure domain, or reports the state of
  //! the relay when it was started before.
  //! \param Rumors of one message, in its order; not empty.
  SpreadStep relay(std::vector<std::uint64_t> Rumors, const HostId &Origin,
                   std::span<const MemberRecord> Members, Instant Now);

  //! Records that a push of another member's spread brought a new rumor.
  void recordHeard(Instant Now);

  //! Records that a member has the rumors of a spread or, with Covered, that
  //! its failure domain has them.
  //! \param Rumor first one of the spread.
  SpreadStep acknowledged(std::uint64_t Rumor, const HostId &From, bool Covered,
                          Instant Now);

  //! Starts a waiting spread if one is due, resends due pushes and ends spreads
  //! that have reached their time limit.
  //! \param IsStored tells which rumors are still stored; others are not
  //! pushed.
  SpreadStep tick(std::span<const MemberRecord> Members,
                  const std::function<bool(std::uint64_t)> &IsStored,
                  Instant Now);

  //! Returns when tick() is due, if a spread is running.
  std::optional<Instant> nextDeadline() const;

  //! Returns the number of stored spreads and relays.
  std::size_t size() const { return Spreads.size(); }

  //! Maximum number of concurrent spreads. Above it, a spread ends at once
  //! unacknowledged and its rumor is only piggybacked.
  static constexpr std::size_t MaxSpreads = 256;
  //! Maximum number of rumors that wait. Above it, a rumor is only piggybacked.
  static constexpr std::size_t MaxWaiting = 256;
  //! Maximum number of rumors of a spread. They fit into one message also with
  //! names of the greatest length.
  static constexpr std::size_t MaxBatch = 8;
  //! Spreads of all members together that may start at once.
  static constexpr double SpreadBurst = 25;
  //! Pushes to one relay before another member of its domain is tried.
  static constexpr unsigned SendsPerRelay = 2;

private:
  //! Member, or relay of a failure domain, that has not acknowledged yet.
  struct Target {
    HostId Member;
    std::optional<FailureDomainName> RelayFor;
    unsigned Sends = 0;
    unsigned RelaysTried = 0;
  };
  struct WaitingRumor {
    std::uint64_t Rumor = 0;
    Instant SettleAt;
    bool Settled = false;
  };
  struct Spread {
    std::vector<std::uint64_t> Rumors;
    //! Rumors of which the end has been reported.
    std::vector<std::uint64_t> Settled;
    std::optional<HostId> Origin; //!< Set when this member is a relay.
    std::vector<Target> Pending;
    Instant NextSend;
    Instant EndsAt;
  };

  const Spread *findRelay(std::uint64_t Rumor, const HostId &Origin) const;
  bool changeRelay(const Spread &S, Target &T,
                   std::span<const MemberRecord> Members) const;
  std::vector<Target> targets(std::span<const MemberRecord> Members,
                              std::uint64_t Rumor) const;
  std::vector<Target> domainTargets(std::span<const MemberRecord> Members,
                                    const FailureDomainName &Domain) const;
  void send(Spread &S, SpreadStep &Step, Instant Now);
  static void finish(const Spread &S, SpreadStep &Step);
  bool dropEndedTargets(Spread &S, std::span<const MemberRecord> Members);
  void refillAllowance(Instant Now);
  //! Returns a time from half to one and a half of the interval between spreads
  //! of one member, so that members do not start theirs at the same moment.
  Duration drawInterval(std::span<const MemberRecord> Members);
  void settleWaiting(SpreadStep &Step, Instant Now);
  void startWaiting(std::span<const MemberRecord> Members,
                    const std::function<bool(std::uint64_t)> &IsStored,
                    SpreadStep &Step, Instant Now);
  void add(Spread S, SpreadStep &Step, Instant Now);

  HostId Self;
  MembershipTiming Timing;
  std::vector<Spread> Spreads;
  std::deque<WaitingRumor> Waiting; //!< Oldest first.
  Instant NextStart;                //!< Of the next spread of this member.
  std::mt19937_64 Random;
  //! Spreads that may start now, as far as this member knows the others'. It
  //! is refilled at the rate that RumorSpreadShare states.
  double Allowance = SpreadBurst;
  Instant AllowanceAt;
};

} // namespace masticgap::coordination
