#include "gateway/gateway_state.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <utility>

#include <malloc.h>

namespace masticgap::gateway {

using coordination::DispatcherSettings;

namespace {

DispatcherSettings dispatcherSettings(const GatewaySettings &Settings) {
  DispatcherSettings Result;
  Result.Self = Settings.Host;
  Result.Region = Settings.Region;
  Result.DomainRegions = Settings.DomainRegions;
  Result.Retries = Settings.Retries;
  Result.CrossRegionRoundTrip = Settings.CrossRegionRoundTrip;
  return Result;
}

//! Part of the memory of a host that callers may make the process hold. A
//! process without load uses about a tenth of a host with 112 MB; the rest is
//! for tables, worker connections and memory that the allocator cannot reuse.
constexpr std::size_t CallerMemoryShare = 7;
//! Memory is given back when callers have released this part of their limit.
constexpr std::size_t GiveBackShare = 16;
//! Period of log lines about callers that were closed.
constexpr std::chrono::seconds ClosedLinePeriod{1};

std::size_t callerMemory(const GatewaySettings &Settings) {
  return std::size_t{Settings.MemoryMb} * 1024 * 1024 / CallerMemoryShare;
}

std::chrono::milliseconds milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time);
}

} // namespace

GatewayState::GatewayState(boost::asio::io_context &Io,
                           const GatewaySettings &Settings,
                           const WireFormat &Wire, std::uint64_t Seed)
    : Io(Io), Settings(Settings), Wire(Wire), Log(Io, Settings.Host),
      Network(Stats, Settings.Domain, Settings.Region), Random(Seed),
      Dispatch(dispatcherSettings(Settings), transport::now()),
      // Each random generator gets a different seed.
      Splits(Seed + 2),
      Connections(
          Io, [] { return transport::now(); }, Settings.Traffic.Address),
      Crashes(Io, Connections, Dispatch, Log, Stats),
      AccountLimits(Io, Settings, Log, Stats, Seed + 3),
      Loads(Io, Settings, Dispatch, Log, Stats, Network),
      Buffers(
          std::make_shared<coordination::BufferBudget>(callerMemory(Settings))),
      CallerAccounts(transport::CallerRegistry::create(
          Buffers, coordination::maxCallerConnections(Settings.FileDescriptors),
          [] { return transport::now(); })) {
  Limits.MaxCallers = Settings.MaxCallers;
  Limits.MinBodyRate = Settings.MinBodyRate;
  Connections.setMaxConnections(
      coordination::maxCallerConnections(Settings.FileDescriptors));
  CallerAccounts->onClosed([this](auto Reason, const auto &Closed) {
    recordClosedCaller(Reason, Closed);
  });
}

void GatewayState::recordClosedCaller(
    transport::CallerRegistry::Shortage Reason,
    const transport::CallerRegistry::Victim &Closed) {
  const bool IsMemory = Reason == transport::CallerRegistry::Shortage::Memory;
  Stats.count("callers", IsMemory ? "closed_memory" : "closed_connections");
  ++ClosedCallers;
  if (now() < NextClosedLine)
    return;
  NextClosedLine = now() + ClosedLinePeriod;
  Log.write(LogClass::Decision, "callers_closed",
            {{"reason", IsMemory ? "memory" : "connections"},
             {"count", std::exchange(ClosedCallers, 0U)},
             {"bytes", static_cast<std::uint64_t>(Closed.Bytes)},
             {"idle_ms", static_cast<std::uint64_t>(
                             milliseconds(Closed.WithoutProgress).count())},
             {"held", static_cast<std::uint64_t>(Buffers->reserved())},
             {"connections",
              static_cast<std::uint64_t>(CallerAccounts->connections())}});
}

void GatewayState::giveBackMemory() {
  if (Buffers->releasedSincePeak() < Buffers->limit() / GiveBackShare)
    return;
  Buffers->forgetPeak();
  // The allocator keeps freed pages between blocks that are in use.
  ::malloc_trim(0);
}

Instant GatewayState::now() const { return transport::now(); }

void GatewayState::adopt(std::shared_ptr<const TrafficConfig> New) {
  const CallerLimits &CallerSettings = New->Limits;
  Limits.MaxHeaderBytes = CallerSettings.MaxHeaderBytes;
  Limits.MaxBodyBytes = CallerSettings.MaxBodyBytes;
  Limits.ReceiveTimeout = milliseconds(CallerSettings.HeaderTimeout);
  Limits.IdleTimeout = milliseconds(CallerSettings.IdleTimeout);
  Config = std::move(New);
  Dispatch.setConfig(Config);
  AccountLimits.adopt(*Config);
}

void GatewayState::recordUnanswered(std::string_view RequestId,
                                    std::string_view Reason,
                                    std::string_view Detail) {
  Stats.count("unanswered", Reason);
  Log.write(LogClass::Decision, "unanswered",
            {{"id", RequestId},
             {"reason", Reason},
             {"detail", Detail},
             {"version", configVersion()}});
}

} // namespace masticgap::gateway
