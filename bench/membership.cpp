// Cost of membership per host over an in-memory network: messages, bytes and
// CPU time per second of simulated time, and size of the state. CPU time
// includes the codec and the simulated network, so it is an upper bound.

#include "masticgap/protocol/gossip_codec.hpp"
#include "tests/coordination/gossip_world.hpp"

#include <benchmark/benchmark.h>
#include <boost/leaf/handle_errors.hpp>

#include <chrono>
#include <cstdlib>

using namespace masticgap;
using namespace masticgap::coordination;
using masticgap::tests::GossipWorld;
using namespace std::chrono_literals;

namespace {

constexpr unsigned Domains = 15;
constexpr auto ConvergenceTime = 120s;
//! 3,500 configuration changes a day are one every 25 s.
constexpr auto ChangeInterval = 25s;
constexpr auto QuietTime = 10s;

void encodeAndDecode(const GossipMessage &Message) {
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(Datagram, protocol::encodeGossip(Message));
        BOOST_LEAF_AUTO(Decoded, protocol::decodeGossip(Datagram));
        benchmark::DoNotOptimize(Decoded);
        return {};
      },
      [] { std::abort(); });
}

GossipWorld convergedWorld(std::size_t Count) {
  GossipWorld World(Count, 1, Domains);
  World.Net.MinLatency = 1ms;
  World.Net.MaxLatency = 20ms;
  World.startAll();
  World.run(ConvergenceTime);
  if (!World.allViewsExact())
    std::abort();
  World.Messages = 0;
  World.Bytes = 0;
  World.OnSend = encodeAndDecode;
  return World;
}

//! Sets the counters, per host and second of simulated time.
void report(benchmark::State &State, const GossipWorld &World,
            Duration Simulated) {
  const auto Hosts = static_cast<double>(World.Nodes.size());
  const double Seconds = std::chrono::duration<double>(Simulated).count();
  const auto Rounds = static_cast<double>(State.iterations());
  const double HostSeconds = Hosts * Seconds * Rounds;
  double StateBytes = 0;
  for (const auto &N : World.Nodes)
    StateBytes += static_cast<double>(N.Member->stateBytes());
  State.counters["sent_per_s"] =
      static_cast<double>(World.Messages) / HostSeconds;
  State.counters["bytes_per_s"] =
      static_cast<double>(World.Bytes) / HostSeconds;
  State.counters["cpu_share"] = benchmark::Counter(
      HostSeconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
  State.counters["state_bytes"] = StateBytes / Hosts;
}

void quiet(benchmark::State &State) {
  GossipWorld World = convergedWorld(static_cast<std::size_t>(State.range(0)));
  while (State.KeepRunning())
    World.run(QuietTime);
  report(State, World, QuietTime);
}

bool allViewsHaveVersion(const GossipWorld &World, std::uint64_t Version) {
  for (const auto &N : World.Nodes)
    for (const MemberRecord &M : N.Member->members())
      if (M.ConfigVersion != Version)
        return false;
  return true;
}

//! Measures changes in which each host applies a new configuration version and
//! all hosts learn of it.
void configurationChange(benchmark::State &State) {
  GossipWorld World = convergedWorld(static_cast<std::size_t>(State.range(0)));
  std::uint64_t Version = 0;
  double AgreementSeconds = 0;
  while (State.KeepRunning()) {
    const Instant Start = World.Now;
    World.spread(0, ConfigVersionSeen{++Version});
    World.run(300ms);
    for (auto &N : World.Nodes)
      N.Member->setProgress(Version, 0);
    if (World.runUntil(ChangeInterval - 300ms,
                       [&] { return allViewsHaveVersion(World, Version); }))
      AgreementSeconds +=
          std::chrono::duration<double>(World.Now - Start).count();
    else
      AgreementSeconds += std::chrono::duration<double>(ChangeInterval).count();
    World.run(Start + ChangeInterval - World.Now);
  }
  State.counters["views_agree_s"] =
      AgreementSeconds / static_cast<double>(State.iterations());
  report(State, World, ChangeInterval);
}

} // namespace

BENCHMARK(quiet)
    ->Arg(20)
    ->Arg(80)
    ->Arg(160)
    ->Arg(320)
    ->Arg(640)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK(configurationChange)
    ->Arg(20)
    ->Arg(80)
    ->Arg(160)
    ->Arg(320)
    ->Arg(640)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
