#include "coordination/fault_host.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::coordination::tests;

namespace {

//! Shares of the kinds of requests. The remaining requests have bound keys.
struct Mix {
  double Repeatable = 0.3;
  double Bare = 0.3;
};

//! Number of requests by the final outcome that their callers received.
struct Shares {
  std::uint64_t Answered = 0;
  std::uint64_t NotRun = 0;
  std::uint64_t Unknown = 0;

  double answered() const {
    return static_cast<double>(Answered) /
           static_cast<double>(std::max<std::uint64_t>(1, total()));
  }
  std::uint64_t total() const { return Answered + NotRun + Unknown; }
};

//! Callers that send requests and resend them with the same key.
class Callers {
public:
  Callers(FaultWorld &W, FaultFleet &F, Mix M) : World(W), Fleet(F), Kinds(M) {
    arrive();
    disturb();
    if (World.Rates.Crashers)
      crash();
  }

  //! Stops new requests and faults. Those in progress are completed.
  void stop() { Stopped = true; }

  Shares shares() const {
    Shares Sum;
    for (const auto &O : Operations) {
      ++(O->Answered                  ? Sum.Answered
         : O->Last == Outcome::NotRun ? Sum.NotRun
                                      : Sum.Unknown);
    }
    return Sum;
  }

private:
  static constexpr unsigned MaxSends = 5;

  struct Operation {
    Request Req;
    unsigned Sends = 0;
    bool Answered = false;
    bool Ended = false;
    Outcome Last = Outcome::Unknown;
    std::function<void()> Then = [] {};
  };
  using OperationPtr = std::shared_ptr<Operation>;

  void arrive() {
    if (Stopped)
      return;
    start();
    const Duration Gap = World.between(5ms, 35ms);
    World.after(Fleet.quiet() ? Gap * 500 : Gap, [this] { arrive(); });
  }

  void disturb() {
    if (Stopped)
      return;
    Fleet.disturb();
    World.after(World.between(500ms, 1500ms) * (Fleet.quiet() ? 30 : 1),
                [this] { disturb(); });
  }

  Request newRequest(bool Repeatable, bool Bare) {
    Request R;
    R.Id = ++LastRequest;
    R.Print = Fingerprint{R.Id};
    if (!Repeatable)
      R.Key = (Bare ? "bare-" : prefix()) + std::to_string(R.Id);
    return R;
  }

  std::string prefix() {
    const std::string Fresh = Fleet.host(Fleet.anyServing()).keyPrefix();
    if (OldPrefixes.empty() || World.chance(0.02))
      OldPrefixes.push_back(Fresh);
    if (World.Rates.CallerFaults && World.chance(0.02))
      return OldPrefixes[World.below(OldPrefixes.size())];
    return Fresh;
  }

  void start() {
    const auto O = std::make_shared<Operation>();
    const double Kind = std::uniform_real_distribution<>(0, 1)(World.Random);
    O->Req = newRequest(Kind < Kinds.Repeatable,
                        Kind < Kinds.Repeatable + Kinds.Bare);
    Operations.push_back(O);
    send(O, Fleet.anyServing());
    if (World.chance(0.1))
      send(O, Fleet.anyServing());
    if (O->Req.Key.empty() || !World.chance(World.Rates.OtherRequests))
      return;
    // Send another request with the same key.
    const auto OtherOperation = std::make_shared<Operation>(*O);
    OtherOperation->Req.Print.Value += 1000000000;
    send(OtherOperation, Fleet.anyServing());
  }

  // Uses a new key for each send, because the same key would run at most once.
  void crash() {
    if (Stopped)
      return;
    const std::uint64_t Print = 2000000000 + ++LastRequest;
    crashAgain(Print, World.chance(0.5), 6);
    World.after(World.between(1s, 4s), [this] { crash(); });
  }

  void crashAgain(std::uint64_t Print, bool Repeatable, unsigned Sends) {
    const auto O = std::make_shared<Operation>();
    O->Req = newRequest(Repeatable, true);
    O->Req.Print = Fingerprint{Print};
    O->Req.Crashes = true;
    O->Sends = MaxSends;
    O->Then = [this, Print, Repeatable, Sends] {
      if (Sends > 1)
        crashAgain(Print, Repeatable, Sends - 1);
    };
    send(O, Fleet.anyServing());
  }

  void send(const OperationPtr &O, std::size_t Index) {
    ++O->Sends;
    const auto Host = Fleet.pointer(Index);
    const auto Settled = std::make_shared<bool>(false);
    const auto To = [this, O, Settled](const Reply &Told) {
      if (!std::exchange(*Settled, true))
        replied(O, Told.ReportedOutcome);
    };
    const bool Disconnects =
        World.Rates.CallerFaults && !O->Req.Crashes && World.chance(0.05);
    const Duration DisconnectDelay = World.between(0ms, 300ms);
    Host->at(World.latency(),
             [this, O, Host, To, Disconnects, DisconnectDelay, Settled] {
               if (!Host->serving())
                 return;
               const std::uint64_t Token =
                   Host->receive(O->Req, RequestOrigin::Caller, To);
               if (Disconnects)
                 Host->at(DisconnectDelay, [this, O, Host, Token, Settled] {
                   Host->callerGone(Token);
                   if (!std::exchange(*Settled, true))
                     replied(O, Outcome::Unknown);
                 });
             });
    World.after(3s, [this, O, Settled] {
      if (std::exchange(*Settled, true))
        return;
      if (O->Req.Crashes)
        World.recordOverlap(O->Req.Print);
      replied(O, Outcome::Unknown);
    });
  }

  void replied(const OperationPtr &O, Outcome Told) {
    O->Last = Told;
    O->Answered = O->Answered || Told == Outcome::Answered;
    const bool Resends = O->Answered ? World.chance(0.05) : true;
    if (!Resends || O->Sends >= MaxSends) {
      if (!std::exchange(O->Ended, true))
        O->Then();
      return;
    }
    Duration Wait = World.between(0ms, 2s);
    if (World.chance(0.02))
      Wait = World.between(1min, 12min);
    World.after(Wait, [this, O] { send(O, Fleet.anyServing()); });
    if (World.chance(0.1))
      World.after(Wait, [this, O] { send(O, Fleet.anyServing()); });
  }

  FaultWorld &World;
  FaultFleet &Fleet;
  Mix Kinds;
  std::vector<OperationPtr> Operations;
  std::vector<std::string> OldPrefixes;
  std::uint64_t LastRequest = 0;
  bool Stopped = false;
};

struct Case {
  const char *Name;
  Faults Rates;
  Mix Kinds;
  std::uint64_t Seeds;
  double MinAnsweredShare; //!< Ensures that requests are served.
};

constexpr unsigned StepsPerSeed = 12000;
//! Environment variable with the only seed to run.
constexpr const char *SeedVariable = "MASTICGAP_FAULT_SEED";
//! Environment variable with the number of seeds, for longer searches.
constexpr const char *SeedCountVariable = "MASTICGAP_FAULT_SEEDS";

//! Runs one seed and checks for violations after each step.
//! \returns the first violation, or an empty string.
std::string run(const Case &C, std::uint64_t Seed, Shares &Sum) {
  FaultWorld World(Seed, C.Rates);
  FaultFleet Fleet(World);
  Callers Load(World, Fleet, C.Kinds);
  for (unsigned Step = 0; World.step(); ++Step) {
    if (Step == StepsPerSeed)
      Load.stop();
    if (!World.Violations.empty())
      return World.Violations.front() + " in step " + std::to_string(Step);
  }
  const Shares SeedShares = Load.shares();
  Sum.Answered += SeedShares.Answered;
  Sum.NotRun += SeedShares.NotRun;
  Sum.Unknown += SeedShares.Unknown;
  return {};
}

std::optional<std::uint64_t> setting(const char *Variable) {
  const char *Text = std::getenv(Variable);
  if (!Text)
    return std::nullopt;
  return std::strtoull(Text, nullptr, 10);
}

void check(const Case &C) {
  const auto FixedSeed = setting(SeedVariable);
  const std::uint64_t First = FixedSeed.value_or(1);
  const std::uint64_t Last =
      FixedSeed.value_or(setting(SeedCountVariable).value_or(C.Seeds));
  Shares Sum;
  for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
    const std::string Violation = run(C, Seed, Sum);
    if (Violation.empty())
      continue;
    const std::string Command =
        std::string(SeedVariable) + "=" + std::to_string(Seed) +
        " build/tests/coordination-tests -tc='*keys run at most once*'";
    FAIL_CHECK(std::string(C.Name), ": ", Violation, "; repeat with ", Command);
    return;
  }
  std::printf("%-28s answered %6.2f %%  not run %5.2f %%  unknown %5.2f %%  of "
              "%llu requests\n",
              C.Name, 100 * Sum.answered(),
              100.0 * static_cast<double>(Sum.NotRun) /
                  static_cast<double>(Sum.total()),
              100.0 * static_cast<double>(Sum.Unknown) /
                  static_cast<double>(Sum.total()),
              static_cast<unsigned long long>(Sum.total()));
  CHECK(Sum.total() > 0);
  CHECK(Sum.answered() >= C.MinAnsweredShare);
}

} // namespace

// Guards against a key that runs twice, a request that runs although its caller
// received "not run", an answer of another request, and a crashing request that
// kills a third worker, with faults in random order.
TEST_CASE("keys run at most once and crashing requests kill two workers") {
  const Faults Store{.StoreLost = 0.2, .StoreSlow = 0.1, .StoreOutages = 0.2};
  const Faults WorkerFaults{.WorkerRefuses = 0.1,
                            .WorkerCrashes = 0.01,
                            .WorkerLate = 0.02,
                            .WorkerTruncates = 0.01};
  const Faults Hosts{.Kills = 0.15, .Pauses = 0.3};
  const Faults All{.StoreLost = 0.1,
                   .StoreSlow = 0.05,
                   .StoreOutages = 0.1,
                   .WorkerRefuses = 0.1,
                   .WorkerCrashes = 0.01,
                   .WorkerLate = 0.02,
                   .WorkerTruncates = 0.01,
                   .Kills = 0.15,
                   .Pauses = 0.3,
                   .CallerFaults = true,
                   .OtherRequests = 0.02,
                   .Crashers = true};
  const Faults Contended{.StoreLost = 0.2,
                         .StoreSlow = 0.2,
                         .WorkerRefuses = 0.5,
                         .CallerFaults = true,
                         .OtherRequests = 0.5};
  const Case Cases[] = {
      {"no faults", {}, {}, 10, 1.0},
      {"store down, 2 % bare keys",
       {.StoreDown = true},
       {0.49, 0.02},
       10,
       0.95},
      {"store lossy, slow, outages", Store, {}, 10, 0.8},
      {"workers fail", WorkerFaults, {}, 10, 0.8},
      {"entry hosts fail", Hosts, {}, 10, 0.5},
      {"callers misbehave",
       {.CallerFaults = true, .OtherRequests = 0.05},
       {},
       10,
       0.8},
      {"contended bare keys", Contended, {0, 1}, 10, 0.1},
      {"crashing requests", {.Crashers = true}, {}, 10, 0.8},
      {"everything", All, {}, 100, 0.5},
  };
  for (const Case &C : Cases)
    check(C);
}
