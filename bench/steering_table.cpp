// Time of look-ups, rebuilds and incremental updates of the steering table, and
// its size in bytes.

#include "masticgap/coordination/steering_table_builder.hpp"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <random>
#include <stdexcept>

using namespace masticgap;
using namespace masticgap::coordination;

namespace {

constexpr std::size_t HostCount = 640;
constexpr std::size_t RegionCount = 4;
constexpr std::size_t ChangedBlocks = 10;

RegionName region(std::size_t I) {
  return RegionName("region-" + std::to_string(I % RegionCount));
}

std::string siteName(std::size_t I) { return "site-" + std::to_string(I); }

std::vector<SteeringHost> hosts(std::size_t Count) {
  std::vector<SteeringHost> Hosts(Count);
  for (std::size_t I = 0; I < Count; ++I) {
    Hosts[I].Host.Id = HostId("host-" + std::to_string(I));
    Hosts[I].Host.Region = region(I);
  }
  return Hosts;
}

//! Returns random blocks: three of four are IPv4 of /16 to /24, the others IPv6
//! of /32 to /56.
std::vector<ClientBlock> blocks(std::size_t Count, std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<ClientBlock> Blocks;
  while (Blocks.size() < Count) {
    ClientBlock B;
    B.Prefix.V6 = Blocks.size() % 4 == 3;
    const unsigned MinLength = B.Prefix.V6 ? 32 : 16;
    const unsigned Span = B.Prefix.V6 ? 25 : 9;
    // Half of all blocks have the longest length.
    B.Length = static_cast<std::uint8_t>(
        MinLength + (Random() % 2 == 0 ? Span - 1 : Random() % Span));
    for (unsigned Bit = 0; Bit < B.Length; ++Bit)
      if (Random() % 2 == 0)
        B.Prefix.Bytes[Bit / 8] |=
            static_cast<std::uint8_t>(0x80U >> (Bit % 8));
    if (B.Prefix.V6) // All IPv6 blocks lie in 2000::/12.
      B.Prefix.Bytes[0] = 0x20, B.Prefix.Bytes[1] &= 0x0f;
    Blocks.push_back(B);
  }
  return Blocks;
}

SteeringTable build(const SteeringTableBuilder &Builder) {
  auto Table = Builder.build();
  if (!Table)
    throw std::logic_error("benchmark table was not built");
  return Table.value();
}

SteeringTable makeTable(const std::vector<ClientBlock> &Blocks,
                        std::size_t Sites) {
  SteeringTableBuilder Builder;
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Sites; ++I) {
    Names.push_back(siteName(I));
    Builder.site({Names.back(), region(I)});
  }
  for (std::size_t I = 0; I < Blocks.size(); ++I)
    Builder.block(Blocks[I], Names[I % Sites]);
  return build(Builder.hosts(hosts(HostCount)));
}

std::size_t blockCount(const benchmark::State &State) {
  return static_cast<std::size_t>(State.range(0));
}
std::size_t siteCount(const benchmark::State &State) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(State.range(1)));
}

void lookup(benchmark::State &State) {
  const auto Blocks = blocks(blockCount(State), 1);
  const SteeringTable Table = makeTable(Blocks, siteCount(State));
  std::mt19937_64 Random(2);
  std::vector<ClientAddress> Callers;
  for (std::size_t I = 0; I < 65536; ++I) {
    ClientAddress A = Blocks[Random() % Blocks.size()].Prefix;
    A.Bytes[A.V6 ? 15 : 3] |= static_cast<std::uint8_t>(Random() % 256);
    Callers.push_back(A);
  }
  const RegionName Default = region(0);
  std::size_t I = 0;
  for ([[maybe_unused]] auto _ : State)
    benchmark::DoNotOptimize(
        Table.targets(Callers[I++ % Callers.size()], Default));
  State.counters["bytes"] = static_cast<double>(Table.memoryBytes());
}

void rebuild(benchmark::State &State) {
  const auto Blocks = blocks(blockCount(State), 1);
  for ([[maybe_unused]] auto _ : State) {
    SteeringTable Table = makeTable(Blocks, siteCount(State));
    benchmark::DoNotOptimize(Table);
    // Not timed: the old table is freed after the new one is in use.
    State.PauseTiming();
    Table = SteeringTable();
    State.ResumeTiming();
  }
}

void blockDifference(benchmark::State &State) {
  const SteeringTable Table =
      makeTable(blocks(blockCount(State), 1), siteCount(State));
  const auto Changed = blocks(ChangedBlocks, 3);
  for ([[maybe_unused]] auto _ : State) {
    SteeringTableBuilder Builder(Table);
    for (const ClientBlock &B : Changed)
      Builder.block(B, siteName(0));
    benchmark::DoNotOptimize(build(Builder));
  }
}

void hostDifference(benchmark::State &State) {
  const SteeringTable Table =
      makeTable(blocks(blockCount(State), 1), siteCount(State));
  for ([[maybe_unused]] auto _ : State)
    benchmark::DoNotOptimize(
        build(SteeringTableBuilder(Table).hosts(hosts(HostCount - 1))));
}

void sizes(benchmark::internal::Benchmark *B) {
  for (const int Blocks : {1000, 10000, 50000, 120000})
    for (const int Sites : {10, 50, 200})
      B->Args({Blocks, Sites});
}

} // namespace

BENCHMARK(lookup)->Apply(sizes);
BENCHMARK(rebuild)->Apply(sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(blockDifference)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(hostDifference)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK_MAIN();
