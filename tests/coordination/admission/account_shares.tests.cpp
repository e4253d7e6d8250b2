#include "masticgap/coordination/admission/account_shares.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};

} // namespace

// Guards against an account that stays behind the others under overload, and
// against a preference that follows from something else than refusals.
TEST_CASE("an account that was served less often than others is preferred") {
  struct Requests {
    const char *Account;
    unsigned Priority;
    int Served;
    int Refused;
  };
  struct Case {
    const char *Name;
    std::vector<Requests> Before;
    Duration Age;
    double Lowest; //!< Shift of account "a".
    double Highest;
  };
  const Case Cases[] = {
      {"no requests", {}, 0s, 0, 0},
      {"only other accounts", {{"b", 0, 5, 5}}, 0s, 0, 0},
      {"no refusals", {{"b", 0, 50, 0}, {"a", 0, 3, 0}}, 0s, 0, 0},
      {"the same share", {{"b", 0, 0, 50}, {"a", 0, 0, 5}}, 0s, 0, 0},
      {"all refused", {{"b", 0, 90, 0}, {"a", 0, 0, 10}}, 0s, 0.25, 0.25},
      {"one refused", {{"b", 0, 45, 45}, {"a", 0, 0, 1}}, 0s, 0.1, 0.2},
      {"all served", {{"b", 0, 0, 90}, {"a", 0, 10, 0}}, 0s, -0.25, -0.25},
      {"less urgent requests, served as usual",
       {{"b", 0, 90, 0}, {"c", 1, 0, 50}, {"a", 1, 0, 10}},
       0s,
       0,
       0},
      {"long ago", {{"b", 0, 90, 0}, {"a", 0, 0, 10}}, 60s, 0, 0.001},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    AccountShares Shares;
    for (const Requests &Each : C.Before)
      for (int I = 0; I < Each.Served + Each.Refused; ++I)
        Shares.record(Each.Account, Each.Priority, I < Each.Served, Start);
    const double Shift = Shares.limitShift("a", Start + C.Age);
    CHECK(Shift >= C.Lowest);
    CHECK(Shift <= C.Highest);
  }
}

// Guards against memory that grows with the number of accounts.
TEST_CASE("accounts above the limit count as one") {
  AccountShares Shares;
  const auto Record = [&](std::size_t From, std::size_t To, Instant Now) {
    for (std::size_t I = From; I < To; ++I)
      Shares.record(std::to_string(I), 0, I < AccountShares::MaxAccounts, Now);
  };
  Record(0, 2 * AccountShares::MaxAccounts, Start);
  CHECK(Shares.accounts() == AccountShares::MaxAccounts);
  const std::string First = std::to_string(AccountShares::MaxAccounts);
  CHECK(Shares.limitShift(First, Start) > 0);
  CHECK(Shares.limitShift("new", Start) == Shares.limitShift(First, Start));
  // Accounts without recent requests make room.
  Record(2 * AccountShares::MaxAccounts, 2 * AccountShares::MaxAccounts + 3,
         Start + 60s);
  CHECK(Shares.accounts() == 3);
}
