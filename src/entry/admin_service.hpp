#pragma once

#include "entry/control.hpp"
#include "masticgap/transport/http_server.hpp"

#include <functional>
#include <string>

namespace masticgap::entry {

//! Documents that the forwarding thread generates on request.
struct TrafficDocuments {
  using Handler = std::function<void(std::string)>;
  //! Requests the JSON object with regions, links and services.
  std::function<void(Handler)> State;
  //! Requests the metrics in the Prometheus text format.
  std::function<void(Handler)> Metrics;
};

//! Serves the admin port: health, status, state, metrics, events, peer
//! documents and drain.
class AdminService {
public:
  AdminService(Control &Owner, TrafficDocuments Documents);

  void handle(const transport::HttpRequest &Request,
              const transport::HttpServer::Reply &Reply);

private:
  transport::HttpResponse answer(const transport::HttpRequest &Request);
  transport::HttpResponse hosts(const transport::HttpRequest &Request) const;
  transport::HttpResponse health(const transport::HttpRequest &Request) const;
  transport::HttpResponse status(const transport::HttpRequest &Request) const;
  transport::HttpResponse events(const transport::HttpRequest &Request) const;
  transport::HttpResponse config(const transport::HttpRequest &Request) const;
  transport::HttpResponse members(const transport::HttpRequest &Request) const;
  transport::HttpResponse notify(const transport::HttpRequest &Request);
  transport::HttpResponse drain(const transport::HttpRequest &Request);
  std::string controlMetrics() const;

  Control &Owner;
  TrafficDocuments Documents;
};

} // namespace masticgap::entry
