#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace masticgap::transport {

//! Request with its complete body in memory.
using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

//! Answer with its complete body in memory.
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

//! Makes a JSON answer to \p Request.
HttpResponse jsonResponse(const HttpRequest &Request,
                          boost::beast::http::status Status, std::string Body);

//! Makes an answer with the JSON body {"error":kind,"message":text}.
HttpResponse errorResponse(const HttpRequest &Request,
                           boost::beast::http::status Status,
                           std::string_view Kind, std::string_view Message);

//! Returns the percent-decoded value of the query parameter \p Name of a
//! request target; empty if absent.
std::string queryParameter(std::string_view Target, std::string_view Name);

//! Returns the path of a request target, without the query.
std::string_view targetPath(std::string_view Target);

} // namespace masticgap::transport
