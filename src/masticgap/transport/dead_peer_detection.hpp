#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace masticgap::transport {

//! Configures the kernel to close a connection whose peer is unreachable: with
//! keep-alive probes while the connection is idle, and with a time limit for
//! unacknowledged bytes. The first socket option that cannot be set is logged.
void detectDeadPeer(boost::asio::ip::tcp::socket &Socket);

} // namespace masticgap::transport
