#pragma once

#include "masticgap/coordination/account_limit/account_owners.hpp"
#include "masticgap/coordination/account_limit/account_status.hpp"

#include <deque>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Credit that this host holds for accounts, and the requests that wait for it.
class AccountCredit {
public:
  //! \param Seed for the floor.
  //! \param Started start of the process. The ids of credit requests begin with
  //! it, so that they are higher than those of an earlier process of this host.
  AccountCredit(AccountLimitSettings Settings, const AccountOwners &Owners,
                std::uint64_t Seed, Instant Started);

  void setSettings(const AccountLimitSettings &New) { Settings = New; }
  //! Sets the accounts that have a limit. Requests that wait for another
  //! account are admitted.
  void setLimits(std::span<const AccountLimit> Limits, Instant Now);
  //! Asks the new owners on behalf of the requests that wait.
  void ownersChanged(Instant Now);

  //! Decides about a request of an account, or lets it wait.
  AccountAdmission admit(AccountKey Account, Instant Now);
  //! Removes a request that waits.
  void cancel(AccountKey Account, std::uint64_t Waiter);
  //! Returns the credit of a request that was not sent to a worker.
  void giveBack(AccountKey Account, const AccountAdmitted &Unused, Instant Now);

  //! Handles the answer of an owner.
  void handle(const HostId &From, const CreditGrant &Grant, Instant Now);
  //! Handles everything that is due.
  void advance(Instant Now);
  //! Returns when advance() is due; nothing if no request waits.
  std::optional<Instant> nextDeadline() const;

  //! Returns the messages to send since the last call.
  std::vector<OutgoingAccountMessage> takeMessages() {
    return std::exchange(Messages, {});
  }
  //! Returns the decisions since the last call.
  std::vector<AccountDecision> takeDecisions() {
    return std::exchange(Decisions, {});
  }
  //! Returns the decision for a waiting request, if there is one, and removes
  //! it.
  std::optional<std::variant<AccountAdmitted, OverLimit>>
  takeDecision(std::uint64_t Waiter);
  //! Returns the totals of an account; null if it has no limit.
  const AccountCounters *counters(AccountKey Account) const;
  //! Returns the credit of an account without its owner and bucket; nothing if
  //! it has no limit.
  std::optional<AccountStatus> status(AccountKey Account, Instant Now) const;
  //! Returns the credit in stock.
  std::uint32_t stock(AccountKey Account, Instant Now);

private:
  struct Lot {
    std::uint32_t Count = 0;
    Instant Expires;
  };
  struct Waiter {
    std::uint64_t Id = 0;
    Instant Until;
    bool Extended = false; //!< Because this host was late.
  };
  //! Credit request without an answer.
  struct OpenRequest {
    CreditRequest What;
    HostId Owner;
    Instant SentAt;
    bool Repeated = false;
  };
  struct State {
    AccountLimit Limit;
    std::deque<Lot> Lots;
    std::deque<Lot> Stock;
    HostId StockOwner; //!< That granted the stock.
    double Recent = 0; //!< Decaying number of requests of some seconds.
    std::deque<Waiter> Waiting;
    double Demand = 0; //!< Decaying number of recent requests.
    Instant DemandAt;
    Duration LastGap{0}; //!< Between the last two requests.
    std::optional<OpenRequest> Open;
    Instant HoldUntil;         //!< New requests are refused until then.
    Instant ExpectedAt;        //!< When the owner expects to have credit.
    std::uint32_t Refused = 0; //!< Not yet reported to the owner.
    bool NoOwner = false;      //!< The owner does not answer or not grant.
    Instant NextFloor;         //!< Next admission without an owner.
    AccountCounters Totals;
  };

  static std::uint32_t available(std::deque<Lot> &Lots, Instant Now);
  std::optional<AccountAdmitted> take(State &Target, Instant Now) const;
  //! Returns the credit in stock that will probably be used.
  static std::uint32_t usefulStock(const State &Target, Instant Now);
  void refillStock(State &Target, Instant Now);
  double recentRate(const State &Target) const;
  void recordDemand(State &Target, Instant Now) const;
  void ask(State &Target, Instant Now);
  void askAhead(State &Target, Instant Now);
  void serveWaiting(State &Target, Instant Now);
  void refuseWaiting(State &Target, Instant Before, Instant Now);
  void loseOwner(State &Target, Instant Now);
  //! Lets requests wait once more if this host itself was late. Those that have
  //! waited twice come first.
  void extendWaits(State &Target, Instant Now);
  std::variant<AccountAdmitted, OverLimit> withoutCredit(State &Target,
                                                         Instant Now);
  Duration floorInterval(const State &Target) const;
  void advance(State &Target, Instant Now);
  void updateActive(const State &Target);

  AccountLimitSettings Settings;
  const AccountOwners &Owners;
  std::mt19937_64 Random;
  std::uint64_t NextId;
  std::uint64_t NextWaiter = 1;
  std::unordered_map<AccountKey, State> States;
  std::set<AccountKey> Active; //!< With waiting requests or an open request.
  std::vector<OutgoingAccountMessage> Messages;
  std::vector<AccountDecision> Decisions;
};

} // namespace masticgap::coordination
