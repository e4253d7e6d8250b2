#pragma once

#include "ctl/commands.hpp"

#include <string>

namespace masticgap::ctl {

//! Returns the usage text of all commands for --help.
std::string usage();

//! Runs one command and prints its result or error.
//! \param CommandLine command name and its arguments.
ExitCode runCommand(const CtlOptions &Options, CtlEnvironment &Environment,
                    ArgumentList CommandLine);

} // namespace masticgap::ctl
