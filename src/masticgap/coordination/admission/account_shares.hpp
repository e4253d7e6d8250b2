#pragma once

#include "masticgap/state/time.hpp"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace masticgap::coordination {

//! Compares the accounts by the share of their recent requests that this host
//! has served, under overload. Requests are compared with others of their
//! priority, so an account of less urgent requests does not count as neglected.
class AccountShares {
public:
  //! Time constant of the decay of all counts.
  static constexpr Duration ShareDecayTime = std::chrono::seconds(5);
  //! Further accounts count as one.
  static constexpr std::size_t MaxAccounts = 256;
  //! Largest shift of a wait limit, relative to the latency objective.
  static constexpr double MaxShift = 0.25;

  //! Records a request.
  //! \param Account empty for requests without an account.
  //! \param Served false if admission refused the request.
  void record(std::string_view Account, unsigned Priority, bool Served,
              Instant Now);

  //! Returns by how much the wait limit of an account's requests is moved,
  //! relative to the objective; above 0 if the account was served less often
  //! than others.
  double limitShift(std::string_view Account, Instant Now) const;

  //! Returns the number of accounts with a record of their own.
  std::size_t accounts() const { return Accounts.size(); }

private:
  //! Decaying counts as of At.
  struct Counts {
    double Requests = 0;
    //! Of a priority: requests served. Of an account: requests served less
    //! those that a usual account would have had served.
    double Balance = 0;
    Instant At;

    void add(double Change, Instant Now);
    double decay(Instant Now) const;
  };
  //! Less urgent priorities count as the last one.
  static constexpr std::size_t Priorities = 10;

  Counts &countsOf(std::string_view Account, Instant Now);

  std::array<Counts, Priorities> ByPriority;
  std::map<std::string, Counts, std::less<>> Accounts;
  Counts Others; //!< Accounts without a record of their own.
};

} // namespace masticgap::coordination
