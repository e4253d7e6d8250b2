#pragma once

#include "masticgap/coordination/gossip_size.hpp"
#include "masticgap/coordination/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::tests {

using namespace masticgap::coordination;

//! In-memory network of Membership instances with fault injection and simulated
//! time.
class GossipWorld {
public:
  struct Faults {
    double Loss = 0;
    double Duplication = 0;
    Duration MinLatency = std::chrono::milliseconds(1);
    //! Messages are reordered if it exceeds the minimum.
    Duration MaxLatency = std::chrono::milliseconds(1);
    //! Time for which a host is busy with each message that it receives or
    //! sends. Messages for a busy host wait in its socket buffer.
    Duration HandlingTime{0};
  };

  struct Node {
    EntryHostDescriptor Self;
    std::unique_ptr<HybridClock> Clock;
    std::unique_ptr<Membership> Member; //!< Null while the process is down.
    bool Paused = false;
    unsigned Side = 0; //!< Nodes with different values are partitioned.
    std::uint64_t Timer = 0;
    std::vector<GossipReceived> ReceivedWhilePaused;
    Instant BusyUntil;
    std::size_t Waiting = 0; //!< Messages in its socket buffer.
    std::uint64_t BytesSent = 0;
    std::vector<RumorSettled> Settled;
    std::multiset<std::size_t> Learned; //!< Rumors learned, by variant index.
    std::map<HostId, Incarnation> Newest;
  };

  GossipWorld(std::size_t Count, std::uint64_t Seed, unsigned Domains = 6)
      : Random(Seed), Nodes(Count), DomainCount(Domains) {}

  void startAll() {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      start(I);
  }

  //! Starts a process with a new incarnation.
  void start(std::size_t I) {
    Node &N = Nodes[I];
    const auto Domain = std::to_string(I % DomainCount);
    N.Self = {HostId(NamePrefix + std::to_string(I)),
              RegionName("region-" + std::to_string(I % 3)),
              FailureDomainName("domain-" + Domain),
              makeIncarnation(1000 + ++Starts, 7),
              "10.0." + std::to_string(I / 250) + "." +
                  std::to_string(I % 250 + 1),
              7000,
              7001,
              7002,
              7003};
    ByAddress[N.Self.Address] = I;
    N.Clock = std::make_unique<HybridClock>(N.Self.Run, Now);
    N.Member = std::make_unique<Membership>(
        MembershipSettings{N.Self, seeds(I), Random(), Timing}, *N.Clock, Now);
    N.Paused = false;
    N.ReceivedWhilePaused.clear();
    N.Newest.clear();
    schedule(I);
  }

  void crash(std::size_t I) { Nodes[I].Member.reset(); }

  void pause(std::size_t I) { Nodes[I].Paused = true; }

  void resume(std::size_t I) {
    Node &N = Nodes[I];
    if (!std::exchange(N.Paused, false) || !N.Member)
      return;
    for (GossipReceived &Event : std::exchange(N.ReceivedWhilePaused, {}))
      perform(I, N.Member->handle(Event, Now));
    schedule(I);
  }

  void spread(std::size_t I, const Rumor &What) {
    perform(I, Nodes[I].Member->spread(What, Now));
  }

  void leave(std::size_t I) {
    perform(I, Nodes[I].Member->leave(Now));
    crash(I);
  }

  //! Returns whether no event is due because all processes are down or paused.
  bool idle() const { return Queue.empty(); }

  //! Runs the next event. \returns the affected node, if any.
  std::optional<std::size_t> step() {
    const auto Next = Queue.begin();
    Now = std::max(Now, Next->first.first);
    Item Event = std::move(Next->second);
    Queue.erase(Next);
    LastStepWasTimer = !Event.Message;
    Node &N = Nodes[Event.To];
    if (Now < N.BusyUntil) {
      Queue.emplace(std::pair(N.BusyUntil, ++Sequence), std::move(Event));
      return std::nullopt;
    }
    if (Event.Message) {
      --N.Waiting;
      N.BusyUntil = Now + Net.HandlingTime;
    }
    if (!N.Member || (!Event.Message && Event.Timer != N.Timer))
      return std::nullopt;
    if (N.Paused) {
      if (Event.Message && N.ReceivedWhilePaused.size() < SocketBufferLimit)
        N.ReceivedWhilePaused.push_back(*Event.Message);
      return std::nullopt;
    }
    if (Event.Message)
      perform(Event.To, N.Member->handle(*Event.Message, Now));
    else
      perform(Event.To, N.Member->handle(MembershipTimer(), Now));
    schedule(Event.To);
    return Event.To;
  }

  void run(Duration Time) {
    runUntil(Time, [] { return false; });
  }

  //! Runs until Done returns true; it is checked every 5 ms of simulated time.
  //! \returns whether that happened within Time.
  bool runUntil(Duration Time, const std::function<bool()> &Done) {
    const Instant End = Now + Time;
    for (Instant LastCheck = Now; !Done(); LastCheck = Now) {
      const Instant Until =
          std::min(End, LastCheck + std::chrono::milliseconds(5));
      while (!idle() && Queue.begin()->first.first <= Until)
        step();
      Now = Until;
      if (Now == End)
        return Done();
    }
    return true;
  }

  //! Returns whether Viewer lists exactly the running processes as live.
  bool viewIsExact(std::size_t Viewer) const {
    std::size_t Live = 0;
    for (const MemberRecord &M : Nodes[Viewer].Member->members()) {
      const Node &N = Nodes[ByAddress.at(M.Host.Address)];
      if (!isLive(M))
        continue;
      ++Live;
      if (!N.Member || M.Host.Run != N.Self.Run ||
          M.Draining != N.Member->self().Draining)
        return false;
    }
    std::size_t Running = 0;
    for (const Node &N : Nodes)
      Running += N.Member ? 1 : 0;
    return Live == Running;
  }

  bool allViewsExact() const {
    for (std::size_t I = 0; I < Nodes.size(); ++I)
      if (Nodes[I].Member && !viewIsExact(I))
        return false;
    return true;
  }

  //! Returns whether all running processes have the rumor.
  bool allHold(const Rumor &What) const {
    for (const Node &N : Nodes)
      if (N.Member && !holds(N, What))
        return false;
    return true;
  }

  bool holds(const Node &N, const Rumor &What) const {
    for (const TimedRumor &ReceivedWhilePaused : N.Member->rumors(Now))
      if (ReceivedWhilePaused.What == What)
        return true;
    return false;
  }

  std::function<void(const GossipMessage &)> OnSend;
  Faults Net;
  MembershipTiming Timing;
  std::mt19937_64 Random;
  std::vector<Node> Nodes;
  Instant Now = Instant(std::chrono::hours(1));
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::size_t LargestMessage = 0;
  //! Status changes seen, over all nodes.
  std::map<MemberStatus, std::size_t> Changes;
  //! Partitioned pairs, in both orders.
  std::set<std::pair<std::size_t, std::size_t>> Cut;
  bool LastStepWasTimer = false;
  std::string NamePrefix = "entry-";

private:
  struct Item {
    std::size_t To = 0;
    std::uint64_t Timer = 0;
    std::optional<GossipReceived> Message;
  };
  //! Size of the socket buffer, in datagrams.
  static constexpr std::size_t SocketBufferLimit = 64;

  std::vector<Endpoint> seeds(std::size_t I) const {
    if (I < 2)
      return {{"10.0.0.1", 7003}, {"10.0.0.2", 7003}};
    return {{"10.0.0.1", 7003}, {"10.0.0.2", 7003}, {"10.0.0.3", 7003}};
  }

  bool chance(double Probability) {
    return Probability > 0 &&
           std::uniform_real_distribution<>(0, 1)(Random) < Probability;
  }

  void schedule(std::size_t I) {
    Node &N = Nodes[I];
    N.Timer = ++Sequence;
    Queue.emplace(std::pair(std::max(Now, N.Member->nextDeadline()), Sequence),
                  Item{I, N.Timer, std::nullopt});
  }

  void deliver(std::size_t From, std::size_t To, const GossipMessage &Message) {
    if (Nodes[From].Side != Nodes[To].Side || Cut.contains({From, To}) ||
        chance(Net.Loss))
      return;
    std::uniform_int_distribution<Duration::rep> Latency(
        Net.MinLatency.count(), Net.MaxLatency.count());
    if (Net.HandlingTime > Duration(0) &&
        Nodes[To].Waiting >= SocketBufferLimit)
      return;
    ++Nodes[To].Waiting;
    const Endpoint Source{Nodes[From].Self.Address, 7003};
    Queue.emplace(std::pair(Now + Duration(Latency(Random)), ++Sequence),
                  Item{To, 0, GossipReceived{Source, Message}});
  }

  void perform(std::size_t From, std::vector<MembershipAction> Actions) {
    Node &N = Nodes[From];
    for (MembershipAction &Action : Actions) {
      if (auto *Send = std::get_if<SendGossip>(&Action)) {
        const std::size_t Size = encodedSize(Send->Message);
        ++Messages;
        Bytes += Size;
        N.BytesSent += Size;
        N.BusyUntil = std::max(N.BusyUntil, Now) + Net.HandlingTime;
        if (OnSend)
          OnSend(Send->Message);
        LargestMessage = std::max(LargestMessage, Size);
        const auto To = ByAddress.find(Send->To.Address);
        if (To == ByAddress.end())
          continue;
        deliver(From, To->second, Send->Message);
        if (chance(Net.Duplication))
          deliver(From, To->second, Send->Message);
      } else if (auto *Ended = std::get_if<RumorSettled>(&Action)) {
        N.Settled.push_back(std::move(*Ended));
      } else if (auto *Change = std::get_if<MemberChanged>(&Action)) {
        ++Changes[Change->Member.Status];
      } else if (auto *Rumor = std::get_if<RumorLearned>(&Action)) {
        N.Learned.insert(Rumor->What.What.index());
      }
    }
    if (N.Member)
      schedule(From);
  }

  std::map<std::pair<Instant, std::uint64_t>, Item> Queue;
  std::map<std::string, std::size_t> ByAddress;
  std::uint64_t Sequence = 0;
  std::uint64_t Starts = 0;
  unsigned DomainCount;
};

} // namespace masticgap::tests
