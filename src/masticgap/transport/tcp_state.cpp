#include "masticgap/transport/tcp_state.hpp"

#include <glog/logging.h>

#include <cstddef>

// Not <netinet/tcp.h>, whose tcp_info lacks the byte counters.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

namespace masticgap::transport {

namespace {

//! Period of log lines about a kernel without the byte counters.
constexpr double UnknownLineSeconds = 60;

//! Reads the state of a connection.
//! \returns the number of bytes that the kernel filled in; 0 on failure.
std::size_t readInfo(int Handle, tcp_info &Info) {
  socklen_t Size = sizeof(Info);
  return ::getsockopt(Handle, IPPROTO_TCP, TCP_INFO, &Info, &Size) == 0 ? Size
                                                                        : 0;
}

} // namespace

bool peerClosedInOrder(int Handle, std::uint64_t BytesRead) {
  if (Handle < 0)
    return false;
  // A reset or a time-out closes both directions, a FIN only one.
  pollfd Socket{Handle, 0, 0};
  if (::poll(&Socket, 1, 0) >= 0 && (Socket.revents & POLLHUP) == 0)
    return true;
  // Both directions are closed. A FIN that arrived before counts as a byte.
  tcp_info Info{};
  constexpr std::size_t Needed = offsetof(tcp_info, tcpi_bytes_received) +
                                 sizeof(Info.tcpi_bytes_received);
  if (readInfo(Handle, Info) < Needed) {
    LOG_EVERY_T(WARNING, UnknownLineSeconds)
        << "the kernel does not tell how connections to workers ended; answers "
           "without a length whose connection was closed both ways count as "
           "incomplete";
    return false;
  }
  return Info.tcpi_bytes_received > BytesRead;
}

TcpSendState tcpSendState(int Handle) {
  tcp_info Info{};
  constexpr std::size_t Needed =
      offsetof(tcp_info, tcpi_notsent_bytes) + sizeof(Info.tcpi_notsent_bytes);
  if (readInfo(Handle, Info) < Needed)
    return {};
  return {Info.tcpi_unacked == 0 && Info.tcpi_notsent_bytes > 0,
          Info.tcpi_probes};
}

} // namespace masticgap::transport
