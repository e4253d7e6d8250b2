#pragma once

#include "masticgap/coordination/connection_health.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/worker_stream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <vector>

namespace masticgap::transport {

//! Connection to a worker, with its read buffer.
struct WorkerConnection {
  WorkerConnection(boost::asio::io_context &Io, Instant Now)
      : Stream(Io), Health(Now) {}

  WorkerStream Stream;
  boost::beast::flat_buffer Buffer;
  coordination::ConnectionHealth Health;
  bool Reused = false; //!< Has carried an earlier request.
  //! Hashes of the ids of the requests that were refused on this connection.
  std::vector<std::size_t> RefusedIds;
};

} // namespace masticgap::transport
