#pragma once

namespace masticgap::transport {

//! Returns whether a response with this status is a final one that HTTP
//! defines. Any other is broken: 100 to 199 are interim responses, which a
//! reader skips or does not ask for, and the rest has no meaning.
constexpr bool isFinalStatus(unsigned Status) {
  return Status >= 200 && Status <= 599;
}

//! Status of a response that changes the protocol of a connection. No request
//! of this program asks for it.
inline constexpr unsigned SwitchingProtocols = 101;

} // namespace masticgap::transport
