#pragma once

#include "masticgap/coordination/account_limit/account_limit.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace masticgap::coordination {

//! Bucket of an account at its owner.
struct AccountBucket {
  double Tokens = 0;    //!< Requests; not cut at the capacity.
  Duration StartsIn{0}; //!< Above 0 while a new owner waits to grant credit.
};

//! What a host knows of one account with a limit.
struct AccountStatus {
  AccountCounters Totals;
  std::uint32_t Held = 0;              //!< Credit that is valid and not used.
  std::size_t Waiting = 0;             //!< Requests that wait for credit.
  bool OwnerAnswers = true;            //!< False while the floor applies.
  HostId Owner;                        //!< As this host sees it; may be empty.
  std::optional<AccountBucket> Bucket; //!< Set if this host is the owner.
};

} // namespace masticgap::coordination
