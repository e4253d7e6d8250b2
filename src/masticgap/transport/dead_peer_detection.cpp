#include "masticgap/transport/dead_peer_detection.hpp"

#include <glog/logging.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace masticgap::transport {

namespace {

//! In seconds, the unit of the socket options. The kernel closes a connection
//! to a silent peer after KeepAliveIdle + KeepAliveCount * KeepAliveInterval,
//! about 3 s, which leaves enough time to retransmit a lost packet.
constexpr int KeepAliveIdle = 1;
constexpr int KeepAliveInterval = 1;
constexpr int KeepAliveCount = 2;

void setOption(int Handle, int Level, int Option, int Value) {
  static bool Warned = false;
  if (::setsockopt(Handle, Level, Option, &Value, sizeof(Value)) == 0 || Warned)
    return;
  Warned = true;
  LOG(WARNING) << "cannot set socket option " << Option << " of level " << Level
               << "; unreachable peers are detected only by timeouts";
}

} // namespace

void detectDeadPeer(boost::asio::ip::tcp::socket &Socket) {
  const int Handle = Socket.native_handle();
  setOption(Handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdle);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveInterval);
  setOption(Handle, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveCount);
  setMaxUnacknowledged(Socket, MaxUnacknowledged);
}

void setMaxUnacknowledged(boost::asio::ip::tcp::socket &Socket,
                          std::chrono::milliseconds Time) {
  setOption(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(Time.count()));
}

} // namespace masticgap::transport
