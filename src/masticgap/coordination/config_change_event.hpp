#pragma once

#include "masticgap/coordination/store_types.hpp"
#include "masticgap/state/config_document.hpp"
#include "masticgap/state/error.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace masticgap::coordination {

//! Time passed. The first tick starts the change.
struct ConfigChangeTick {};

//! Answer to the last store call of the change.
struct ConfigChangeAnswered {
  StoreAnswer Answer;
};

//! What ConfigChange reacts to.
using ConfigChangeEvent = std::variant<ConfigChangeTick, ConfigChangeAnswered>;

//! The change took effect as this version.
struct ChangeAccepted {
  std::uint64_t Version = 0;
};

//! Another change to the same base took effect first. This change has not taken
//! effect and will not.
struct ChangeRaced {
  //! Current document; absent if the store did not return it by the deadline.
  std::optional<ConfigDocument> Winner;
};

//! The outcome was not determined before the deadline; the change may have
//! taken effect.
struct ChangeUnsettled {
  Error Reason;
};

//! Outcome of a change.
using ConfigChangeResult =
    std::variant<ChangeAccepted, ChangeRaced, ChangeUnsettled>;

//! The change has ended; no further action follows.
struct ConfigChangeDone {
  ConfigChangeResult Result;
};

//! What the caller of ConfigChange has to do.
using ConfigChangeAction =
    std::variant<StoreTransact, StoreRead, ConfigChangeDone>;

} // namespace masticgap::coordination
