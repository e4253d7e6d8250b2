#pragma once

#include "masticgap/state/config_document.hpp"

#include <boost/json/object.hpp>

namespace masticgap {

//! Returns the canonical JSON object, with its members in a fixed order.
boost::json::object toJsonObject(const ConfigDefaults &Defaults);
boost::json::object toJsonObject(const ServiceConfig &Service);
boost::json::object toJsonObject(const ConfigException &Exception);
boost::json::object toJsonObject(const ConfigDocument &Document);

} // namespace masticgap
