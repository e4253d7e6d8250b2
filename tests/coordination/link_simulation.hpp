#pragma once

#include "link_fakes.hpp"

#include "masticgap/coordination/link_limits.hpp"

#include <array>
#include <memory>
#include <optional>

namespace masticgap::tests {

//! Simulates hosts with real budgets and grants on a fake store and fake links.
class LinkSimulation {
public:
  static constexpr std::uint32_t CapMbit = 4000;
  //! Time until a lost configuration reaches a host.
  static constexpr Duration LongestConfigDelay = milliseconds(2000);
  //! Maximum relative difference between clock speeds.
  static constexpr double ClockSpread = 0.004;

  //! Interval between two actions of a host.
  Duration StepLength = milliseconds(5);

  struct Options {
    std::size_t Hosts = 8;
    std::uint32_t MaxEntryHosts = 8;
    //! Removes the lease end from the grants that budgets receive.
    bool IgnoreLeaseEnd = false;
  };

  LinkSimulation(std::uint64_t Seed, const Options &O);

  FakeTable &table() { return Table; }
  std::size_t hostCount() const { return Hosts.size(); }
  Instant now() const { return Now; }

  //! Sets the demand of a host on a pair, in bytes per second.
  void demand(std::size_t Host, const RegionPair &Pair, double Rate);
  void clearDemand();
  //! Pauses a host at its next send, between spending the tokens and sending.
  void pause(std::size_t Host, Duration Time);
  void restart(std::size_t Host, Duration After);
  void changeCap(const RegionPair &Pair, std::uint32_t Mbit);
  void step();
  void run(Duration Time);

  std::uint64_t carried(const RegionPair &Pair) { return Links[Pair].total(); }
  std::vector<RegionPair> pairsOf(std::size_t Host) const;
  //! Returns the first violation of a cap, if any.
  const std::string &violation() const { return Violation; }

private:
  struct Answer {
    LinkReservation Reservation;
    std::uint64_t Used = 0;
    Instant ArrivesAt;
    bool Arrived = false;
  };
  struct Host {
    RegionName Region;
    std::uint64_t Generation = 0;
    std::size_t CallerId = 0;
    Duration ClockOffset{0};
    double ClockSpeed = 1;
    std::unique_ptr<LinkBudget> Budget;
    std::unique_ptr<LinkGrants> Grants;
    std::map<RegionPair, double> Demand;
    std::map<RegionPair, double> Backlog;
    std::vector<Answer> Answers;
    std::vector<StoreAnswer> Inbox;
    std::optional<std::pair<RegionPair, std::uint64_t>> Unsent;
    std::optional<Duration> PauseNext;
    std::optional<Instant> PausedUntil;
    std::optional<Instant> DeadUntil;
    Instant NextDemand;
    std::vector<std::pair<Instant, ConfigDocument>> Configs;
  };

  Instant local(const Host &H) const;
  double draw() { return std::uniform_real_distribution<>(0, 1)(Random); }
  void start(std::size_t Index);
  void actOn(Host &H, const std::vector<LinkGrantAction> &Actions);
  void control(Host &H);
  void traffic(Host &H);
  void sendRequests(Host &H, const RegionPair &Pair, double Rate);
  void reserveAnswers(Host &H, const RegionPair &Pair);
  void receiveAnswers(Host &H);
  void check();

  Options Settings;
  std::mt19937_64 Random;
  FakeTable Table;
  Instant Now{std::chrono::seconds(100)};
  std::vector<Host> Hosts;
  std::size_t NextCallerId = 0;
  ConfigDocument Config;
  std::map<RegionPair, FakeLink> Links;
  //! Caps that can still be in force, with the time at which they expire.
  std::map<RegionPair, std::vector<std::pair<Instant, double>>> EndedCaps;
  std::map<RegionPair, double> Caps;
  std::string Violation;
  std::uint64_t Steps = 0;
};

} // namespace masticgap::tests
