#include "gateway/gateway_state.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <utility>

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

//! Memory for the bodies of all requests beyond the first part of each. Hosts
//! with the least memory have 112 MB.
constexpr std::size_t BufferBudgetBytes = 6 * 1024 * 1024;

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
      Buffers(std::make_shared<coordination::BufferBudget>(BufferBudgetBytes)) {
  Limits.MaxCallers = Settings.MaxCallers;
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
