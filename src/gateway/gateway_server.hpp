#pragma once

#include "gateway/gateway_state.hpp"
#include "masticgap/state/endpoint.hpp"

#include <cstddef>
#include <functional>
#include <memory>

namespace masticgap::gateway {

//! Accepts connections of callers and serves the requests of each in sequence.
class GatewayServer {
public:
  //! Binds the address and starts to accept connections.
  //! \throws boost::system::system_error if the address cannot be bound.
  GatewayServer(GatewayState &State, const Endpoint &Bind);
  ~GatewayServer();
  GatewayServer(const GatewayServer &) = delete;
  GatewayServer &operator=(const GatewayServer &) = delete;

  //! From now on, closes each connection after one more answer. New
  //! connections are still accepted.
  void closeAfterAnswers();
  //! Stops accepting and closes idle connections; the others are closed after
  //! their answer.
  //! \param OnEmpty runs once, when no connection is left open.
  void drain(std::function<void()> OnEmpty);
  //! Ends the remaining requests, each with an error answer.
  void endRequests();

  std::size_t openConnections() const;

  class Impl;

private:
  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::gateway
