#pragma once

#include "masticgap/coordination/internal/member_table.hpp"
#include "masticgap/coordination/internal/probe_schedule.hpp"
#include "masticgap/coordination/internal/rumor_store.hpp"
#include "masticgap/coordination/internal/update_queue.hpp"
#include "masticgap/coordination/membership.hpp"
#include "masticgap/coordination/rumor_spread.hpp"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace masticgap::coordination {

//! State of Membership. Its functions append to Actions; the public functions
//! of Membership return what was appended.
class Membership::Impl {
public:
  Impl(MembershipSettings Initial, HybridClock &Stamps, Instant Now);

  // membership.cpp
  std::vector<MembershipAction> take() { return std::exchange(Actions, {}); }
  Instant nextDeadline() const;
  void share(const Rumor &What, Instant Now);
  void spread(const Rumor &What, Instant Now);
  void planLeave();
  void leave(Instant Now);
  void addSeeds(std::span<const Endpoint> Seeds);
  void setProgress(std::uint64_t ConfigVersion, std::uint64_t Epoch);
  std::size_t stateBytes() const;

  // internal/membership_receive.cpp
  void receive(const GossipReceived &Event, Instant Now);
  void learn(const std::vector<MemberRecord> &Records, Instant Now);

  // internal/membership_timer.cpp
  void tick(Instant Now);

  bool stopped() const { return Stopped; }
  const MemberTable &table() const { return Table; }
  const RumorStore &rumors() const { return Rumors; }

private:
  //! Direct probe of this period.
  struct Probe {
    std::uint32_t Sequence = 0;
    HostId Target;
    Incarnation Run;
    Instant DirectUntil;
    bool IndirectSent = false;
  };
  //! Ping sent for another member.
  struct RelayedPing {
    std::uint32_t Sequence = 0; //!< Of the Ping that this host sent.
    Endpoint Requester;
    std::uint32_t RequesterSequence = 0;
    HostId Target;
  };
  //! Anti-entropy sync in progress.
  struct Sync {
    Endpoint Peer;
    SyncCursor Cursor;
    unsigned Sends = 0; //!< Of the request for this page.
  };

  // membership.cpp: messages
  GossipMessage header(GossipBody Body, Instant Now);
  void send(const Endpoint &To, GossipBody Body, Instant Now,
            const HostId *Receiver);
  void sendPlain(const Endpoint &To, GossipBody Body, Instant Now);
  void sendSyncRequest(Instant Now);
  void apply(const SpreadStep &Step, Instant Now);
  unsigned transmitLimit() const;
  void raiseRevision(std::uint32_t Above);

  // internal/membership_receive.cpp
  //! How a record was learned. FullView: a sync page or a peer's member list.
  enum class Source { Gossip, FullView };
  void mergeRecord(MemberRecord Record, Source From, Instant Now);
  void mergeSelf(const MemberRecord &Record);
  void recordChange(const MemberRecord &Record, bool WasLive, Source From,
                    Instant Now);
  void recordProgress(const MemberRecord &Record, bool VersionGrew);
  //! Returns whether the rumor is new or was renewed.
  bool learnRumor(const TimedRumor &Item, Instant Now);
  void compareViews(const GossipReceived &Event, Instant Now);
  void on(const Ping &Body, const GossipReceived &Event, Instant Now);
  void on(const PingRequest &Body, const GossipReceived &Event, Instant Now);
  void on(const Ack &Body, const GossipReceived &Event, Instant Now);
  void on(const RumorPush &Body, const GossipReceived &Event, Instant Now);
  void on(const RumorAck &Body, const GossipReceived &Event, Instant Now);
  void on(const SyncRequest &Body, const GossipReceived &Event, Instant Now);
  void on(const SyncPage &Body, const GossipReceived &Event, Instant Now);

  // internal/membership_timer.cpp
  void startPeriod(Instant Now);
  void endProbe(Instant Now);
  void sendIndirect(Instant Now);
  void expireSuspicions(Instant Now);
  void probeEndedMembers(Instant Now);
  void verifyMembers(Instant Now);
  void retrySync(Instant Now);
  void setStatus(const HostId &Id, MemberStatus Status, Instant Now);

  MembershipSettings Settings;
  HybridClock &Clock;
  std::mt19937_64 Random;
  MemberTable Table;
  UpdateQueue Queue;
  RumorStore Rumors;
  RumorSpread Spread;
  //! Rumors of running spreads. The rumor store may drop a rumor before its
  //! spread ends.
  std::map<std::uint64_t, Rumor> Spreading;
  ProbeSchedule Schedule;
  std::optional<Probe> ActiveProbe;
  std::deque<RelayedPing> RelayedPings;
  std::optional<Sync> ActiveSync;
  //! Members that others report alive and that are dead in the local table.
  std::vector<HostId> ToVerify;
  std::vector<MembershipAction> Actions;
  std::uint32_t LastSequence = 0;
  Instant NextPeriod;
  Instant NextDeadProbe;
  Instant NextForget;
  Instant LastViewChange;
  std::optional<Instant> LastSync;
  bool Stopped = false;
  bool Superseded = false;
};

//! Returns the gossip endpoint of a member.
inline Endpoint gossipEndpoint(const MemberRecord &Record) {
  return {Record.Host.Address, Record.Host.GossipPort};
}

} // namespace masticgap::coordination
