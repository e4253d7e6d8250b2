#pragma once

#include "masticgap/coordination/fingerprint.hpp"

#include <boost/beast/http/message.hpp>

#include <string_view>

namespace masticgap::transport {

//! Returns a hash that identifies repeats of the same request.
//! \param Body complete body, or the first part of a large one.
//! \param Streamed whether more of the body follows; the fingerprint then
//! covers \p Body and the Content-Length.
//! \param Caller address of the caller, if only requests of the same caller
//! count as repeats; else empty.
coordination::Fingerprint
requestFingerprint(const boost::beast::http::request_header<> &Head,
                   std::string_view Body, bool Streamed,
                   std::string_view Caller = {});

} // namespace masticgap::transport
