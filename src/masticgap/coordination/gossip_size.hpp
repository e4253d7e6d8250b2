#pragma once

#include "masticgap/coordination/gossip_message.hpp"

#include <cstddef>

namespace masticgap::coordination {

//! Returns the size in bytes that protocol::encodeGossip produces. It is
//! computed here, below the codec, so that Membership can fill a message up to
//! MaxGossipBytes.
std::size_t encodedSize(const MemberRecord &Record);
std::size_t encodedSize(const VersionHolders &Holders);
std::size_t encodedSize(const TimedRumor &Item);
std::size_t encodedSize(const GossipMessage &Message);

//! Returns whether all names in the rumor are at most MaxGossipNameBytes long.
bool fitsGossip(const Rumor &What);

} // namespace masticgap::coordination
