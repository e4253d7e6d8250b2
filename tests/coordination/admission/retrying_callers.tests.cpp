// Load that exceeds the capacity, from callers that retry.
#include "masticgap/coordination/admission/account_shares.hpp"
#include "masticgap/coordination/admission/caller_patience.hpp"
#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Hosts = 6;
constexpr std::size_t Workers = 16;
constexpr std::size_t Slots = 3;
constexpr std::size_t QueueLimit = 9;
constexpr std::size_t Memory = 12; //!< Objects that a worker keeps in memory.
constexpr std::size_t Accounts = 40;
constexpr double LargeAccount = 8; //!< Share of account 0; the others have 1.
//! Objects of an account with share 1; all objects are as popular.
constexpr std::size_t ObjectsPerShare = 2;
constexpr std::size_t Priorities = 3;
constexpr double Overload = 1.3;
constexpr Duration WarmTime = 300ms;
constexpr double ColdFactor = 1 / 0.3;
constexpr Duration CallerTime = 2500ms; //!< Until a caller's deadline.
constexpr Instant Start{1h};
constexpr Instant CountFrom = Start + 10s;
constexpr Instant End = Start + 70s;
const ServiceName Service("s");
const RegionName Region("r");

//! Results of the requests of callers, each with its retry.
struct Results {
  struct Group {
    unsigned Requests = 0;
    unsigned Served = 0;
    double share() const {
      return Requests == 0 ? 1 : static_cast<double>(Served) / Requests;
    }
  };
  unsigned Requests = 0;
  unsigned OnTime = 0;
  unsigned Refusals = 0; //!< Of first and retried requests.
  std::array<Group, Priorities> ByPriority;
  std::array<Group, Accounts> ByAccount;

  double onTimeShare() const { return static_cast<double>(OnTime) / Requests; }
  double refusalsPerRequest() const {
    return static_cast<double>(Refusals) / Requests;
  }
  //! Returns the mean share of the worst tenth of the accounts, relative to the
  //! mean of all.
  double worstTenth() const {
    std::vector<double> Shares;
    for (const Group &Account : ByAccount)
      Shares.push_back(Account.share());
    std::ranges::sort(Shares);
    const auto Mean = [&](std::size_t Count) {
      return std::accumulate(Shares.begin(),
                             Shares.begin() + static_cast<long>(Count), 0.0) /
             static_cast<double>(Count);
    };
    return Mean(Accounts / 10) / Mean(Accounts);
  }
};

//! Hosts with real dispatchers in front of simulated workers.
class World {
public:
  World(bool WithCallers, Duration Objective, std::uint64_t Seed)
      : WithCallers(WithCallers), Objective(Objective), Random(Seed) {
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Config->Services[Service] = {"/health", 600, 0s, 2};
    std::vector<HostId> Names;
    for (std::size_t I = 0; I < Hosts; ++I)
      Names.emplace_back("h" + std::to_string(I));
    for (const HostId &Name : Names) {
      DispatcherSettings Settings;
      Settings.Self = Name;
      Settings.Region = Region;
      Settings.DomainRegions = {{FailureDomainName("d"), Region}};
      Settings.Retries = {.Ratio = 0.2, .Slack = 100, .Window = 10s};
      HostStates.push_back(std::make_unique<Host>(Settings));
      Dispatcher &Dispatch = HostStates.back()->Dispatch;
      Dispatch.setConfig(Config);
      Dispatch.setHosts(Names, {{Region, Hosts}}, Names);
      for (std::size_t I = 0; I < Workers; ++I)
        Dispatch.directory().recordRegistration(registration(I), Start, 60s);
    }
  }

  Results simulate() {
    const double PerSecond = Overload * Workers * Slots /
                             std::chrono::duration<double>(WarmTime).count();
    std::exponential_distribution<double> Gap(PerSecond);
    std::vector<double> Weights(Accounts, 1.0);
    Weights[0] = LargeAccount;
    std::discrete_distribution<std::size_t> PickAccount(Weights.begin(),
                                                        Weights.end());
    for (Instant At = Start; At < End; At += 500ms)
      schedule(At, [this] {
        for (const auto &State : HostStates)
          State->Dispatch.tick(Now);
      });
    std::function<void()> Arrive = [&] {
      Request New;
      New.Account = PickAccount(Random);
      New.Priority = static_cast<unsigned>(below(Priorities));
      const auto Objects =
          ObjectsPerShare * static_cast<std::size_t>(Weights[New.Account]);
      New.Object = objectHash(Service, std::to_string(New.Account) + "/" +
                                           std::to_string(below(Objects)));
      New.FirstAt = Now;
      if (Now >= CountFrom) {
        ++Counts.Requests;
        ++Counts.ByPriority.at(New.Priority).Requests;
        ++Counts.ByAccount.at(New.Account).Requests;
      }
      send(New);
      if (Now < End)
        schedule(Now + seconds(Gap(Random)), Arrive);
    };
    schedule(Start, Arrive);
    while (!Events.empty()) {
      const Event Next = Events.top();
      Events.pop();
      Now = Next.At;
      Next.Action();
    }
    return Counts;
  }

private:
  struct Request {
    std::size_t Account = 0;
    unsigned Priority = 0;
    std::uint64_t Object = 0;
    Instant FirstAt;
    bool Retried = false;
  };
  struct Host {
    explicit Host(const DispatcherSettings &Settings)
        : Dispatch(Settings, Start) {}
    Dispatcher Dispatch;
    CallerPatience Patience;
    AccountShares Shares;
  };
  struct Sent {
    Request What;
    Host *From = nullptr;
    WorkerPick Pick;
    Instant At;
  };
  struct Worker {
    std::list<std::uint64_t> RecentObjects; //!< Most recent first.
    std::deque<Sent> Waiting;
    std::size_t Running = 0;
  };
  struct Event {
    Instant At;
    std::uint64_t Order = 0;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  static WorkerRegistration registration(std::size_t Index) {
    WorkerRegistration Entry;
    Entry.Worker.Id = WorkerId("w" + std::to_string(Index));
    Entry.Worker.Service = Service;
    Entry.Worker.Domain = FailureDomainName("d");
    Entry.Worker.Region = Region;
    Entry.Worker.Slots = Slots;
    Entry.Worker.Run = Incarnation{1};
    return Entry;
  }
  static Duration seconds(double Count) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Count));
  }
  std::size_t below(std::size_t Limit) {
    return std::uniform_int_distribution<std::size_t>(0, Limit - 1)(Random);
  }
  double between(double Low, double High) {
    return std::uniform_real_distribution<double>(Low, High)(Random);
  }
  void schedule(Instant At, std::function<void()> Action) {
    Events.push({At, NextOrder++, std::move(Action)});
  }

  //! Sends a request to a random host, as a caller does.
  void send(const Request &What) {
    Host &To = *HostStates[below(Hosts)];
    // The deadline is stated before up to 20 ms on the way.
    const Duration Remaining =
        What.FirstAt + CallerTime - Now - seconds(between(0, 0.02));
    const std::string Route = "p" + std::to_string(What.Priority);
    const std::string Account = std::to_string(What.Account);
    To.Dispatch.recordArrival(Service, Now);
    DispatchRequest Asked;
    Asked.Service = Service;
    Asked.Object = What.Object;
    Asked.Priority = What.Priority;
    Asked.LatencyObjective = Objective;
    Asked.Deadline = Now + Remaining;
    if (WithCallers) {
      To.Patience.record(Route, Remaining, Now);
      Asked.Caller = CallerStanding{To.Patience.timeUsed(Route, Remaining, Now),
                                    To.Shares.limitShift(Account, Now)};
    }
    const auto Record = [&](bool Served) {
      To.Shares.record(Account, What.Priority, Served, Now);
    };
    std::vector<WorkerId> Tried;
    // A host tries a second worker if the first one refuses the request.
    for (int Attempt = 0; Attempt < 2; ++Attempt) {
      Asked.Tried = Tried;
      const DispatchDecision Decision = To.Dispatch.choose(Asked, Now);
      if (Attempt == 0)
        Record(std::holds_alternative<WorkerPick>(Decision));
      if (const auto *Refusal = std::get_if<Rejection>(&Decision))
        return refuse(What, Refusal->RetryAfter);
      const auto &Pick = std::get<WorkerPick>(Decision);
      To.Dispatch.recordSent(Pick, Now);
      const std::size_t Index = std::stoul(Pick.Worker.Id.value().substr(1));
      if (WorkerStates.at(Index).Waiting.size() < QueueLimit) {
        WorkerStates.at(Index).Waiting.push_back({What, &To, Pick, Now});
        return startNext(Index);
      }
      To.Dispatch.recordResult(Pick, WorkerVerdict::RefusedFull, 1ms, Now);
      Tried.push_back(Pick.Worker.Id);
    }
    refuse(What, To.Dispatch.typicalLatency(Service));
  }

  void refuse(Request What, Duration RetryAfter) {
    Counts.Refusals += What.FirstAt >= CountFrom ? 1 : 0;
    if (std::exchange(What.Retried, true))
      return;
    const Duration Left = What.FirstAt + CallerTime - Now;
    const Duration Stated =
        std::chrono::duration_cast<Duration>(RetryAfter * between(0.75, 1.5));
    schedule(Now + std::min(Stated, Left / 3), [this, What] { send(What); });
  }

  void startNext(std::size_t Index) {
    Worker &State = WorkerStates.at(Index);
    if (State.Running == Slots || State.Waiting.empty())
      return;
    const Sent Next = State.Waiting.front();
    State.Waiting.pop_front();
    ++State.Running;
    auto &Recent = State.RecentObjects;
    const bool Cold = std::erase(Recent, Next.What.Object) == 0;
    Recent.push_front(Next.What.Object);
    if (Recent.size() > Memory)
      Recent.pop_back();
    const double Factor = between(0.6, 1.4) * (Cold ? ColdFactor : 1);
    schedule(Now + std::chrono::duration_cast<Duration>(WarmTime * Factor),
             [this, Index, Next] { finish(Index, Next); });
  }

  void finish(std::size_t Index, const Sent &Done) {
    Worker &State = WorkerStates.at(Index);
    --State.Running;
    Done.From->Dispatch.recordLoad(Done.Pick.Worker.Id,
                                   {static_cast<unsigned>(State.Running),
                                    static_cast<unsigned>(State.Waiting.size()),
                                    Slots},
                                   Now);
    Done.From->Dispatch.recordResult(Done.Pick, WorkerVerdict::Answered,
                                     Now - Done.At, Now);
    const Duration Latency = Now - Done.What.FirstAt;
    if (Done.What.FirstAt >= CountFrom && Latency <= CallerTime) {
      Counts.OnTime += Latency <= Objective ? 1 : 0;
      ++Counts.ByPriority.at(Done.What.Priority).Served;
      ++Counts.ByAccount.at(Done.What.Account).Served;
    }
    startNext(Index);
  }

  bool WithCallers;
  Duration Objective;
  std::mt19937_64 Random;
  Instant Now = Start;
  std::vector<std::unique_ptr<Host>> HostStates;
  std::array<Worker, Workers> WorkerStates;
  std::priority_queue<Event> Events;
  std::uint64_t NextOrder = 0;
  Results Counts;
};

} // namespace

// Simulates 1.3 times the load that the workers can serve, from callers that
// retry a refused request once. Guards against admission that serves requests
// which are late already before those that can be on time, and against accounts
// that stay behind others because they share workers with a large one.
TEST_CASE(
    "under overload retrying callers of all accounts are served in time") {
  for (const Duration Objective : {600ms, 1000ms, 1500ms})
    for (const std::uint64_t Seed : {1, 2, 3}) {
      CAPTURE(Objective.count());
      CAPTURE(Seed);
      const Results Without = World(false, Objective, Seed).simulate();
      const Results With = World(true, Objective, Seed).simulate();
      CHECK(With.onTimeShare() > Without.onTimeShare());
      CHECK(With.refusalsPerRequest() < Without.refusalsPerRequest());
      for (std::size_t I = 1; I < Priorities; ++I)
        CHECK(With.ByPriority.at(I - 1).share() >=
              With.ByPriority.at(I).share());
      CHECK(With.worstTenth() >= 0.8);
    }
}
