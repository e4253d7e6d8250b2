#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <functional>

namespace masticgap::transport {

//! Called once with the complete answer, or with the error.
using FetchHandler =
    std::function<void(boost::system::error_code, HttpResponse)>;

//! Limit for the body of an answer of the platform or of a host.
constexpr std::uint64_t DefaultMaxAnswerBytes = 64 * 1024 * 1024;

//! Sends one request over a new connection and reads the complete answer. Used
//! for control messages to the platform, peers and entry hosts.
//! \param Timeout limit for connection, request and answer together; when it
//! expires, the handler receives an error and the connection is closed.
//! \param MaxAnswerBytes limit for the body of the answer; a longer one is an
//! error.
void fetch(boost::asio::io_context &Io, const Endpoint &To, HttpRequest Request,
           std::chrono::milliseconds Timeout, FetchHandler OnDone,
           std::uint64_t MaxAnswerBytes = DefaultMaxAnswerBytes);

//! Makes a request with the Host and Content-Length headers.
HttpRequest makeRequest(boost::beast::http::verb Method, const Endpoint &To,
                        std::string_view Target, std::string Body = {});

//! Runs fetch() to completion on a separate io_context; for command line tools.
//! \throws boost::system::system_error if no complete answer arrived.
HttpResponse fetchNow(const Endpoint &To, HttpRequest Request,
                      std::chrono::milliseconds Timeout);

} // namespace masticgap::transport
