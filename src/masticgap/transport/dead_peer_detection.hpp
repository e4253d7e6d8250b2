#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace masticgap::transport {

//! Lets the kernel end a connection whose other side is gone: with keep-alive
//! probes while nothing is sent, and with a limit on unacknowledged bytes. An
//! option that the host refuses is logged once.
void detectDeadPeer(boost::asio::ip::tcp::socket &Socket);

} // namespace masticgap::transport
