// Plays a service whose workers join under traffic, and checks what callers
// get. There is no network: the hosts are dispatchers, the workers are queues.
#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1000s};
constexpr Duration WarmRun = 350ms;
constexpr Duration ColdRun = 1160ms; //!< Of an object that is not in memory.
constexpr Duration Objective = 800ms;
constexpr Duration Timeout = 1500ms;
constexpr Duration ColdPhase = 3s;
constexpr Duration Window = 2s;
constexpr std::size_t ObjectsInMemory = 8;
constexpr unsigned Slots = 3;
constexpr std::size_t QueueLimit = 9;
constexpr double LateWorth = 0.2;
const ServiceName Service("s");
const RegionName Region("r");

struct Load {
  const char *Name = "";
  std::size_t Hosts = 0;
  std::size_t Workers = 0;
  std::size_t Joining = 0;
  int Objects = 0;
  double RequestsPerSecond = 0;
  //! Least worth of a window relative to that before the workers join. Below
  //! 0.95 where a window has only a few dozen requests.
  double MinWindowWorth = 0.95;
};

class GrowingFleet {
public:
  explicit GrowingFleet(const Load &Params) : Params(Params) {
    std::vector<HostId> Ids;
    for (std::size_t I = 0; I < Params.Hosts; ++I)
      Ids.emplace_back("h" + std::to_string(I));
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Config->Services[Service] = {"/health", 3600, ColdPhase, 2};
    for (const HostId &Id : Ids) {
      DispatcherSettings Settings;
      Settings.Self = Id;
      Settings.Region = Region;
      Settings.DomainRegions = {{FailureDomainName("d"), Region}};
      Settings.Retries = {.Ratio = 0.2, .Slack = 100, .Window = 10s};
      Hosts.push_back(std::make_unique<Dispatcher>(Settings, Start));
      Hosts.back()->setConfig(Config);
      Hosts.back()->setHosts(
          Ids, {{Region, static_cast<unsigned>(Params.Hosts)}}, Ids);
    }
    for (std::size_t I = 0; I < Params.Workers; ++I)
      add(I, Start, 60s, Duration(0));
  }

  //! Plays until the given time; the new workers join at JoinAt.
  void play(Instant JoinAt, Instant Until) {
    const auto Interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / Params.RequestsPerSecond));
    Instant NextTick = Start;
    for (Instant Now = Start; Now < Until; Now += Interval) {
      if (Now >= JoinAt && Workers.size() == Params.Workers)
        for (std::size_t I = 0; I < Params.Joining; ++I)
          add(Params.Workers + I, Now, Duration(0), ColdPhase);
      for (; NextTick <= Now; NextTick += 500ms)
        for (const auto &Host : Hosts)
          Host->tick(Now);
      finishRuns(Now);
      send(Now);
    }
  }

  //! Returns the worth of the requests of each window, at most 1.
  std::vector<double> worthByWindow() const {
    std::vector<double> Result;
    for (const auto &[Index, Sum] : Worth)
      Result.push_back(Sum / Requests.at(Index));
    return Result;
  }

  //! Returns the number of workers that joined and got no request.
  std::size_t untriedWorkers() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Workers, [](const auto &Entry) {
          return Entry.second.Joined && Entry.second.Started == 0;
        }));
  }

private:
  struct Run {
    Instant EndsAt;
    std::string Worker;
    std::size_t Host = 0;
    WorkerPick Pick;
    int Object = 0;
    Instant SentAt;

    bool operator>(const Run &Other) const { return EndsAt > Other.EndsAt; }
  };
  struct Worker {
    Instant ColdUntil;
    std::deque<int> Memory; //!< Objects, the last one used most recently.
    std::deque<Run> Waiting;
    unsigned Running = 0;
    unsigned Started = 0;
    bool Joined = false;
  };

  void add(std::size_t Index, Instant Now, Duration Age, Duration Cold) {
    const std::string Name = "w" + std::to_string(Index);
    WorkerRegistration Entry;
    Entry.Worker.Id = WorkerId(Name);
    Entry.Worker.Service = Service;
    Entry.Worker.Domain = FailureDomainName("d");
    Entry.Worker.Region = Region;
    Entry.Worker.Slots = Slots;
    Entry.Worker.Run = Incarnation{1};
    Entry.ColdDuration = Cold;
    for (const auto &Host : Hosts)
      Host->directory().recordRegistration(Entry, Now, Age);
    Workers[Name].ColdUntil = Now + Cold;
    Workers[Name].Joined = Cold > Duration(0);
  }

  void start(Run Next, Instant Now) {
    Worker &At = Workers[Next.Worker];
    ++At.Running;
    ++At.Started;
    const auto Known = std::ranges::find(At.Memory, Next.Object);
    Duration Time = Known == At.Memory.end() ? ColdRun : WarmRun;
    if (Now < At.ColdUntil)
      Time *= 2;
    Next.EndsAt = Now + Time;
    Runs.push(std::move(Next));
  }

  void finishRuns(Instant Now) {
    while (!Runs.empty() && Runs.top().EndsAt <= Now) {
      const Run Done = Runs.top();
      Runs.pop();
      Worker &At = Workers[Done.Worker];
      --At.Running;
      std::erase(At.Memory, Done.Object);
      At.Memory.push_back(Done.Object);
      if (At.Memory.size() > ObjectsInMemory)
        At.Memory.pop_front();
      const Duration Latency = Done.EndsAt - Done.SentAt;
      const bool TimedOut = Latency > Timeout;
      Dispatcher &Host = *Hosts[Done.Host];
      Host.recordResult(Done.Pick,
                        TimedOut ? WorkerVerdict::TimedOut
                                 : WorkerVerdict::Answered,
                        std::min(Latency, Timeout), Done.EndsAt);
      Host.recordLoad(
          Done.Pick.Worker.Id,
          {At.Running, static_cast<unsigned>(At.Waiting.size()), Slots},
          Done.EndsAt);
      if (!TimedOut)
        Worth[window(Done.SentAt)] += Latency <= Objective ? 1 : LateWorth;
      if (!At.Waiting.empty()) {
        Run Next = std::move(At.Waiting.front());
        At.Waiting.pop_front();
        start(std::move(Next), Done.EndsAt);
      }
    }
  }

  void send(Instant Now) {
    const std::size_t HostIndex = Random() % Hosts.size();
    Dispatcher &Host = *Hosts[HostIndex];
    const int Object = static_cast<int>(Random() % Params.Objects);
    Requests[window(Now)] += 1;
    Worth[window(Now)] += 0;
    Host.recordArrival(Service, Now);
    DispatchRequest Request;
    Request.Service = Service;
    Request.Object = objectHash(Service, std::to_string(Object));
    Request.LatencyObjective = Objective;
    Request.Deadline = Now + Timeout;
    const DispatchDecision Decision = Host.choose(Request, Now);
    const auto *Pick = std::get_if<WorkerPick>(&Decision);
    if (!Pick)
      return;
    Host.recordSent(*Pick, Now);
    Run Next{Now, Pick->Worker.Id.value(), HostIndex, *Pick, Object, Now};
    Worker &At = Workers[Next.Worker];
    if (At.Running < Slots)
      start(std::move(Next), Now);
    else if (At.Waiting.size() < QueueLimit)
      At.Waiting.push_back(std::move(Next));
    else
      Host.recordResult(*Pick, WorkerVerdict::RefusedFull, 1ms, Now);
  }

  static int window(Instant Time) {
    return static_cast<int>((Time - Start) / Window);
  }

  Load Params;
  std::mt19937_64 Random{7};
  std::vector<std::unique_ptr<Dispatcher>> Hosts;
  std::map<std::string, Worker> Workers;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> Runs;
  std::map<int, double> Worth;
  std::map<int, double> Requests;
};

} // namespace

// Guards against callers that notice joining workers: each host may send its
// first request to each new worker, and all objects may move at once.
TEST_CASE("workers that join take over objects without a loss for callers") {
  const Load Loads[] = {
      {"large", 65, 100, 30, 188, 250},
      {"a quarter more", 40, 80, 20, 150, 150},
      {"one worker", 20, 12, 1, 40, 40, 0.9},
      {"few requests", 30, 16, 4, 24, 24, 0.85},
  };
  for (const Load &Params : Loads) {
    CAPTURE(Params.Name);
    GrowingFleet Fleet(Params);
    const Instant JoinAt = Start + 12s;
    Fleet.play(JoinAt, Start + 32s);
    const std::vector<double> Worth = Fleet.worthByWindow();
    // The last window has requests that were not answered yet.
    REQUIRE(Worth.size() >= 16);
    const double Before = (Worth[3] + Worth[4] + Worth[5]) / 3;
    CAPTURE(Before);
    CHECK(Before > 0.9);
    double Sum = 0;
    for (std::size_t I = 6; I < 15; ++I) {
      CAPTURE(I);
      CHECK(Worth[I] >= Params.MinWindowWorth * Before);
      Sum += Worth[I];
    }
    CHECK(Sum / 9 >= 0.95 * Before);
    CHECK(Fleet.untriedWorkers() == 0);
  }
}
