#pragma once

#include "masticgap/coordination/fingerprint.hpp"

#include <boost/beast/http/message.hpp>

#include <string_view>

namespace masticgap::transport {

//! Hash that recognises a request which is sent again.
//! \param Body whole body, or the first part of a large one.
//! \param Streamed the body goes on; only its stated length is covered.
//! \param Caller address of the caller, where callers repeat their own requests
//! only; empty where it does not matter.
coordination::Fingerprint
requestFingerprint(const boost::beast::http::request_header<> &Head,
                   std::string_view Body, bool Streamed,
                   std::string_view Caller = {});

} // namespace masticgap::transport
