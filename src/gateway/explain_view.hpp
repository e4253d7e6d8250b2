#pragma once

#include "gateway/gateway_state.hpp"
#include "masticgap/transport/http_types.hpp"

namespace masticgap::gateway {

//! Path of the call at the metrics port.
inline constexpr std::string_view ExplainPath = "/explain";

//! Answers GET /explain: where this host would send a request now, and why.
//! Sends nothing and changes nothing.
//! \param Request its query has host, path, method, account and object.
transport::HttpResponse answerExplain(const GatewayState &State,
                                      const transport::HttpRequest &Request);

} // namespace masticgap::gateway
