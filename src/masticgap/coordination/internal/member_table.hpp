#pragma once

#include "masticgap/coordination/member_record.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace masticgap::coordination {

//! Result of merging a record.
enum class MergeResult {
  Ignored,
  Progressed, //!< Only the configuration version or epoch increased.
  Changed     //!< The record replaced the stored one.
};

//! Known members by host id. Records of a member are ordered by (incarnation,
//! revision, status).
class MemberTable {
public:
  explicit MemberTable(MemberRecord Own);

  //! Replaces the stored record when the new one supersedes it.
  //! \param SuspectUntil time at which a suspected member is declared dead.
  MergeResult merge(const MemberRecord &Record, Instant Now,
                    Instant SuspectUntil);

  //! Returns the member with a key, or nullptr.
  const MemberRecord *findByKey(std::uint64_t Key) const;

  //! Raises the configuration version of the member with that key.
  //! \returns the member when its version increased, else nullptr.
  const MemberRecord *raiseVersion(std::uint64_t Key, std::uint64_t Version);

  //! Replaces this host's record without a check of the order.
  void replaceSelf(const MemberRecord &Record);

  const MemberRecord *find(const HostId &Id) const;
  const MemberRecord &self() const;
  std::span<const MemberRecord> all() const { return Records; }

  //! Returns the number of live members, including this one.
  std::size_t liveCount() const { return Live; }

  //! Returns a digest of host, incarnation and revision over all live members.
  std::uint64_t digest() const { return Digest; }

  //! Returns the end of the suspicion of each suspected member.
  const std::map<HostId, Instant> &suspicions() const { return Suspicions; }

  //! Returns the time at which each dead or left member ended.
  const std::map<HostId, Instant> &ended() const { return Ended; }

  //! Extends all suspicions to at least Until.
  void extendSuspicions(Instant Until);

  //! Removes members that ended before Before, and the oldest ones above Limit.
  void forget(Instant Before, std::size_t Limit);

  std::size_t stateBytes() const;

private:
  MemberRecord *findMutable(const HostId &Id);
  //! Adds a live record to the live count and the digest, or removes it.
  void updateDigest(const MemberRecord &Record, bool Added);
  void updateIndexes(const MemberRecord &Record, Instant Now,
                     Instant SuspectUntil);
  void erase(const HostId &Id);

  HostId Self;
  std::vector<MemberRecord> Records;
  std::unordered_map<std::uint64_t, HostId> ByKey;
  std::map<HostId, Instant> Suspicions;
  std::map<HostId, Instant> Ended;
  std::size_t Live = 0;
  std::uint64_t Digest = 0;
};

} // namespace masticgap::coordination
