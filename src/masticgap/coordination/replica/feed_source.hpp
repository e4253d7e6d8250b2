#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <map>
#include <span>
#include <variant>

namespace masticgap::coordination {

//! The host asks the store itself.
struct UseStore {
  friend bool operator==(const UseStore &, const UseStore &) = default;
};
//! The host asks the host that reads the store for its failure domain.
struct UseReader {
  EntryHostDescriptor Reader;
  friend bool operator==(const UseReader &, const UseReader &) = default;
};
//! No reader can be asked at present; gossip tells meanwhile when peers have
//! news.
struct RetryLater {
  Instant Time;
  friend bool operator==(const RetryLater &, const RetryLater &) = default;
};
using FeedSource = std::variant<UseStore, UseReader, RetryLater>;

//! Decides whom a host asks for changes of the store's tables. One host of each
//! failure domain reads the store and hands changes on, and a second one does
//! when the first fails, so that calls to the store grow with the number of
//! failure domains, also in an outage. A reader that failed is passed over for
//! a while.
class FeedSourceChoice {
public:
  explicit FeedSourceChoice(HostId Self) : Self(std::move(Self)) {}

  FeedSource choose(std::span<const MemberRecord> Members,
                    const FailureDomainName &Domain, Instant Now) const;
  //! Whether this host is the first to read the store for its failure domain.
  bool isReader(std::span<const MemberRecord> Members,
                const FailureDomainName &Domain) const;

  //! The reader did not answer, or has no connection to the store itself.
  void failed(const HostId &Reader, Instant Now);

private:
  HostId Self;
  std::map<HostId, Instant> AvoidUntil;
};

} // namespace masticgap::coordination
