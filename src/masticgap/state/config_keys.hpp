#pragma once

#include <string_view>
#include <vector>

namespace masticgap {

//! Returns all keys that the configuration parser accepts, as dotted paths in
//! which "*" stands for a name and "[]" for a list element.
std::vector<std::string_view> configKeys();

} // namespace masticgap
