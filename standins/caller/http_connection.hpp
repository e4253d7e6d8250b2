#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/transport/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace masticgap::standins {

//! Result of one HTTP exchange.
enum class ExchangeEnd {
  Completed,     //!< A complete HTTP answer arrived.
  ConnectFailed, //!< No byte was sent.
  Broken,        //!< The connection broke or timed out after sending began.
};

//! Blocking keep-alive connection for use by one thread.
class HttpConnection {
public:
  //! \param Source local address of the connection; any if empty.
  HttpConnection(Endpoint To, std::string Source);

  //! Sends a request and waits for the complete answer. Connects first if there
  //! is no open connection.
  ExchangeEnd exchange(const transport::HttpRequest &Request,
                       std::chrono::milliseconds Timeout,
                       transport::HttpResponse &Answer);

  const Endpoint &peer() const { return To; }

private:
  bool connect(std::chrono::milliseconds Timeout);
  void run();

  Endpoint To;
  std::string Source;
  boost::asio::io_context Io{1};
  std::optional<boost::beast::tcp_stream> Stream;
  boost::beast::flat_buffer Buffer;
};

} // namespace masticgap::standins
