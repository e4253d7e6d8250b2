#pragma once

#include "masticgap/coordination/store_types.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/error.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <memory>
#include <variant>

namespace masticgap::coordination {

//! Read the configuration row. Answered by one ConfigStoreAnswered.
struct ReadConfigRow {
  StoreRead Call;
};

//! Send GET /peer/config to the peer. Answered by one ConfigDocumentReceived or
//! ConfigFetchFailed with the same call id.
struct FetchConfig {
  std::uint64_t CallId = 0;
  HostId Peer;
};

//! Put the document into force: publish it, and spread its version as a
//! ConfigVersionSeen rumor.
struct AcceptConfig {
  std::shared_ptr<const ConfigDocument> Document;
};

//! Report a problem to the operator. A repeated problem is reported once.
struct ReportConfigProblem {
  Error Problem;
};

//! What the caller of ConfigFollower has to do.
using ConfigAction =
    std::variant<ReadConfigRow, FetchConfig, AcceptConfig, ReportConfigProblem>;

} // namespace masticgap::coordination
