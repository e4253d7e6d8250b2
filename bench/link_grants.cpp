// Store calls and CPU time of link grants when all hosts request rates for all
// region pairs.

#include "masticgap/coordination/link_grants.hpp"
#include "masticgap/coordination/link_limits.hpp"
#include "tests/coordination/link_fakes.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <memory>

using namespace masticgap;
using namespace masticgap::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t RegionCount = 4;
constexpr std::uint32_t CapMbit = 4000;
constexpr Duration Step = milliseconds(10);
constexpr Duration DemandInterval = milliseconds(500);
//! Long enough for every host to obtain and renew its grants several times.
constexpr Duration WarmUp = seconds(30);
constexpr Duration MeasuredTime = seconds(60);
//! Long enough for all grants to expire. The peak rates include the start and
//! the recovery from this outage.
constexpr Duration Outage = seconds(20);

RegionName region(std::size_t I) {
  return RegionName("region-" + std::to_string(I % RegionCount));
}

//! Hosts whose demand exceeds the cap of each pair of their region.
class Fleet {
public:
  explicit Fleet(std::size_t Count) : Table(1), Hosts(Count) {
    ConfigDocument Config;
    Config.Version = 1;
    Config.Defaults.MaxEntryHosts = static_cast<std::uint32_t>(Count);
    for (std::size_t From = 0; From < RegionCount; ++From)
      for (std::size_t To = 0; To < RegionCount; ++To)
        if (From != To)
          Config.Defaults.LinkCaps.push_back(
              {region(From), region(To), CapMbit});
    Cap = bytesPerSecond(Config.Defaults.LinkCaps.front());
    for (std::size_t I = 0; I < Count; ++I) {
      Host &H = Hosts[I];
      H.Grants = std::make_unique<LinkGrants>(
          HostId("host-" + std::to_string(I)), Incarnation{1}, I);
      for (const LinkCap &C : Config.Defaults.LinkCaps)
        if (C.From == region(I) || C.To == region(I))
          H.Pairs.push_back({C.From, C.To});
      handle(I, LinkConfigApplied{Config});
    }
  }

  void run(Duration For) {
    for (const Instant End = Now + For; Now < End; Now += Step) {
      for (const auto &Delivery : Table.run(Now))
        std::visit([&](const auto &A) { handle(Delivery.Caller, A); },
                   Delivery.Answer);
      const bool Demand =
          Now.time_since_epoch() % DemandInterval == Duration(0);
      for (std::size_t I = 0; I < Hosts.size(); ++I) {
        if (Demand)
          for (const RegionPair &Pair : Hosts[I].Pairs)
            handle(I, LinkDemand{Pair, Cap, true});
        if (const auto Next = Hosts[I].Grants->nextTick(); Next && *Next <= Now)
          handle(I, LinkTick{});
      }
    }
  }

  //! Returns the share of the leasable rate of all pairs that hosts currently
  //! hold.
  double grantedShare() const {
    double Sum = 0;
    for (const Host &H : Hosts)
      for (const auto &[Pair, Grant] : H.ActiveGrants)
        Sum += Now < Grant.ExpiresAt ? Grant.BytesPerSecond : 0;
    return Sum / (Cap * LinkLeasedShare * RegionCount * (RegionCount - 1));
  }

  tests::FakeTable Table;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;

private:
  struct Host {
    std::unique_ptr<LinkGrants> Grants;
    std::vector<RegionPair> Pairs;
    std::map<RegionPair, LinkGrant> ActiveGrants;
  };

  void handle(std::size_t Index, const LinkGrantEvent &Event) {
    for (const auto &Action : Hosts[Index].Grants->handle(Event, Now)) {
      if (const auto *Grant = std::get_if<LinkGrant>(&Action)) {
        Hosts[Index].ActiveGrants[Grant->Pair] = *Grant;
      } else if (const auto *Read = std::get_if<StoreRead>(&Action)) {
        ++Reads;
        Table.call(Index, *Read, Now);
      } else if (const auto *Transact = std::get_if<StoreTransact>(&Action)) {
        ++Writes;
        Table.call(Index, *Transact, Now);
      }
    }
  }

  double Cap = 0;
  Instant Now{seconds(100)};
  std::vector<Host> Hosts;
};

void storeCalls(benchmark::State &State) {
  const double PerSecond =
      1 / std::chrono::duration<double>(MeasuredTime).count();
  for ([[maybe_unused]] auto _ : State) {
    Fleet Hosts(static_cast<std::size_t>(State.range(0)));
    Hosts.run(WarmUp);
    const auto Reads = Hosts.Reads;
    const auto Writes = Hosts.Writes;
    Hosts.run(MeasuredTime);
    State.counters["reads/s"] =
        static_cast<double>(Hosts.Reads - Reads) * PerSecond;
    State.counters["writes/s"] =
        static_cast<double>(Hosts.Writes - Writes) * PerSecond;
    State.counters["granted"] = Hosts.grantedShare();
    Hosts.Table.Down = true;
    Hosts.run(Outage);
    Hosts.Table.Down = false;
    Hosts.run(WarmUp);
    State.counters["peak reads/s"] = Hosts.Table.peakReads();
    State.counters["peak writes/s"] = Hosts.Table.peakWrites();
  }
}

} // namespace

BENCHMARK(storeCalls)
    ->Arg(20)
    ->Arg(80)
    ->Arg(160)
    ->Arg(320)
    ->Arg(640)
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
