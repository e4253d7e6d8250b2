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

//! A gateway on loopback, the store that it follows, and calls to it.
class GatewayFixture {
public:
  GatewayFixture();
  //! Creates a second gateway, which follows the store of the other fixture
  //! through the store's second port.
  //! \param Domain failure domain "d", "e" or "f" of the region.
  explicit GatewayFixture(GatewayFixture &Other, const std::string &Host = "h2",
                          const std::string &Domain = "e",
                          const std::string &Address = "127.0.0.2");
  ~GatewayFixture();
  GatewayFixture(const GatewayFixture &) = delete;
  GatewayFixture &operator=(const GatewayFixture &) = delete;

  //! Registers a worker; the gateway learns of it some time later.
  void putWorker(const std::string &Id, const Endpoint &Address,
                 bool Draining = false);
  //! Writes any bytes as a row of the table of workers.
  void putWorkerRow(const std::string &Key, const std::string &Value);
  void removeWorker(const std::string &Id);
  //! Writes a configuration with an idempotent route /safe/ and a
  //! non-idempotent route /unsafe/, both with a timeout of one second.
  void putConfig(unsigned Version, const std::string &ExtraRoutes = "");
  //! Writes any text as the row of the configuration.
  void putConfigRow(const std::string &Text);
  void setStore(standins::StoreMode Mode);
  //! Ends the feeds of the store; gateways have to read its tables again.
  void forgetHistory();
  //! Keeps a copy of the store.
  void copyStore();
  //! Returns the store to that copy.
  void restoreStore();
  void restoreStoreAtNextWrite();
  //! Returns how often the store was restored.
  unsigned storeRestores();
  //! Returns whether the gateway's own row is in the store.
  bool isAnnounced();
  void putEvacuation(const std::string &Domain);
  void endEvacuation(const std::string &Domain);
  //! Sets whether the store rejects a second gateway.
  void rejectSecondGateway(bool Reject);

  void setGracePeriod(std::chrono::milliseconds Time) {
    Settings.GracePeriod = Time;
  }

  //! Sets the memory of the host; callers get a seventh of it.
  void setMemory(std::uint32_t Megabytes) { Settings.MemoryMb = Megabytes; }
  //! Returns the text at the metrics port.
  std::string metrics();
  void setLoadExchange(gateway::LoadExchangeMode Mode) {
    Settings.LoadExchange = Mode;
  }

  //! Sets the limit for bodies in the configurations of putConfig().
  void setMaxBodyBytes(std::size_t Bytes) { MaxBodyBytes = Bytes; }

  //! Sets the parser of the load that a worker reports.
  void setLoadParser(decltype(gateway::WireFormat::ParseLoad) Parser) {
    ParseLoad = std::move(Parser);
  }

  //! Starts the gateway. It becomes ready once it has a worker and a
  //! configuration.
  void start();
  void awaitReady();
  //! Stops the gateway as SIGTERM does.
  void requestStop();

  //! Sends one request on a new connection.
  //! \returns nothing when the connection ends without an answer.
  std::optional<transport::HttpResponse> send(const std::string &Target,
                                              const std::string &Body = "",
                                              const std::string &Id = "id-1",
                                              unsigned DeadlineMs = 3000);
  std::optional<transport::HttpResponse> get(const Endpoint &From,
                                             const std::string &Target);
  //! Returns the number of workers that the gateway knows.
  unsigned knownWorkers() { return gauge("workers_known"); }
  //! Returns the version of the configuration in force.
  unsigned configVersion() { return gauge("config_version"); }

  //! Returns the value of a metric without labels, or the sum of all values of
  //! a metric with them; 0 if there is none.
  unsigned metric(const std::string &Name);

  const gateway::GatewaySettings &settings() const { return Settings; }

private:
  unsigned gauge(const std::string &Name);
  void chooseFreePorts();
  bool tryStart();
  void runOnStore(const std::function<void(standins::StoreServer &)> &Action);

  boost::asio::io_context StoreIo{1};
  std::shared_ptr<standins::StoreServer> Store;
  GatewayFixture *StoreOwner =
      nullptr; //!< Fixture that runs the store's thread.
  std::thread StoreThread;
  boost::asio::io_context Io{1};
  gateway::GatewaySettings Settings;
  decltype(gateway::WireFormat::ParseLoad) ParseLoad;
  std::unique_ptr<gateway::GatewayDaemon> Daemon;
  std::thread Thread;
  bool Started = false;
  std::size_t MaxBodyBytes = 1'000'000;
};

//! Returns a complete answer of a worker in the platform's format.
std::string
workerAnswer(unsigned Status, const std::string &Id, const std::string &Body,
             const std::string &Fields = "Response-Signature: s\r\n");

} // namespace masticgap::tests
