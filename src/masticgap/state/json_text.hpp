#pragma once

#include <boost/json/value.hpp>

#include <string>

namespace masticgap {

//! Returns the JSON text of a value. A floating-point number has its short
//! form, for example 0.05 instead of 5E-2; numbers inside lists and objects do
//! not.
std::string shortText(const boost::json::value &Value);

} // namespace masticgap
