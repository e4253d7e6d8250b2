#pragma once

#include "masticgap/state/names.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace masticgap {

//! Hash of a caller's key. Keys themselves are not kept.
struct KeyDigest {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  friend bool operator==(const KeyDigest &, const KeyDigest &) = default;
};

//! Returns the digest of a key.
//! \param Seed random and private to the process, so that the time of a look-up
//! discloses nothing about the stored keys.
KeyDigest digestKey(std::string_view Key, std::uint64_t Seed);

//! Client account: callers that share keys and a limit.
struct Account {
  AccountName Name;
  std::vector<KeyDigest> Keys;
  double RatePerSecond = 0;            //!< Limit over all hosts; 0: no limit.
  double BurstSize = 0;                //!< Requests in addition to the rate.
  std::optional<unsigned> Priority;    //!< Takes precedence over the route's.
  std::vector<RegionName> HomeRegions; //!< Empty when any region may serve.

  friend bool operator==(const Account &, const Account &) = default;
};

//! Accounts of one configuration, found by key or by name in constant time.
class AccountTable {
public:
  //! \param Seed of the digests of the accounts' keys.
  explicit AccountTable(std::uint64_t Seed) : Seed(Seed) {}

  //! Adds an account. A key that another account has already stays with that
  //! account.
  //! \returns false if there is an account of this name already; the table is
  //! unchanged then.
  bool add(Account New);

  //! \returns null if no account has the key. The account stays valid until
  //! the table changes.
  const Account *findByKey(std::string_view Key) const;
  const Account *find(const AccountName &Name) const;
  std::uint64_t seed() const { return Seed; }
  std::span<const Account> accounts() const { return Accounts; }

  friend bool operator==(const AccountTable &Left, const AccountTable &Right) {
    return Left.Seed == Right.Seed && Left.Accounts == Right.Accounts;
  }

private:
  struct DigestHash {
    std::size_t operator()(const KeyDigest &Digest) const {
      return static_cast<std::size_t>(Digest.Low);
    }
  };

  std::uint64_t Seed;
  std::vector<Account> Accounts;
  //! Positions in Accounts.
  std::unordered_map<KeyDigest, std::size_t, DigestHash> ByKey;
  std::unordered_map<AccountName, std::size_t> ByName;
};

//! Home regions of a request, from its route and its account.
class RegionLimit {
public:
  //! \param Route home regions of the route; empty: any.
  //! \param Account home regions of the account; empty: any.
  //! Both must outlive the object.
  RegionLimit(std::span<const RegionName> Route,
              std::span<const RegionName> Account);

  //! Returns the regions that may serve; empty: any, unless servesNowhere().
  std::span<const RegionName> regions() const {
    return Common.empty() ? Single : std::span<const RegionName>(Common);
  }
  //! Returns whether route and account have no home region in common.
  bool servesNowhere() const { return Disjoint; }

private:
  std::span<const RegionName> Single;
  std::vector<RegionName> Common; //!< Used if it differs from both lists.
  bool Disjoint = false;
};

} // namespace masticgap
