#pragma once

#include "masticgap/coordination/account_limit/account_limiter.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace masticgap::tests {

//! Requests of one account at each host of a range.
struct AccountLoad {
  coordination::AccountLimit Limit;
  double RequestsPerSecond = 0; //!< Over all hosts.
  std::size_t FirstHost = 0;
  std::size_t Hosts = 0;
};

//! Hosts with an AccountLimiter, a network with delays, losses and cuts, views
//! of the members that follow with delay, and callers. It checks the rule for
//! each account at each arrival at a worker.
class AccountWorld {
public:
  using AccountAdmitted = coordination::AccountAdmitted;

  struct Totals {
    unsigned Requests = 0, Served = 0, Refused = 0, Waited = 0;
    double LargestExcess = -1e9; //!< Arrivals in a window above the bound.
  };

  AccountWorld(std::size_t Hosts, std::vector<AccountLoad> AllLoads,
               std::uint64_t Seed);

  void run(Duration Time);
  void kill(std::size_t Host);
  void start(std::size_t Host);
  void stopAsPlanned(std::size_t Host);
  void pause(std::size_t Host, Duration Time);
  //! Hosts of different parts cannot reach each other.
  void cut(const std::function<unsigned(std::size_t)> &Part);
  //! To be called before the first run.
  void setSizeClass(std::size_t Host, std::uint8_t Class);
  //! A host that cannot reach the others, is not reached by them, or both. It
  //! learns of the other members' assumed deaths only one by one.
  void isolate(std::size_t Host, bool Sends, bool Receives);
  //! Returns the owner of an account as seen from a running host.
  std::size_t owner(std::size_t Load) const;
  void setLimit(std::size_t Load, coordination::AccountLimit Limit);
  void setDemand(std::size_t Load, double RequestsPerSecond) {
    Loads[Load].RequestsPerSecond = RequestsPerSecond;
  }
  //! Returns whether the tokens of an account and its credit in stock at all
  //! hosts are at most the capacity of the bucket, and the stock at most half
  //! of the burst.
  bool holdsBucket(std::size_t Load);
  void setLoss(double Share) { Loss = Share; }
  void resetTotals();

  const Totals &totals(std::size_t Load) const { return Results[Load]; }
  std::size_t size() const { return Hosts.size(); }
  Instant now() const { return Now; }
  //! Messages between hosts so far.
  std::uint64_t messages() const { return Sent; }

private:
  struct Host {
    HostId Id;
    std::unique_ptr<coordination::AccountLimiter> Limiter;
    bool Running = false;
    Instant PausedUntil;
    std::uint8_t SizeClass = 0;
    unsigned Part = 0;
    bool Sends = true, Receives = true; //!< To and from other hosts.
    unsigned Run = 0;
    Incarnation Started;
    std::vector<coordination::FleetMemberStatus> View; //!< By host.
    std::vector<unsigned> ViewChange;             //!< Counts changes under way.
    std::map<std::uint64_t, std::size_t> Waiting; //!< Load by waiter.
  };
  struct Event {
    Instant At;
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At, Other.Order) < std::tie(At, Order);
    }
  };

  void at(Instant When, std::function<void()> Run);
  void onHost(std::size_t Index, std::function<void()> Run);
  Duration between(double MinMs, double MaxMs);
  Duration oneWay(std::size_t From, std::size_t To);
  bool reaches(std::size_t From, std::size_t To) const;
  void gossip(std::size_t From);
  void deliverGossip(std::size_t From, std::size_t To, bool Answered);
  void scheduleRequest(std::size_t Load);
  void request(std::size_t Load, std::size_t Index);
  void admitted(std::size_t Load);
  void arrive(std::size_t Load);
  void pump(std::size_t Index);
  void heartbeat(std::size_t Index, unsigned Run);
  void see(std::size_t Viewer, std::size_t Target,
           coordination::FleetMemberStatus Status, Duration After);
  void updateViews(std::size_t Target);
  void tell(std::size_t Viewer);
  std::vector<coordination::AccountLimit> limits() const;

  coordination::AccountLimitSettings Settings;
  std::mt19937_64 Random;
  Instant Now{std::chrono::hours(1)};
  std::uint64_t Order = 0;
  std::uint64_t Sent = 0;
  double Loss = 0;
  std::vector<Host> Hosts;
  std::vector<AccountLoad> Loads;
  std::vector<Totals> Results;
  std::vector<std::deque<Instant>> Arrivals;
  //! Earlier limits of each account, and until when they count.
  std::vector<std::vector<std::pair<Instant, coordination::AccountLimit>>>
      EarlierLimits;
  std::priority_queue<Event> Events;
};

} // namespace masticgap::tests
