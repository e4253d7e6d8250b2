#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <map>
#include <optional>
#include <span>
#include <variant>

namespace masticgap::coordination {

//! The host reads from the store itself.
struct UseStore {
  friend bool operator==(const UseStore &, const UseStore &) = default;
};
//! The host requests changes from the reader of its failure domain.
struct UseReader {
  EntryHostDescriptor Reader;
  friend bool operator==(const UseReader &, const UseReader &) = default;
};
//! No reader is available. Until the next try this host learns from gossip when
//! peers have new changes.
struct RetryLater {
  Instant Time;
  friend bool operator==(const RetryLater &, const RetryLater &) = default;
};
using FeedSource = std::variant<UseStore, UseReader, RetryLater>;

//! Decides from where a host gets changes of the store's tables.
//!
//! One host of each failure domain reads the store and forwards changes, and a
//! second one does when the first fails. The number of calls to the store thus
//! grows with the number of failure domains, not of hosts. A reader that failed
//! is skipped for a while.
//!
//! The store may reject these two and serve the others. The remaining hosts
//! therefore call it as well while no reader answers, the later the further
//! back they are in the order of readers, and with pauses that are longer in
//! the same proportion. The number of these calls grows with the logarithm of
//! the number of hosts.
class FeedSourceChoice {
public:
  explicit FeedSourceChoice(HostId Self) : Self(std::move(Self)) {}

  FeedSource choose(std::span<const MemberRecord> Members,
                    const FailureDomainName &Domain, Instant Now);
  //! Returns whether this host is the first choice as reader of its failure
  //! domain, or the domain has no live reader.
  bool isReader(std::span<const MemberRecord> Members,
                const FailureDomainName &Domain) const;

  //! Records that a reader did not answer or has no connection to the store.
  void failed(const HostId &Reader, Instant Now);
  //! Records that a reader answered.
  void answered(const HostId &Reader);
  //! Records the result of a call of this host to the store.
  void storeFailed(Instant Now);
  void storeAnswered() { StoreServesSelf = true; }

private:
  //! Chooses a source while no reader is available.
  FeedSource standIn(std::span<const MemberRecord> Members,
                     const FailureDomainName &Domain, Instant Now);

  HostId Self;
  std::map<HostId, Instant> AvoidUntil;
  //! When no reader was available for the first time since one answered.
  std::optional<Instant> UnservedSince;
  std::optional<Instant> LastStoreFailure; //!< Since then.
  bool StoreServesSelf = false; //!< The store answered the last call.
};

} // namespace masticgap::coordination
