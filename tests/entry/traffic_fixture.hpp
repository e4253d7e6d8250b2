#pragma once

#include "common/fake_worker.hpp"
#include "entry/io_thread.hpp"
#include "entry/settings.hpp"
#include "entry/steering_snapshot.hpp"
#include "entry/traffic_server.hpp"
#include "entry/traffic_state.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace masticgap::tests {

//! Caller with a blocking connection.
class TestCaller {
public:
  //! \param ReceiveBuffer size of the socket's receive buffer; 0 keeps the
  //! default.
  explicit TestCaller(const Endpoint &To, int ReceiveBuffer = 0);

  void send(const transport::HttpRequest &Request);
  void sendText(const std::string &Bytes);
  //! Reads an answer; Failure is set if the answer is incomplete.
  transport::HttpResponse read();
  transport::HttpResponse run(const transport::HttpRequest &Request) {
    send(Request);
    return read();
  }
  void close();

  boost::system::error_code Failure;

private:
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket;
  boost::beast::flat_buffer Buffer;
};

//! Traffic port with two fake workers. Runs on its own thread, without a
//! control thread.
class TrafficFixture {
public:
  explicit TrafficFixture(entry::EntryLimits Limits = {});
  ~TrafficFixture();

  Endpoint local() const { return Server->local(); }
  //! Returns a key whose request only this host may dispatch.
  std::string boundKey(const std::string &Suffix) const;
  //! Runs a function on the forwarding thread and waits for it.
  void runOnForwardingThread(const std::function<void()> &Run);
  //! Adds a member to which requests can be forwarded.
  void addPeer(const TrafficFixture &Peer);
  std::size_t seen() const;
  std::vector<coordination::Rumor> spread() const;

  static constexpr const char *Service = "agenda";

  entry::EntrySettings Settings;
  coordination::EntryHostRun Self;
  std::shared_ptr<Script> Reactions = std::make_shared<Script>();
  FakeWorker First;
  FakeWorker Second;
  entry::IoThread Thread;
  std::shared_ptr<entry::SteeringSnapshot> Snapshot;
  std::unique_ptr<entry::TrafficState> State;
  std::unique_ptr<entry::TrafficServer> Server;

private:
  entry::TrafficContext context();
  void publish();

  mutable std::mutex Lock;
  std::vector<coordination::Rumor> Rumors;
  std::uint64_t StoreVersion = 0;
};

//! Return requests to the fixture's service.
transport::HttpRequest makeGet(const std::string &Path = "/agenda/x");
transport::HttpRequest makePost(const std::string &Key,
                                const std::string &Body = "body");

} // namespace masticgap::tests
