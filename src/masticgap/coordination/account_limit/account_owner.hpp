#pragma once

#include "masticgap/coordination/account_limit/account_owners.hpp"
#include "masticgap/coordination/account_limit/account_status.hpp"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <utility>

namespace masticgap::coordination {

//! Token buckets of the accounts that this host owns. A grant is debited before
//! it is sent, and a repeated request gets the same grant.
class AccountOwner {
public:
  //! \param Started start of the process.
  AccountOwner(AccountLimitSettings Settings, AccountOwners &Owners,
               Instant Started)
      : Settings(Settings), Owners(Owners), StartedAt(Started) {}

  //! Takes over the limits of a configuration and the current owners. Call it
  //! after each change of either.
  //! \param Limits all accounts that have a limit.
  void update(std::span<const AccountLimit> Limits, Instant Now);

  //! Call update() after it.
  void setSettings(const AccountLimitSettings &New) { Settings = New; }

  //! Empties the buckets, which fill again after the settle time.
  void restart(Instant Now);

  //! Answers a credit request.
  //! \param From host that sent it.
  //! \returns nothing if a later request of the host was handled before.
  std::optional<CreditGrant> handle(const HostId &From,
                                    const CreditRequest &Request, Instant Now);

  //! Returns the bucket of an account; nothing if this host does not own it.
  std::optional<CreditBalance> balance(AccountKey Account, Instant Now);

  //! Returns the bucket of an account that this host owns.
  //! \param Share AccountOwners::share().
  std::optional<AccountBucket> bucket(AccountKey Account, double Share,
                                      Instant Now) const;

private:
  //! Credit in stock at one host.
  struct HeldStock {
    std::uint32_t Count = 0;
    Instant Until;            //!< Not used after this time.
    std::uint64_t LastId = 0; //!< Of the host's requests.
  };
  struct Bucket {
    AccountLimit Limit;
    HostId Owner;    //!< As last known.
    Instant BeganAt; //!< Of the ownership.
    //! The previous owner may still grant credit until the settle time ends.
    bool Settles = true;
    Instant FilledAt;
    double Tokens = 0;
    std::optional<Instant> InitialAt; //!< Last initial credit.
    double Refused = 0;               //!< Decaying number of refusals.
    Instant RefusedAt;
    std::map<HostId, HeldStock> Held;
    Instant HeldCheckedAt;
    //! Largest stock that a predecessor in a planned stop may have granted.
    double Inherited = 0;
    Instant InheritedUntil;
  };
  struct Answered {
    CreditGrant Grant;
    Instant At;
  };
  using AnswerKey = std::pair<HostId, std::uint64_t>;

  double capacity(const Bucket &Target, Instant Now);
  void fill(Bucket &Target, Instant Now);
  //! Returns when the bucket begins to fill.
  Instant servesFrom(const Bucket &Target) const;
  void begin(Bucket &Target, Instant BeganAt, bool Settles, Instant Now);
  CreditGrant decide(const HostId &From, const CreditRequest &Request,
                     Instant Now);
  //! Returns the credit that hosts may hold in stock. Expired credit may be
  //! counted for a little longer.
  double stock(Bucket &Target, Instant Now);
  //! Returns the most tokens that the bucket may have beside the stock.
  double maxTokens(Bucket &Target, Instant Now);
  bool isOutdated(const HostId &From, const CreditRequest &Request) const;
  void recordStock(Bucket &Target, const HostId &From,
                   const CreditRequest &Request, Instant Now);
  std::uint32_t grantStock(Bucket &Target, const HostId &From,
                           const CreditRequest &Request, Instant Now);
  Duration untilCredit(Bucket &Target, double Refused, Instant Now);
  void forgetAnswers(Instant Now);

  AccountLimitSettings Settings;
  AccountOwners &Owners;
  std::unordered_map<AccountKey, Bucket> Buckets;
  Instant StartedAt;
  std::map<AnswerKey, Answered> Answers;
  std::deque<std::pair<Instant, AnswerKey>> AnswerOrder;
};

} // namespace masticgap::coordination
