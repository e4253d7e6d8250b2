#pragma once

#include "masticgap/coordination/gossip_message.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace masticgap::coordination {

//! Valid rumors by rumorId, with the number of times each was piggybacked.
class RumorStore {
public:
  explicit RumorStore(std::size_t MaxRumors) : Capacity(MaxRumors) {}

  //! Stores a rumor. Of configuration versions, only the largest is kept.
  //! \returns true when it is new or its expiry is later by more than
  //! RenewalSlack.
  bool learn(const TimedRumor &Item, Instant Now);

  //! Removes expired rumors.
  void expire(Instant Now);

  //! Resets the send counts, so that a new member receives all rumors.
  void resetSends();

  //! Adds the least-sent rumors while the message stays within Budget bytes.
  //! \param MaxSends sends after which a rumor is left out.
  void fill(GossipMessage &Message, std::size_t &Budget, unsigned MaxSends,
            Instant Now);

  //! Adds rumors with an id above After, in order of id, while they fit.
  //! \returns the last id that was added, or After. Done is set to whether all
  //! were added.
  std::uint64_t page(GossipMessage &Message, std::size_t &Budget,
                     std::uint64_t After, bool &Done, Instant Now) const;

  //! Returns the rumor, or nullptr when it is not stored.
  const Rumor *find(std::uint64_t Id) const;
  //! Returns a stored rumor with its remaining lifetime.
  TimedRumor timed(std::uint64_t Id, Instant Now) const;

  std::vector<TimedRumor> all(Instant Now) const;
  std::uint64_t digest() const { return Digest; }
  std::size_t size() const { return Entries.size(); }

  //! The expiries of copies of one rumor differ by their network transit times.
  static constexpr std::chrono::seconds RenewalSlack{1};

private:
  struct Entry {
    Rumor What;
    Instant End;
    unsigned Sends = 0;
  };
  using EntryMap = std::map<std::uint64_t, Entry>;

  static TimedRumor timed(const Entry &E, Instant Now);
  EntryMap::iterator erase(EntryMap::iterator Position);
  //! Drops stored configuration versions that are older than the given one.
  //! \returns whether a newer one is stored; false for other rumors.
  bool dropOlderVersions(const Rumor &What);
  void evict();

  std::size_t Capacity;
  EntryMap Entries;
  std::uint64_t Digest = 0;
};

} // namespace masticgap::coordination
