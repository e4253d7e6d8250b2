#pragma once

#include "entry/lookup_service.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace masticgap::entry {

//! HTTP server of the look-up port together with its service.
class LookupPort {
public:
  //! \throws boost::system::system_error if the address cannot be bound.
  LookupPort(boost::asio::io_context &Io, const Endpoint &Bind,
             std::function<std::string(Instant)> LocalKeyPrefix,
             std::uint64_t Seed, std::function<Instant()> Clock)
      : Service(std::move(LocalKeyPrefix), Seed), Clock(std::move(Clock)),
        Server(Io, Bind, {},
               [this](const transport::HttpRequest &Request,
                      const transport::HttpServer::Reply &Reply) {
                 Reply(Service.handle(Request, this->Clock()));
               }) {}

  void publish(SnapshotPtr Snapshot) { Service.publish(std::move(Snapshot)); }
  void drain() { Server.drain(); }
  Endpoint local() const { return Server.local(); }

private:
  LookupService Service;
  std::function<Instant()> Clock;
  transport::HttpServer Server;
};

} // namespace masticgap::entry
