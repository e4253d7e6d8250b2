#pragma once

#include "masticgap/transport/worker_connection.hpp"

#include <memory>

namespace masticgap::transport {

//! Keeps, during its lifetime, the time-out of dead peer detection from ending
//! a connection whose peer is alive but has no room for more bytes: Linux
//! counts the time in which a peer answers probes of its full window like that
//! in which it answers nothing.
class SendGuard {
public:
  explicit SendGuard(std::shared_ptr<WorkerConnection> Connection);
  ~SendGuard();
  SendGuard(const SendGuard &) = delete;
  SendGuard &operator=(const SendGuard &) = delete;

private:
  class Impl;

  std::shared_ptr<Impl> Pimpl;
};

} // namespace masticgap::transport
