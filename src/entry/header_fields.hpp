#pragma once

#include "entry/caller_request.hpp"
#include "masticgap/coordination/load_report.hpp"
#include "masticgap/coordination/stored_answer.hpp"
#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace masticgap::entry {

//! Removes the hop-by-hop fields, which are valid on one connection only.
void removeHopByHop(boost::beast::http::fields &Fields);

//! Returns the head of the request as it is sent to a worker or to the owner of
//! its key.
//! \param Forwarded marks the request as forwarded by this entry host.
boost::beast::http::request_header<> outgoingHead(const CallerRequest &Request,
                                                  const Endpoint &To,
                                                  bool Forwarded, Instant Now);

//! Returns the size of a head in the wire format, in bytes; the first line is
//! estimated.
std::uint64_t headBytes(const boost::beast::http::fields &Fields);

//! Parses a Worker-Load header "in_use/slots".
//! \returns std::nullopt for any other text.
std::optional<coordination::LoadReport> parseWorkerLoad(std::string_view Text);

//! Returns status and end-to-end fields of a worker's answer for storing.
coordination::StoredAnswer
storedHead(const boost::beast::http::response_header<> &Head);

//! Returns the HTTP answer to \p Method from a stored answer.
transport::HttpResponse replayAnswer(const coordination::StoredAnswer &Stored,
                                     boost::beast::http::verb Method);

} // namespace masticgap::entry
