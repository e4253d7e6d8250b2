#pragma once

#include "common/scripted_worker.hpp"
#include "gateway/gateway_daemon.hpp"
#include "masticgap/transport/http_types.hpp"
#include "standins/store/store_server.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace masticgap::tests {

//! A gateway, the store that it follows, and callers, on loopback.
class GatewayFixture {
public:
  GatewayFixture();
  //! A second gateway beside another one, which follows the same store through
  //! its side door.
  explicit GatewayFixture(GatewayFixture &Other);
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  //! Registers a worker; changes reach the gateway some time later.
  void putWorker(const std::string &Id, const Endpoint &Address,
                 bool Draining = false);
  void removeWorker(const std::string &Id);
  //! Writes a configuration with an idempotent route /safe/ and another one
  //! /unsafe/, both with a timeout of one second.
  void putConfig(unsigned Version, const std::string &ExtraRoutes = "");
  void setStore(standins::StoreMode Mode);
  //! Whether the store turns a second gateway away.
  void shutSideDoor(bool Shut);

  void setGracePeriod(std::chrono::milliseconds Time) {
    Settings.GracePeriod = Time;
  }

  //! Starts the gateway; with a worker and a configuration it is ready soon.
  void start();
  void awaitReady();
  //! Stops the gateway as SIGTERM does.
  void requestStop();

  //! Sends one request on a connection of its own.
  //! \returns nothing when the connection ends without an answer.
  std::optional<transport::HttpResponse> send(const std::string &Target,
                                              const std::string &Body = "",
                                              const std::string &Id = "id-1",
                                              unsigned DeadlineMs = 3000);
  std::optional<transport::HttpResponse> get(const Endpoint &From,
                                             const std::string &Target);

  const gateway::GatewaySettings &settings() const { return Settings; }

private:
  void takePorts();
  bool tryStart();
  void onStore(const std::function<void(standins::StoreServer &)> &Do);

  boost::asio::io_context StoreIo{1};
  std::shared_ptr<standins::StoreServer> Store;
  GatewayFixture *First = nullptr; //!< Owner of the store's thread.
  std::thread StoreThread;
  boost::asio::io_context Io{1};
  gateway::GatewaySettings Settings;
  std::unique_ptr<gateway::GatewayDaemon> Host;
  std::thread Thread;
  bool Started = false;
};

//! Whole answer of a worker in the platform's format.
std::string
workerAnswer(unsigned Status, const std::string &Id, const std::string &Body,
             const std::string &Fields = "Response-Signature: s\r\n");

} // namespace masticgap::tests
