#pragma once

#include "masticgap/coordination/fingerprint.hpp"

#include <boost/beast/http/message.hpp>

#include <string_view>

namespace masticgap::transport {

//! Returns a hash that identifies repeats of the same request.
//! \param Body complete body, or the first part of a large one.
//! \param Streamed whether more of the body follows; the fingerprint then
//! covers \p Body and the Content-Length.
//! \param Scope what else a repeat has in common with the request, such as the
//! caller or the host name that selects the route; empty: nothing. The Host
//! field is not covered, as it may name the entry host that was asked.
coordination::Fingerprint
requestFingerprint(const boost::beast::http::request_header<> &Head,
                   std::string_view Body, bool Streamed,
                   std::string_view Scope = {});

} // namespace masticgap::transport
