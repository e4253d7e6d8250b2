#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/rate_policy.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>

namespace masticgap::transport {

//! Rate policy of a stream that limits nothing and counts the bytes read.
class ReadCounter {
public:
  std::uint64_t bytesRead() const { return BytesRead; }

private:
  // The names of the functions are those of Beast's concept RatePolicy.
  friend class boost::beast::rate_policy_access;
  static constexpr std::size_t Unlimited =
      std::numeric_limits<std::size_t>::max();

  // NOLINTBEGIN(readability-identifier-naming)
  static std::size_t available_read_bytes() { return Unlimited; }
  static std::size_t available_write_bytes() { return Unlimited; }
  void transfer_read_bytes(std::size_t Count) { BytesRead += Count; }
  static void transfer_write_bytes(std::size_t /*Count*/) {}
  static void on_timer() {}
  // NOLINTEND(readability-identifier-naming)

  std::uint64_t BytesRead = 0;
};

//! Stream of a connection to a worker.
using WorkerStream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::any_io_executor, ReadCounter>;

} // namespace masticgap::transport
