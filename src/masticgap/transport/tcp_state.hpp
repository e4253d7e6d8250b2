#pragma once

#include <cstdint>

namespace masticgap::transport {

//! Returns whether the peer of a TCP socket ended its side in order (FIN), as
//! far as the socket shows; call it after a read found the end of the stream.
//! That alone does not prove it: a reset or a time-out is reported to one
//! operation only, and if a write was the one, the read finds a plain end.
//! \param Handle descriptor of the socket; a negative one returns false.
//! \param BytesRead all bytes ever read from the connection.
bool peerClosedInOrder(int Handle, std::uint64_t BytesRead);

//! What the kernel knows of the bytes that a socket has yet to deliver.
struct TcpSendState {
  //! All bytes that were sent are acknowledged, and the others wait for space
  //! at the peer (its window is full).
  bool AwaitsWindow = false;
  unsigned UnansweredProbes = 0; //!< Probes of a full window.
};

//! Returns the state of a socket; without it from the kernel, no bytes wait.
TcpSendState tcpSendState(int Handle);

} // namespace masticgap::transport
