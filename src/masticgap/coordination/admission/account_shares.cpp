#include "masticgap/coordination/admission/account_shares.hpp"

#include <algorithm>
#include <cmath>

namespace masticgap::coordination {

namespace {

//! Requests with the usual share that each account is assumed to have had, so
//! that a single refusal moves its share by a part only.
constexpr double AssumedRequests = 2;
//! Counts below this one have no effect and are dropped.
constexpr double MinRequests = 0.01;

} // namespace

double AccountShares::Counts::decay(Instant Now) const {
  const std::chrono::duration<double> Age = Now - At;
  return std::exp(-std::max(0.0, Age / ShareDecayTime));
}

void AccountShares::Counts::add(double Change, Instant Now) {
  const double Decay = decay(Now);
  Requests = Requests * Decay + 1;
  Balance = Balance * Decay + Change;
  At = Now;
}

AccountShares::Counts &AccountShares::countsOf(std::string_view Account,
                                               Instant Now) {
  const auto AccountIt = Accounts.find(Account);
  if (AccountIt != Accounts.end())
    return AccountIt->second;
  if (Accounts.size() >= MaxAccounts)
    std::erase_if(Accounts, [Now](const auto &Entry) {
      return Entry.second.Requests * Entry.second.decay(Now) < MinRequests;
    });
  return Accounts.size() < MaxAccounts ? Accounts[std::string(Account)]
                                       : Others;
}

void AccountShares::record(std::string_view Account, unsigned Priority,
                           bool Served, Instant Now) {
  Counts &Usual =
      ByPriority.at(std::min<std::size_t>(Priority, ByPriority.size() - 1));
  Usual.add(Served ? 1 : 0, Now);
  countsOf(Account, Now)
      .add((Served ? 1 : 0) - Usual.Balance / Usual.Requests, Now);
}

double AccountShares::limitShift(std::string_view Account, Instant Now) const {
  const auto AccountIt = Accounts.find(Account);
  const bool Unknown = AccountIt == Accounts.end();
  if (Unknown && Accounts.size() < MaxAccounts)
    return 0;
  const Counts &Found = Unknown ? Others : AccountIt->second;
  const double Decay = Found.decay(Now);
  const double AboveUsual =
      Found.Balance * Decay / (Found.Requests * Decay + AssumedRequests);
  return std::clamp(-AboveUsual, -MaxShift, MaxShift);
}

} // namespace masticgap::coordination
