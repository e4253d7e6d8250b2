#pragma once

#include "ctl/ctl_session.hpp"
#include "masticgap/state/config_document.hpp"

#include <boost/leaf/result.hpp>

#include <functional>

namespace masticgap::ctl {

//! Returns the edited copy of the base document.
using EditFunction =
    std::function<boost::leaf::result<ConfigDocument>(const ConfigDocument &)>;

//! Reads the newest document, edits it, submits the change, notifies an entry
//! host and waits until the new version is in force.
//! \returns ExitCode::Raced if a concurrent change took effect first, or an
//! Error if the change is invalid or its outcome is not known.
boost::leaf::result<ExitCode> changeConfig(const CtlSession &Session,
                                           const EditFunction &Edit);

} // namespace masticgap::ctl
