#include "gateway/gateway_state.hpp"

#include "masticgap/transport/boot_clock.hpp"

#include <utility>

namespace masticgap::gateway {

using coordination::DispatcherSettings;

namespace {

DispatcherSettings dispatcherSettings(const GatewaySettings &Settings) {
  DispatcherSettings Made;
  Made.Self = Settings.Host;
  Made.Region = Settings.Region;
  Made.DomainRegions = Settings.DomainRegions;
  Made.Retries = Settings.Retries;
  Made.CrossRegionRoundTrip = Settings.CrossRegionRoundTrip;
  return Made;
}

std::chrono::milliseconds milliseconds(Duration Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Time);
}

} // namespace

GatewayState::GatewayState(boost::asio::io_context &Io,
                           const GatewaySettings &Settings,
                           const WireFormat &Wire, std::uint64_t Seed)
    : Io(Io), Settings(Settings), Wire(Wire), Log(Io, Settings.Host),
      Random(Seed), Dispatch(dispatcherSettings(Settings), transport::now()),
      Splits(Seed + 2),
      Connections(
          Io, [] { return transport::now(); }, Settings.Traffic.Address),
      Crashes(Io, Connections, Dispatch, Log, Stats) {
  Limits.MaxCallers = Settings.MaxCallers;
}

Instant GatewayState::now() const { return transport::now(); }

void GatewayState::adopt(std::shared_ptr<const TrafficConfig> New) {
  const CallerLimits &Given = New->Limits;
  Limits.MaxHeaderBytes = Given.MaxHeaderBytes;
  Limits.MaxBodyBytes = Given.MaxBodyBytes;
  Limits.ReceiveTimeout = milliseconds(Given.HeaderTimeout);
  Limits.IdleTimeout = milliseconds(Given.IdleTimeout);
  Config = std::move(New);
  Dispatch.setConfig(Config);
}

} // namespace masticgap::gateway
