// Plays the load of a service without a network: real dispatchers and simulated
// workers, with and without reports of other hosts.
#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{1000s};
constexpr Duration WarmRun = 264ms;
constexpr Duration ColdRun = 880ms; //!< Object that is not in memory.
constexpr Duration Objective = 600ms;
constexpr Duration Timeout = 2s;
constexpr Duration WarmUp = 5s;
constexpr Duration Played = 15s;
constexpr Duration SlowPhase = 600ms;
constexpr double SlowShare = 0.15; //!< Of the workers, at any time.
constexpr double SlowFactor = 2.5;
constexpr double LongShare = 0.03; //!< Of the requests.
constexpr double LongFactor = 7;
constexpr std::size_t ObjectsInMemory = 12;
constexpr std::size_t ObjectsPerWorker = 8;
constexpr Duration SamplePeriod = 100ms;
const ServiceName Service("s");
const RegionName Region("r");

struct Load {
  const char *Name;
  std::size_t Hosts;
  std::size_t Workers;
  unsigned Slots;
  double Utilization; //!< Share of the slots needed if all runs are warm.
};

struct Result {
  double Refused = 0;   //!< Arrivals refused by full workers, of all arrivals.
  double InTime = 0;    //!< Requests within the objective, of all requests.
  double Rejected = 0;  //!< Requests sent to no worker, of all requests.
  double Variation = 0; //!< Coefficient of variation of busy slots.
};

class Simulation {
public:
  //! \param Age of the reports when they reach other hosts; zero: no exchange.
  Simulation(const Load &Params, Duration Age, std::uint64_t Seed)
      : Params(Params), Age(Age), Random(Seed), Workers(Params.Workers) {
    DispatcherSettings Settings;
    Settings.Region = Region;
    Settings.DomainRegions = {{FailureDomainName("d"), Region}};
    Settings.Retries = {.Ratio = 0.2, .Slack = 1000, .Window = 10s};
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Config->Services[Service] = {"/health", 600, 3s, 5};
    for (std::size_t I = 0; I < Params.Hosts; ++I) {
      Settings.Self = HostId("h" + std::to_string(I));
      Hosts.push_back(std::make_unique<Dispatcher>(Settings, Start));
      Dispatcher &Host = *Hosts.back();
      Host.setConfig(Config);
      Host.setHosts({Settings.Self},
                    {{Region, static_cast<unsigned>(Params.Hosts)}});
      Host.setLoadExchange(Age > Duration(0));
      for (std::size_t W = 0; W < Params.Workers; ++W) {
        WorkerRegistration Entry;
        Entry.Worker.Id = WorkerId("w" + std::to_string(W));
        Entry.Worker.Service = Service;
        Entry.Worker.Domain = FailureDomainName("d");
        Entry.Worker.Region = Region;
        Entry.Worker.Slots = Params.Slots;
        Entry.Worker.Run = Incarnation{1};
        Host.directory().recordRegistration(Entry, Start, 60s);
        Indices[Entry.Worker.Id] = W;
      }
    }
  }

  Result play() {
    const double MeanFactor =
        (1 + SlowShare * (SlowFactor - 1)) * (1 + LongShare * (LongFactor - 1));
    const double PerSecond =
        Params.Utilization *
        static_cast<double>(Params.Workers * Params.Slots) /
        (std::chrono::duration<double>(WarmRun).count() * MeanFactor);
    std::exponential_distribution<double> Gap(PerSecond);
    Instant NextSample = Start + WarmUp;
    Instant NextTick = Start;
    for (Instant Now = Start; Now < Start + Played;
         Now += std::chrono::duration_cast<Duration>(
             std::chrono::duration<double>(Gap(Random)))) {
      finishRuns(Now);
      deliver(Now);
      for (; NextSample <= Now; NextSample += SamplePeriod)
        sample(NextSample);
      for (; NextTick <= Now; NextTick += 500ms)
        for (const auto &Host : Hosts)
          Host->tick(Now);
      request(Now);
    }
    finishRuns(Start + Played + 2 * Timeout);
    const auto Share = [](double Part, double All) {
      return All > 0 ? Part / All : 0;
    };
    return {Share(Refused, Arrivals), Share(InTime, Requests),
            Share(Rejections, Requests), Share(Variations, Samples)};
  }

private:
  struct Run {
    Instant EndsAt;
    std::size_t Host = 0;
    WorkerPick Pick;
    std::size_t Object = 0;
    Instant SentAt;
    double Length = 1;

    bool operator>(const Run &Other) const { return EndsAt > Other.EndsAt; }
  };
  struct Worker {
    std::deque<std::size_t> Memory; //!< The last object is the latest.
    std::deque<Run> Waiting;
    unsigned Running = 0;
    Instant PhaseUntil = Start;
    bool IsSlow = false;
  };

  //! Returns the work factor now; phases alternate at random.
  double factor(Worker &At, Instant Now) {
    const double Usual = std::chrono::duration<double>(SlowPhase).count() *
                         (1 - SlowShare) / SlowShare;
    while (At.PhaseUntil <= Now) {
      At.IsSlow = At.PhaseUntil == Start ? uniform() < SlowShare : !At.IsSlow;
      At.PhaseUntil +=
          At.IsSlow
              ? SlowPhase
              : std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(
                        std::exponential_distribution<>(1 / Usual)(Random)));
    }
    return At.IsSlow ? SlowFactor : 1;
  }

  double uniform() { return std::uniform_real_distribution<>()(Random); }
  static bool isCounted(Instant SentAt) { return SentAt >= Start + WarmUp; }

  void begin(Run Next, std::size_t Index, Instant Now) {
    Worker &At = Workers[Index];
    ++At.Running;
    const auto Known = std::ranges::find(At.Memory, Next.Object);
    const Duration Time = Known == At.Memory.end() ? ColdRun : WarmRun;
    if (Known != At.Memory.end())
      At.Memory.erase(Known);
    At.Memory.push_back(Next.Object);
    if (At.Memory.size() > ObjectsInMemory)
      At.Memory.pop_front();
    Next.EndsAt = Now + std::chrono::duration_cast<Duration>(
                            Time * Next.Length * factor(At, Now));
    Runs.push(std::move(Next));
  }

  void finishRuns(Instant Now) {
    while (!Runs.empty() && Runs.top().EndsAt <= Now) {
      const Run Done = Runs.top();
      Runs.pop();
      const std::size_t Index = Indices.at(Done.Pick.Worker.Id);
      Worker &At = Workers[Index];
      --At.Running;
      const Duration Latency = Done.EndsAt - Done.SentAt;
      Dispatcher &Host = *Hosts[Done.Host];
      const QueueReport Report{At.Running,
                               static_cast<unsigned>(At.Waiting.size()),
                               Params.Slots, factor(At, Done.EndsAt), true};
      Host.recordLoad(Done.Pick.Worker.Id, Report, Done.EndsAt);
      Host.recordResult(Done.Pick,
                        Latency > Timeout ? WorkerVerdict::TimedOut
                                          : WorkerVerdict::Answered,
                        std::min(Latency, Timeout), Done.EndsAt);
      if (Age > Duration(0))
        Reports.push_back({Done.Host,
                           {loadKey(Done.Pick.Worker.Id),
                            {Report.Running + Report.Waiting, Report.WorkFactor,
                             Done.EndsAt}}});
      InTime += isCounted(Done.SentAt) && Latency <= Objective ? 1 : 0;
      if (At.Waiting.empty())
        continue;
      Run Next = std::move(At.Waiting.front());
      At.Waiting.pop_front();
      begin(std::move(Next), Index, Done.EndsAt);
    }
  }

  void deliver(Instant Now) {
    for (; !Reports.empty() &&
           Reports.front().second.Report.ReportedAt + Age <= Now;
         Reports.pop_front())
      for (std::size_t I = 0; I < Hosts.size(); ++I)
        if (I != Reports.front().first)
          Hosts[I]->recordPeerReport(Reports.front().second,
                                     Reports.front().second.Report.ReportedAt +
                                         Age);
  }

  void request(Instant Now) {
    const std::size_t HostIndex = Random() % Hosts.size();
    Dispatcher &Host = *Hosts[HostIndex];
    const std::size_t Object = Random() % (Params.Workers * ObjectsPerWorker);
    const double Length = uniform() < LongShare ? LongFactor : 1;
    Requests += isCounted(Now) ? 1 : 0;
    Host.recordArrival(Service, Now);
    DispatchRequest Request;
    Request.Service = Service;
    Request.Object = objectHash(Service, std::to_string(Object));
    Request.LatencyObjective = Objective;
    Request.Deadline = Now + Timeout;
    std::vector<WorkerId> Tried;
    // A refused request is sent to two other workers at most.
    for (int Attempt = 0; Attempt < 3; ++Attempt) {
      Request.Tried = Tried;
      const DispatchDecision Decision = Host.choose(Request, Now);
      const auto *Pick = std::get_if<WorkerPick>(&Decision);
      if (!Pick)
        break;
      Host.recordSent(*Pick, Now);
      Arrivals += isCounted(Now) ? 1 : 0;
      const std::size_t Index = Indices.at(Pick->Worker.Id);
      Worker &At = Workers[Index];
      if (At.Running < Params.Slots) {
        begin({Now, HostIndex, *Pick, Object, Now, Length}, Index, Now);
        return;
      }
      if (At.Waiting.size() < std::size_t{3} * Params.Slots) {
        At.Waiting.push_back({Now, HostIndex, *Pick, Object, Now, Length});
        return;
      }
      Refused += isCounted(Now) ? 1 : 0;
      Host.recordResult(*Pick, WorkerVerdict::RefusedFull, 1ms, Now);
      Tried.push_back(Pick->Worker.Id);
    }
    Rejections += isCounted(Now) ? 1 : 0;
  }

  //! Samples the busy slots of the workers that run at the usual speed.
  void sample(Instant Now) {
    double Sum = 0;
    double Squares = 0;
    double Count = 0;
    for (Worker &At : Workers)
      if (factor(At, Now) == 1) {
        Sum += At.Running;
        Squares += static_cast<double>(At.Running) * At.Running;
        ++Count;
      }
    if (Sum == 0)
      return;
    const double Mean = Sum / Count;
    Variations +=
        std::sqrt(std::max(0.0, Squares / Count - Mean * Mean)) / Mean;
    ++Samples;
  }

  Load Params;
  Duration Age;
  std::mt19937_64 Random;
  std::vector<Worker> Workers;
  std::vector<std::unique_ptr<Dispatcher>> Hosts;
  std::map<WorkerId, std::size_t> Indices;
  std::priority_queue<Run, std::vector<Run>, std::greater<>> Runs;
  //! Reports that are on their way, with the host that got each one.
  std::deque<std::pair<std::size_t, WorkerLoad>> Reports;
  double Requests = 0;
  double Arrivals = 0;
  double Refused = 0;
  double Rejections = 0;
  double InTime = 0;
  double Variations = 0;
  double Samples = 0;
};

Result mean(const Load &Params, Duration Age) {
  constexpr std::uint64_t Seeds[] = {7, 8};
  Result Sum;
  for (const std::uint64_t Seed : Seeds) {
    const Result One = Simulation(Params, Age, Seed).play();
    Sum.Refused += One.Refused / std::size(Seeds);
    Sum.InTime += One.InTime / std::size(Seeds);
    Sum.Rejected += One.Rejected / std::size(Seeds);
    Sum.Variation += One.Variation / std::size(Seeds);
  }
  std::printf("load exchange: %-32s age %5.2f s: refused %.3f  in time %.3f  "
              "rejected %.3f  variation %.3f\n",
              Params.Name, std::chrono::duration<double>(Age).count(),
              Sum.Refused, Sum.InTime, Sum.Rejected, Sum.Variation);
  return Sum;
}

} // namespace

// Guards against figures of other hosts that make all hosts choose the same
// workers, and against estimates from old reports that are worse than none.
// Targets were at most 0.01 refused and half of the variation; the second one
// is not reached (docs/design/even-load.md).
TEST_CASE("hosts that exchange the load of workers overload fewer of them") {
  const Load Loads[] = {
      {"27 hosts, 100 workers of 9, 0.4", 27, 100, 9, 0.4},
      {"27 hosts, 100 workers of 9, 0.75", 27, 100, 9, 0.75},
      {"143 hosts, 132 workers of 3, 0.35", 143, 132, 3, 0.35},
      {"143 hosts, 132 workers of 3, 0.5", 143, 132, 3, 0.5},
      {"143 hosts, 132 workers of 3, 0.7", 143, 132, 3, 0.7},
  };
  for (const Load &Params : Loads) {
    CAPTURE(Params.Name);
    const Result Without = mean(Params, Duration(0));
    for (const std::chrono::milliseconds Age : {250ms, 500ms, 1990ms}) {
      CAPTURE(Age.count());
      const Result With = mean(Params, Age);
      CHECK(With.InTime >= Without.InTime);
      CHECK(With.Refused <= Without.Refused);
      if (Age <= 500ms)
        CHECK(With.Refused <= 0.01);
    }
  }
}
