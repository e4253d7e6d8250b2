#pragma once

#include "masticgap/state/config_document.hpp"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace masticgap::ctl {

// Each function returns a validated copy of the base document. Its metadata
// (version, operator, ...) is preliminary until prepareChange() sets it.

//! Sets one key of "defaults".
//! \param Key plain key, spill_order.REGION (value: list of regions) or
//! link_caps.FROM>TO (value: Mbit/s).
//! \param Text new value; null resets the key to its default.
boost::leaf::result<ConfigDocument> setDefault(const ConfigDocument &Base,
                                               std::string_view Key,
                                               std::string_view Text);

//! Appends an exception.
boost::leaf::result<ConfigDocument> addException(const ConfigDocument &Base,
                                                 const ConfigException &Added);

//! Removes the exception with the id.
//! \returns an Error that lists the existing ids if there is no such exception.
boost::leaf::result<ConfigDocument> removeException(const ConfigDocument &Base,
                                                    std::string_view Id);

//! Parses an operator's configuration file. Metadata of the change may be
//! absent from the file and is replaced.
boost::leaf::result<ConfigDocument> readConfigFile(const ConfigDocument &Base,
                                                   std::string_view Json);

} // namespace masticgap::ctl
