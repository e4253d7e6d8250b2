#include "masticgap/state/account_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace masticgap {

namespace {

bool contains(std::span<const RegionName> Regions, const RegionName &Region) {
  return std::ranges::find(Regions, Region) != Regions.end();
}

//! Returns whether all regions of one list are in another one.
bool isSubset(std::span<const RegionName> Part,
              std::span<const RegionName> Whole) {
  return std::ranges::all_of(
      Part, [&](const RegionName &Region) { return contains(Whole, Region); });
}

} // namespace

KeyDigest digestKey(std::string_view Key, std::uint64_t Seed) {
  const XXH128_hash_t Hash =
      XXH3_128bits_withSeed(Key.data(), Key.size(), Seed);
  return {Hash.high64, Hash.low64};
}

bool AccountTable::add(Account New) {
  const std::size_t Position = Accounts.size();
  if (!ByName.emplace(New.Name, Position).second)
    return false;
  for (const KeyDigest &Key : New.Keys)
    ByKey.emplace(Key, Position);
  Accounts.push_back(std::move(New));
  return true;
}

const Account *AccountTable::findByKey(std::string_view Key) const {
  const auto Found = ByKey.find(digestKey(Key, Seed));
  return Found == ByKey.end() ? nullptr : &Accounts[Found->second];
}

const Account *AccountTable::find(const AccountName &Name) const {
  const auto Found = ByName.find(Name);
  return Found == ByName.end() ? nullptr : &Accounts[Found->second];
}

RegionLimit::RegionLimit(std::span<const RegionName> Route,
                         std::span<const RegionName> Account) {
  // Usually one of the lists is empty or within the other one; the regions are
  // copied only otherwise.
  if (Account.empty() || (!Route.empty() && isSubset(Route, Account))) {
    Single = Route;
  } else if (Route.empty() || isSubset(Account, Route)) {
    Single = Account;
  } else {
    std::ranges::copy_if(
        Route, std::back_inserter(Common),
        [&](const RegionName &Region) { return contains(Account, Region); });
    Disjoint = Common.empty();
  }
}

} // namespace masticgap
