#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace masticgap::transport {

//! Time for which bytes may remain unacknowledged before a peer counts as
//! unreachable.
inline constexpr std::chrono::milliseconds MaxUnacknowledged{2000};

//! Configures the kernel to close a connection whose peer is unreachable: with
//! keep-alive probes while the connection is idle, and with a time limit for
//! unacknowledged bytes. The first socket option that cannot be set is logged.
void detectDeadPeer(boost::asio::ip::tcp::socket &Socket);

//! Sets the time limit for unacknowledged bytes. On Linux it also limits the
//! time for which bytes wait for space at a peer that is alive, see SendGuard.
void setMaxUnacknowledged(boost::asio::ip::tcp::socket &Socket,
                          std::chrono::milliseconds Time);

} // namespace masticgap::transport
