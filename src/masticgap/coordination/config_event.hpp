#pragma once

#include "masticgap/coordination/config_reader_choice.hpp"
#include "masticgap/coordination/store_types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Time passed. Due at ConfigFollower::nextTick() at the latest.
struct ConfigTick {};

//! The list of live entry hosts changed. It need not contain this host.
struct ConfigMembersChanged {
  std::vector<LiveHost> Live;
};

//! A peer reported its configuration version in a gossip message or rumor.
struct PeerConfigVersion {
  HostId Peer;
  std::uint64_t Version = 0;
};

//! An operator's tool reported that the store contains this version.
struct ConfigNotified {
  std::uint64_t Version = 0;
};

//! Answer to a ReadConfigRow.
struct ConfigStoreAnswered {
  StoreAnswer Answer;
};

//! Answer to a FetchConfig: the body of the peer's GET /peer/config.
struct ConfigDocumentReceived {
  std::uint64_t CallId = 0;
  std::string Json;
};

//! A FetchConfig returned no document.
struct ConfigFetchFailed {
  std::uint64_t CallId = 0;
};

//! What ConfigFollower reacts to.
using ConfigEvent =
    std::variant<ConfigTick, ConfigMembersChanged, PeerConfigVersion,
                 ConfigNotified, ConfigStoreAnswered, ConfigDocumentReceived,
                 ConfigFetchFailed>;

} // namespace masticgap::coordination
