#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>

namespace masticgap::coordination {

//! Hash of an account's name, the same on all hosts.
using AccountKey = std::uint64_t;

//! Returns the key of an account.
AccountKey accountKey(std::string_view Name);

//! Limit of one account over all hosts.
struct AccountLimit {
  AccountKey Key = 0;
  double RatePerSecond = 0; //!< Requests; above 0.
  double Burst = 0;         //!< Requests in addition to the rate.

  friend bool operator==(const AccountLimit &, const AccountLimit &) = default;
};

//! Bounds of the requests of an account in any window: (rate x window + burst)
//! x (1 + overage) + slack. The derived times divide the overage between
//! delays; docs/design/account-limits.md has the arithmetic.
struct AccountLimitSettings {
  Duration Window = std::chrono::seconds(5);
  double Overage = 0.1;
  double Slack = 20;
  //! Longest round trip between two hosts in ordinary conditions.
  Duration RoundTrip = std::chrono::milliseconds(40);
  Duration GossipPeriod = std::chrono::milliseconds(500);
  //! Number of hosts through which all others join, the same ones everywhere;
  //! 0 if there are none.
  std::size_t Seeds = 0;

  //! Returns the time within which all hosts of a connected fleet learn that a
  //! member joined or is dead. A new owner grants credit after this time, so
  //! that its predecessor has stopped. bench/membership measured 5.2 periods at
  //! 20 hosts, 19 at 320 and 33 at 640.
  Duration settleTime(std::size_t Members) const {
    return GossipPeriod * 5 + GossipPeriod * static_cast<int>(Members) / 22;
  }

  //! Validity of credit, from the sending of its request, and the longest wait
  //! of a request for it. At most 200 ms: five round trips between regions.
  Duration creditValidity() const {
    return std::min<Duration>(std::chrono::milliseconds(200),
                              overageTime(ValidityShare));
  }
  //! Time within which an admitted request has to reach a worker. A request
  //! that takes longer needs new credit.
  Duration arrivalDelay() const {
    return std::min<Duration>(std::chrono::milliseconds(200),
                              overageTime(ArrivalShare));
  }
  //! Time for which the owner's bucket stores rate in addition to the burst, so
  //! that hosts that request credit at intervals get the whole rate.
  Duration storedRate() const {
    return std::min<Duration>(std::chrono::milliseconds(200),
                              overageTime(StoredShare));
  }
  //! Share of the rate that all hosts together may admit without an owner.
  double floorShare() const { return FloorShare * usedOverage(); }
  //! Credit that the owner's bucket stores in addition to the burst, so that
  //! the varying delays of requests do not exceed a small burst.
  double storedSlack() const { return StoredSlackShare * Slack; }
  //! Validity of credit in stock, from the sending of its request.
  static constexpr Duration StockValidity = std::chrono::seconds(3);
  //! Returns the largest credit in stock of an account over all hosts.
  static double maxStock(const AccountLimit &Limit) {
    return MaxStockShare * Limit.Burst;
  }
  //! Credit that a new owner may grant at once.
  double initialCredit() const { return InitialShare * Slack; }

private:
  // Shares of the overage: ValidityShare + ArrivalShare + StoredShare + 1.3 x
  // FloorShare is at most 1. Shares of the slack: up to four owners may follow
  // each other in a window; the rest covers fractions of requests.
  static constexpr double ValidityShare = 0.4;
  static constexpr double ArrivalShare = 0.1;
  static constexpr double StoredShare = 0.2;
  static constexpr double FloorShare = 0.2;
  static constexpr double InitialShare = 0.15;
  static constexpr double StoredSlackShare = 0.25;
  static constexpr double MaxOverage = 0.4;
  // Of the burst: the other half remains for hosts without stock.
  static constexpr double MaxStockShare = 0.5;

  double usedOverage() const { return std::min(Overage, MaxOverage); }
  Duration overageTime(double Share) const {
    return std::chrono::duration_cast<Duration>(Window * usedOverage() * Share);
  }
};

//! Request of a host to the owner of an account. All counts are requests of
//! callers.
struct CreditRequest {
  std::uint64_t Id = 0; //!< Unique for the sender.
  AccountKey Account = 0;
  std::uint32_t Waiting = 0; //!< Wait for credit.
  std::uint32_t Ahead = 0;   //!< Expected soon.
  std::uint32_t Refused = 0; //!< Refused here since the last credit request.
  std::uint32_t Members = 0; //!< Members that the sender knows.
  std::uint32_t Stock = 0;   //!< Credit in stock that the sender still holds.
  std::uint32_t StockWanted = 0; //!< In addition.

  friend bool operator==(const CreditRequest &,
                         const CreditRequest &) = default;
};

//! Whether the receiver of a credit request is the account's owner.
enum class OwnerStatus : std::uint8_t {
  Owner,
  Starting, //!< Owner, but the previous one may still grant credit.
  NotOwner
};

//! Answer to a credit request.
struct CreditGrant {
  std::uint64_t Id = 0; //!< Of the request.
  AccountKey Account = 0;
  std::uint32_t Granted = 0;
  std::uint32_t RetryAfterMs = 0; //!< When credit is expected again.
  std::uint32_t Stock = 0;        //!< Credit in stock, in addition to Granted.
  OwnerStatus Status = OwnerStatus::Owner;

  friend bool operator==(const CreditGrant &, const CreditGrant &) = default;
};

//! Message between two hosts.
using AccountMessage = std::variant<CreditRequest, CreditGrant>;

//! Message to send.
struct OutgoingAccountMessage {
  HostId To;
  AccountMessage What;
};

//! The request may be sent to a worker.
struct AccountAdmitted {
  Instant Expires;      //!< Send the request before; ignored if unlimited.
  bool Limited = false; //!< The account has a limit.
  bool ByFloor = false; //!< AccountAdmitted without an owner.
};

//! The request waits; a decision with the same id follows.
struct AwaitCredit {
  std::uint64_t Waiter = 0;
};

//! The account is over its limit.
struct OverLimit {
  Duration RetryAfter{0};
};

using AccountAdmission = std::variant<AccountAdmitted, AwaitCredit, OverLimit>;

//! Decision for a request that waited.
struct AccountDecision {
  std::uint64_t Waiter = 0;
  std::variant<AccountAdmitted, OverLimit> Result;
};

//! Totals of one account at one host.
struct AccountCounters {
  std::uint64_t Requested = 0; //!< Credit requested from the owner.
  std::uint64_t Granted = 0;   //!< Credit received.
  std::uint64_t Refused = 0;   //!< Requests of callers over the limit.
  std::uint64_t Floor = 0;     //!< Requests admitted without an owner.
  std::uint64_t FromStock = 0; //!< Requests admitted with credit in stock.
};

//! State of an account at its owner.
struct CreditBalance {
  double Tokens = 0;
  double Stock = 0; //!< Counted as in stock at hosts.
  double Capacity = 0;
};

} // namespace masticgap::coordination
