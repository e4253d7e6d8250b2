#pragma once

#include "masticgap/state/config_document.hpp"

#include <optional>
#include <string_view>

namespace masticgap {

//! Returns the name of the kind in JSON, for example "avoid_region".
std::string_view toString(ExceptionKind Kind);

//! Parses the JSON name of a kind.
//! \returns nothing if \p Text names no kind.
std::optional<ExceptionKind> parseExceptionKind(std::string_view Text);

//! Names of all kinds, for error messages.
inline constexpr std::string_view AcceptedExceptionKinds =
    "avoid_region, avoid_domain, drain_worker, shift_cap";

} // namespace masticgap
