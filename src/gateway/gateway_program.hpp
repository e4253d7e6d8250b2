#pragma once

#include "gateway/platform_api.hpp"
#include "gateway/settings.hpp"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace masticgap::gateway {

//! Creates the platform interface of a gateway with these settings.
using PlatformFactory = std::function<PlatformApi(boost::asio::io_context &,
                                                  const GatewaySettings &)>;

//! Runs a gateway until its planned stop (SIGTERM or SIGINT) is complete.
//! SIGHUP or a change of the settings file reloads the settings.
//!
//! \returns the exit code of the program.
int runGateway(const std::string &SettingsPath,
               const PlatformFactory &MakePlatform);

} // namespace masticgap::gateway
