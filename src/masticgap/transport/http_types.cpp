#include "masticgap/transport/http_types.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace masticgap::transport {

namespace http = boost::beast::http;

HttpResponse jsonResponse(const HttpRequest &Request, http::status Status,
                          std::string Body) {
  HttpResponse Response(Status, Request.version());
  Response.keep_alive(Request.keep_alive());
  Response.set(http::field::content_type, "application/json");
  Response.body() = std::move(Body);
  Response.prepare_payload();
  return Response;
}

HttpResponse errorResponse(const HttpRequest &Request, http::status Status,
                           std::string_view Kind, std::string_view Message) {
  boost::json::object Body;
  Body["error"] = boost::json::string_view(Kind.data(), Kind.size());
  Body["message"] = boost::json::string_view(Message.data(), Message.size());
  return jsonResponse(Request, Status, boost::json::serialize(Body));
}

std::string queryParameter(std::string_view Target, std::string_view Name) {
  const auto Url =
      boost::urls::parse_origin_form({Target.data(), Target.size()});
  if (!Url)
    return {};
  const auto Parameters = Url->params();
  const auto Parameter = Parameters.find({Name.data(), Name.size()});
  if (Parameter == Parameters.end())
    return {};
  return (*Parameter).value;
}

std::string_view targetPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace masticgap::transport
