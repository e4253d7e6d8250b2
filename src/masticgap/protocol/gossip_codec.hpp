#pragma once

#include "masticgap/coordination/gossip_message.hpp"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace masticgap::protocol {

//! First byte of every datagram; incremented when the format changes.
inline constexpr std::uint8_t GossipFormatVersion = 1;

//! Encodes a message as version byte, checksum and cereal portable binary.
//! \returns the datagram, or an Error of kind Protocol when a name is longer
//! than MaxGossipNameBytes or the datagram than MaxGossipBytes.
boost::leaf::result<std::vector<std::byte>>
encodeGossip(const coordination::GossipMessage &Message);

//! Decodes one complete datagram.
//! \returns the message, or an Error of kind Protocol for a datagram that is
//! truncated, oversized, corrupted or of another version.
boost::leaf::result<coordination::GossipMessage>
decodeGossip(std::span<const std::byte> Datagram);

} // namespace masticgap::protocol
