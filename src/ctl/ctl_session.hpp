#pragma once

#include "ctl/ctl_options.hpp"
#include "ctl/fleet_access.hpp"
#include "ctl/store_access.hpp"

#include <boost/leaf/result.hpp>

namespace masticgap::ctl {

//! Exit status of a command.
enum class ExitCode : int {
  Done = 0,
  Failed = 1, //!< Failed, outcome unknown, or not in force everywhere in time.
  Usage = 2,  //!< Invalid option, command name or argument.
  Raced = 3   //!< A concurrent change took effect first.
};

//! Options of one command, and access to the store and the entry hosts.
struct CtlSession {
  const CtlOptions &Options;
  CtlEnvironment &Environment;

  //! Returns access to the store, or an Error if --platform is missing.
  boost::leaf::result<StoreAccess> store() const;
  //! Returns access to the entry hosts of --entry or, without it, of the
  //! platform's host list.
  boost::leaf::result<FleetAccess> fleet() const;
};

} // namespace masticgap::ctl
