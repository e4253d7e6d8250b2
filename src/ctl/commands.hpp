#pragma once

#include "ctl/ctl_session.hpp"

#include <boost/leaf/result.hpp>

#include <span>
#include <string>
#include <string_view>

namespace masticgap::ctl {

//! Arguments after the command name.
using ArgumentList = std::span<const std::string>;

//! Command of masticgap-ctl.
struct Command {
  std::string_view Name;
  std::string_view Syntax; //!< Syntax for the usage text.
  std::string_view Summary;
  std::size_t MinArguments;
  std::size_t MaxArguments;
  boost::leaf::result<ExitCode> (*Run)(const CtlSession &, ArgumentList);
};

//! Returns the commands for configuration documents and versions.
std::span<const Command> configCommands();

//! Returns the commands for entry hosts and workers.
std::span<const Command> fleetCommands();

//! Returns the commands that show what one gateway decides.
std::span<const Command> gatewayCommands();

} // namespace masticgap::ctl
