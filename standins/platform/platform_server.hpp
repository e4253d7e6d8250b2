#pragma once

#include "masticgap/protocol/platform_json.hpp"
#include "masticgap/state/endpoint.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace masticgap::standins {

//! Stand-in for the platform over HTTP: table service, objects and host list,
//! with the paths /_fault and /_stats for test control.
class PlatformServer {
public:
  //! \param Bind address and port; port 0 takes a free one.
  PlatformServer(boost::asio::io_context &Io, const Endpoint &Bind);
  ~PlatformServer();
  PlatformServer(const PlatformServer &) = delete;
  PlatformServer &operator=(const PlatformServer &) = delete;

  Endpoint local() const;

  //! Replaces the host list; GET /hosts returns it after the lag.
  void setHosts(protocol::HostList Hosts);
  //! Sets the time until GET /hosts returns a change.
  void setHostsLag(std::chrono::milliseconds Lag);

  class Impl;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::standins
