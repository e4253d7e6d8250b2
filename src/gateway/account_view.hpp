#pragma once

#include "gateway/gateway_state.hpp"
#include "masticgap/transport/http_types.hpp"

#include <string_view>

namespace masticgap::gateway {

//! Path of the call at the metrics port.
inline constexpr std::string_view AccountsPath = "/accounts";

//! Answers GET /accounts: the accounts of the configuration as this host sees
//! them. Contains no keys and changes nothing.
//! \param Request its query may have the name of one account.
transport::HttpResponse answerAccounts(const GatewayState &State,
                                       const transport::HttpRequest &Request);

} // namespace masticgap::gateway
