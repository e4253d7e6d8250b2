#include "masticgap/transport/dead_peer_detection.hpp"

#include <glog/logging.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace masticgap::transport {

namespace {

//! A silent peer is given up after idle + count * interval, about 3 s, in
//! seconds as the kernel counts; the retransmission of a lost packet fits in.
constexpr int KeepAliveIdle = 1;
constexpr int KeepAliveInterval = 1;
constexpr int KeepAliveCount = 2;
//! Milliseconds for which sent bytes may stay unacknowledged.
constexpr int UserTimeoutMs = 2000;

void setOption(int Handle, int Level, int Option, int Value) {
  static bool Told = false;
  if (::setsockopt(Handle, Level, Option, &Value, sizeof(Value)) == 0 || Told)
    return;
  Told = true;
  LOG(WARNING) << "socket option " << Option << " of level " << Level
               << " was refused; dead peers are noticed by timeouts only";
}

} // namespace

void detectDeadPeer(boost::asio::ip::tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdle);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveInterval);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveCount);
  setOption(Handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

} // namespace masticgap::transport
