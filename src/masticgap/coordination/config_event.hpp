#pragma once

#include "masticgap/coordination/config_reader_choice.hpp"
#include "masticgap/coordination/store_types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Time passed; due at ConfigFollower::nextTick() or earlier.
struct ConfigTick {};

//! The list of live entry hosts changed; the own host may be missing in it.
struct ConfigMembersChanged {
  std::vector<LiveHost> Live;
};

//! A peer holds this configuration version (gossip message or rumor).
struct PeerConfigVersion {
  HostId Peer;
  std::uint64_t Version = 0;
};

//! An operator's tool says that the store has this version.
struct ConfigNotified {
  std::uint64_t Version = 0;
};

//! Answer to a ReadConfigRow.
struct ConfigStoreAnswered {
  StoreAnswer Answer;
};

//! Answer to a FetchConfig: body of the peer's GET /peer/config.
struct ConfigDocumentReceived {
  std::uint64_t CallId = 0;
  std::string Json;
};

//! A FetchConfig brought no document.
struct ConfigFetchFailed {
  std::uint64_t CallId = 0;
};

using ConfigEvent =
    std::variant<ConfigTick, ConfigMembersChanged, PeerConfigVersion,
                 ConfigNotified, ConfigStoreAnswered, ConfigDocumentReceived,
                 ConfigFetchFailed>;

} // namespace masticgap::coordination
