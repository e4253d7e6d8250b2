#pragma once

#include "masticgap/state/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace masticgap::tests {

//! Request that a scripted worker received.
struct SeenRequest {
  std::string Head; //!< Start line and header fields.
  std::string Body;
};

//! Worker that answers each request with raw bytes from a test. Each connection
//! is served by a separate thread.
class ScriptedWorker {
public:
  //! Returns the bytes of the answer to a request, given its number from 0. The
  //! connection is closed after an answer that ends with Close and reset after
  //! one that ends with Reset. Silent sends nothing and keeps it open. Crash
  //! resets it and stops accepting connections. The parts of an answer between
  //! Split are sent separately. The bytes after Endless are repeated until the
  //! connection is closed.
  using Script = std::function<std::string(std::size_t, const SeenRequest &)>;

  explicit ScriptedWorker(Script Answers);
  ~ScriptedWorker();
  ScriptedWorker(const ScriptedWorker &) = delete;
  ScriptedWorker &operator=(const ScriptedWorker &) = delete;

  Endpoint endpoint() const;
  std::vector<SeenRequest> seen() const;
  //! Sends bytes on the newest connection, independently of its requests.
  void sendUnasked(std::string_view Bytes);

  static constexpr const char *Close = "\x01close";
  static constexpr const char *Reset = "\x01reset";
  static constexpr const char *Crash = "\x01crash";
  static constexpr const char *Silent = "\x01silent";
  static constexpr const char *Endless = "\x01endless";
  static constexpr const char *Split = "\x01split";

private:
  using Socket = boost::asio::ip::tcp::socket;
  void accept();
  void serve(const std::shared_ptr<Socket> &Connection);

  boost::asio::io_context Io{1};
  boost::asio::ip::tcp::acceptor Acceptor;
  Script Answers;
  mutable std::mutex Lock;
  std::vector<SeenRequest> Requests;
  std::vector<std::shared_ptr<Socket>> Connections;
  std::vector<std::thread> Threads;
  std::thread Accepting;
  bool Stopped = false;
};

} // namespace masticgap::tests
