#pragma once

#include "common/scripted_worker.hpp"
#include "masticgap/state/endpoint.hpp"
#include "standins/store/store_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string>
#include <thread>

#include <sys/types.h>

namespace masticgap::tests {

//! What a process holds.
struct ProcessUse {
  std::size_t ResidentBytes = 0;
  std::size_t Descriptors = 0;
};

//! A gateway that runs as a process of its own on loopback, with the store and
//! the worker that it uses.
class GatewayProcess {
public:
  //! Starts the gateway and waits until it is ready.
  GatewayProcess();
  //! Ends the process by its id.
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess &) = delete;
  GatewayProcess &operator=(const GatewayProcess &) = delete;

  const Endpoint &traffic() const { return Traffic; }
  const Endpoint &readiness() const { return Readiness; }
  const Endpoint &lookup() const { return Lookup; }

  bool isAlive() const;
  ProcessUse use() const;
  //! Returns whether a GET request on a new connection is answered with 200.
  bool serves(const Endpoint &At, const std::string &Target) const;

private:
  void chooseFreePorts();
  std::string settings() const;
  //! \returns false if the process ended or did not become ready.
  bool tryStart();
  void end();

  boost::asio::io_context StoreIo{1};
  standins::StoreServer Store;
  std::thread StoreThread;
  ScriptedWorker Worker;
  Endpoint Traffic;
  Endpoint Readiness;
  Endpoint Lookup;
  std::uint16_t PeerPort = 0;
  std::uint16_t GossipPort = 0;
  std::string SettingsPath;
  pid_t Process = 0;
};

} // namespace masticgap::tests
