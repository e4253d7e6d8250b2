#pragma once

#include "gateway/gateway_state.hpp"
#include "masticgap/state/endpoint.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace masticgap::gateway {

//! Accepts callers and serves their requests one after the other.
class GatewayServer {
public:
  //! Binds and starts to accept.
  //! \throws boost::system::system_error if the address cannot be bound.
  GatewayServer(GatewayState &State, const Endpoint &Bind);
  ~GatewayServer();
  GatewayServer(const GatewayServer &) = delete;
  GatewayServer &operator=(const GatewayServer &) = delete;

  //! From now on each connection is closed after its next answer. New callers
  //! are still accepted.
  void closeAfterAnswers();
  //! Accepts no new caller and closes connections without a request; the
  //! others are closed after their answer.
  //! \param OnEmpty runs once, when no connection is open any more.
  void drain(std::function<void()> OnEmpty);
  //! Ends the requests that are left, each with an answer.
  void endRequests();

  std::size_t openConnections() const;

  class Impl;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::gateway
