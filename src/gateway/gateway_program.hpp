#pragma once

#include "gateway/platform_api.hpp"
#include "gateway/settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace masticgap::gateway {

//! Makes the calls to the platform for a gateway with these settings.
using PlatformFactory = std::function<PlatformApi(boost::asio::io_context &,
                                                  const GatewaySettings &)>;

//! Runs a gateway until its planned stop (SIGTERM or SIGINT) is over. SIGHUP
//! and a change of the settings file have the settings read again.
//! \returns the exit code of the program.
int runGateway(const std::string &SettingsPath, const PlatformFactory &Make);

} // namespace masticgap::gateway
