#include "common/raw_caller.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <chrono>

namespace masticgap::tests {

namespace asio = boost::asio;

std::optional<std::string> receiveUntilClosed(const Endpoint &To,
                                              const std::string &Bytes) {
  asio::io_context Io(1);
  asio::ip::tcp::socket Connection(Io);
  Connection.connect({asio::ip::make_address(To.Address), To.Port});
  // A peer that closes early may have answered before.
  boost::system::error_code Ignored;
  asio::write(Connection, asio::buffer(Bytes), Ignored);
  std::string Received;
  bool Closed = false;
  // The end of the stream and a reset are both reported as errors.
  asio::async_read(
      Connection, asio::dynamic_buffer(Received),
      [&](boost::system::error_code, std::size_t) { Closed = true; });
  Io.run_for(std::chrono::seconds(10));
  if (!Closed)
    return std::nullopt;
  return Received;
}

} // namespace masticgap::tests
