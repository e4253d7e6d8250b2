#pragma once

#include "entry/admin_service.hpp"
#include "entry/control.hpp"
#include "entry/io_thread.hpp"
#include "entry/lookup_port.hpp"
#include "entry/settings.hpp"
#include "entry/traffic_server.hpp"
#include "entry/traffic_state.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>

namespace masticgap::entry {

//! Ports to which the daemon is bound.
struct EntryPorts {
  std::uint16_t Lookup = 0;
  std::uint16_t Traffic = 0;
  std::uint16_t Admin = 0;
  std::uint16_t Gossip = 0;
};

//! Entry daemon: owns the threads, connects them and runs the planned stop.
class Daemon {
public:
  explicit Daemon(EntrySettings LoadedSettings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  //! Binds all ports and starts all threads except the control thread.
  //! \returns an Error of kind Unavailable when a port cannot be bound.
  boost::leaf::result<EntryPorts> start();

  //! Runs the control thread's work on the calling thread until the planned
  //! stop is complete.
  void run();

  //! Starts the planned stop. Thread-safe; repeated calls have no effect.
  void requestStop();

private:
  //! State of the forwarding thread.
  struct Forwarding;

  void bind();
  ControlMessages controlMessages();
  ControlOutputs controlOutputs();
  TrafficDocuments trafficDocuments();
  void publish(const SnapshotPtr &Snapshot);
  void beginStop();
  void finishRequests();
  void end();

  EntrySettings Settings;
  EntryHostDescriptor Self;
  Instant Start;
  std::uint64_t Seed;
  boost::asio::io_context ControlIo{1};
  IoThread ForwardingIo;
  IoThread LookupIo;
  std::unique_ptr<Forwarding> Traffic;
  std::unique_ptr<LookupPort> Lookup;
  std::unique_ptr<Control> Controller;
  std::unique_ptr<AdminService> Admin;
  std::unique_ptr<transport::HttpServer> AdminServer;
  boost::asio::steady_timer StopTimer;
  bool Stopping = false;
  bool HasEnded = false;
};

} // namespace masticgap::entry
