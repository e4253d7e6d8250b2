// Compares policies for the choice of workers: N entry hosts share small
// workers that refuse requests when full. Events run in simulated time, and the
// seed makes each run reproducible.

#include "masticgap/coordination/dispatch/dispatcher.hpp"
#include "masticgap/coordination/worker_pool.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <string_view>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

struct Setup {
  unsigned Hosts = 26;
  unsigned Workers = 16;
  unsigned Slots = 3;
  double Utilization = 0.5;
  Duration ServiceTime = 20ms;
  Duration OneWayLatency = 1400us;
  Duration ProbeInterval = 1s;
  Duration Length = 60s;
};

struct Result {
  double P50 = 0, P99 = 0, RefusalsPerRequest = 0, Shed = 0;
  double HighestUse = 0;
};

class Simulation {
public:
  Simulation(const Setup &S,
             const std::function<ChoicePolicy(unsigned)> &Policy)
      : S(S), InUse(S.Workers), Random(42) {
    for (unsigned W = 0; W < S.Workers; ++W)
      Workers.push_back({WorkerId("w" + std::to_string(W)),
                         ServiceName("agenda"),
                         Region,
                         FailureDomainName(W % 2 ? "a" : "b"),
                         {"127.0.0.1", 1},
                         Incarnation{1},
                         S.Slots,
                         660,
                         false});
    for (unsigned H = 0; H < S.Hosts; ++H) {
      Pools.emplace_back(Policy(H), H + 1);
      Pools.back().update(Workers, Now);
    }
  }

  Result run() {
    const double Rate = S.Utilization * S.Workers * S.Slots /
                        static_cast<double>(S.ServiceTime.count());
    InterarrivalTime = std::exponential_distribution<double>(Rate);
    schedule(Now, [this] { arrive(); });
    schedule(Now, [this] { probe(); });
    while (!Events.empty() && Events.top().Time < end()) {
      Now = Events.top().Time;
      auto Run = Events.top().Run;
      Events.pop();
      Run();
    }
    std::ranges::sort(Latencies);
    const auto Percentile = [this](double P) {
      return Latencies[static_cast<std::size_t>(
                 P * static_cast<double>(Latencies.size() - 1))] /
             1e6;
    };
    return {Percentile(0.5), Percentile(0.99), perRequest(Refusals),
            perRequest(Shed),
            static_cast<double>(HighestUse) / (S.Workers * S.Slots)};
  }

private:
  struct Event {
    Instant Time;
    std::uint64_t Order;
    std::function<void()> Run;
    bool operator<(const Event &Other) const {
      return std::pair(Other.Time, Other.Order) < std::pair(Time, Order);
    }
  };

  double perRequest(std::uint64_t Count) const {
    return static_cast<double>(Count) / static_cast<double>(Requests);
  }
  Instant end() const { return Instant(1h) + S.Length; }
  void schedule(Instant Time, std::function<void()> Run) {
    Events.push({Time, ++Order, std::move(Run)});
  }

  void arrive() {
    ++Requests;
    const auto Host = static_cast<unsigned>(Random() % S.Hosts);
    attempt(Host, Now);
    schedule(Now +
                 Duration(static_cast<std::int64_t>(InterarrivalTime(Random))),
             [this] { arrive(); });
  }

  void attempt(unsigned Host, Instant Arrived) {
    if (Now - Arrived > 2s) {
      ++Shed;
      return;
    }
    const auto Choice = Pools[Host].choose({Region}, Now);
    const auto *Chosen = std::get_if<WorkerChosen>(&Choice);
    if (!Chosen) {
      schedule(Now + 2ms, [=, this] { attempt(Host, Arrived); });
      return;
    }
    const auto W =
        static_cast<unsigned>(std::stoul(Chosen->Worker.Id.value().substr(1)));
    Pools[Host].started(Workers[W].Id);
    const Instant Sent = Now;
    schedule(Now + S.OneWayLatency,
             [=, this] { execute(Host, W, Arrived, Sent); });
  }

  void execute(unsigned Host, unsigned W, Instant Arrived, Instant Sent) {
    if (InUse[W] >= S.Slots) {
      ++Refusals;
      schedule(Now + S.OneWayLatency, [=, this] {
        Pools[Host].finished(Workers[W].Id,
                             {AttemptEnd::RefusedFull, Now - Sent}, Now);
        attempt(Host, Arrived);
      });
      return;
    }
    ++InUse[W];
    HighestUse = std::max(HighestUse, ++TotalInUse);
    std::exponential_distribution<double> Draw(
        1 / static_cast<double>(S.ServiceTime.count()));
    schedule(
        Now + Duration(static_cast<std::int64_t>(Draw(Random))), [=, this] {
          --InUse[W];
          --TotalInUse;
          const LoadReport Report{InUse[W], S.Slots};
          schedule(Now + S.OneWayLatency, [=, this] {
            Pools[Host].finished(Workers[W].Id,
                                 {AttemptEnd::Answered, Now - Sent}, Now);
            Pools[Host].report(Workers[W].Id, Report, Now);
            Latencies.push_back(static_cast<double>((Now - Arrived).count()));
          });
        });
  }

  void probe() {
    for (unsigned H = 0; H < S.Hosts; ++H)
      for (unsigned W = 0; W < S.Workers; ++W)
        Pools[H].report(Workers[W].Id, {InUse[W], S.Slots}, Now);
    schedule(Now + S.ProbeInterval, [this] { probe(); });
  }

  const RegionName Region{"luzon"};
  Setup S;
  Instant Now{Duration(1h)};
  std::vector<WorkerDescriptor> Workers;
  std::vector<WorkerPool> Pools;
  std::vector<unsigned> InUse;
  std::mt19937_64 Random;
  std::exponential_distribution<double> InterarrivalTime;
  std::priority_queue<Event> Events;
  std::uint64_t Order = 0;
  std::vector<double> Latencies;
  std::uint64_t Requests = 0, Refusals = 0, Shed = 0;
  unsigned TotalInUse = 0, HighestUse = 0;
};

struct NamedPolicy {
  const char *Name;
  std::function<ChoicePolicy(unsigned)> Make;
};

//! Measures one choice of Dispatcher with 10,000 workers, and its tick.
void measureDispatcher(unsigned Services) {
  constexpr unsigned Workers = 10'000;
  constexpr Instant Start(Duration(1h));
  const RegionName Region("luzon");
  DispatcherSettings Settings;
  Settings.Self = HostId("e0");
  Settings.Region = Region;
  Settings.DomainRegions = {{FailureDomainName("a"), Region}};
  Dispatcher Host(Settings, Start);
  const auto NameOf = [](unsigned Service) {
    return ServiceName("s" + std::to_string(Service));
  };
  for (unsigned W = 0; W < Workers; ++W) {
    WorkerRegistration Entry;
    Entry.Worker = {WorkerId("w" + std::to_string(W)),
                    NameOf(W % Services),
                    Region,
                    FailureDomainName("a"),
                    {"127.0.0.1", 1},
                    Incarnation{1},
                    3,
                    660,
                    false};
    Host.directory().recordRegistration(Entry, Start, 1h);
    Host.recordLoad(Entry.Worker.Id, {W % 4, W % 3, 3}, Start);
  }
  constexpr unsigned Choices = 2000;
  constexpr unsigned Ticks = 10;
  Instant Now = Start;
  DispatchRequest Request;
  Request.LatencyObjective = 1s;
  unsigned Chosen = 0;
  const auto Measure = [](unsigned Count, const std::function<void()> &Run) {
    const auto Before = std::chrono::steady_clock::now();
    for (unsigned I = 0; I < Count; ++I)
      Run();
    const std::chrono::duration<double, std::micro> Passed =
        std::chrono::steady_clock::now() - Before;
    return Passed.count() / Count;
  };
  std::mt19937_64 Random(42);
  const auto Choose = [&] {
    Now += 1ms;
    Request.Service = NameOf(static_cast<unsigned>(Random() % Services));
    Request.Object = Random();
    Request.Deadline = Now + 2s;
    Chosen += std::holds_alternative<WorkerPick>(Host.choose(Request, Now));
  };
  for (unsigned I = 0; I < 10 * Services; ++I)
    Choose();
  const double ChoiceTime = Measure(Choices, Choose);
  const double TickTime = Measure(Ticks, [&] { Host.tick(Now += 500ms); });
  std::printf("%8u %10.2f %10.2f %8u\n", Services, ChoiceTime, TickTime,
              Chosen);
}

} // namespace

//! With the argument "dispatcher", measures only the time of Dispatcher.
int main(int Count, char **Arguments) {
  std::printf("Dispatcher with 10,000 workers\n%8s %10s %10s %8s\n", "services",
              "choice us", "tick us", "chosen");
  for (const unsigned Services : {1U, 10U, 50U})
    measureDispatcher(Services);
  if (Count > 1 && std::string_view(Arguments[1]) == "dispatcher")
    return 0;
  std::vector<HostId> Hosts;
  for (unsigned I = 0; I < 26; ++I)
    Hosts.emplace_back("e" + std::to_string(I));
  const NamedPolicy Policies[] = {
      {"uniform", [](unsigned) { return UniformChoice{}; }},
      {"two choices", [](unsigned) { return TwoChoices{}; }},
      {"slot subset",
       [&](unsigned H) {
         return SlotSubset{Hosts[H], RegionName("luzon"), Hosts};
       }},
      {"least used", [](unsigned) { return LeastUsed{}; }}};
  std::printf("%-12s %5s %6s %9s %9s %9s %8s %8s\n", "way", "slots", "load",
              "p50 ms", "p99 ms", "refusals", "shed", "highest");
  for (const unsigned Slots : {3U, 6U})
    for (const double Load : {0.3, 0.5, 0.7, 0.9})
      for (const NamedPolicy &Policy : Policies) {
        Setup S;
        S.Slots = Slots;
        S.Utilization = Load;
        const Result R = Simulation(S, Policy.Make).run();
        std::printf("%-12s %5u %6.2f %9.2f %9.2f %9.3f %8.4f %8.2f\n",
                    Policy.Name, Slots, Load, R.P50, R.P99,
                    R.RefusalsPerRequest, R.Shed, R.HighestUse);
      }
}
