#include "masticgap/coordination/internal/rumor_store.hpp"

#include "masticgap/coordination/gossip_size.hpp"
#include "masticgap/coordination/rumor_id.hpp"

#include <algorithm>
#include <limits>

namespace masticgap::coordination {

namespace {

constexpr std::size_t MaxListLength = std::numeric_limits<std::uint8_t>::max();

} // namespace

RumorStore::EntryMap::iterator RumorStore::erase(EntryMap::iterator Position) {
  Digest ^= Position->first;
  return Entries.erase(Position);
}

bool RumorStore::dropOlderVersions(const Rumor &What) {
  const auto *Version = std::get_if<ConfigVersionSeen>(&What);
  if (!Version)
    return false;
  for (auto Position = Entries.begin(); Position != Entries.end();) {
    const auto *Known = std::get_if<ConfigVersionSeen>(&Position->second.What);
    if (Known && Known->Version > Version->Version)
      return true;
    if (Known && Known->Version < Version->Version)
      Position = erase(Position);
    else
      ++Position;
  }
  return false;
}

void RumorStore::evict() {
  while (Entries.size() > Capacity)
    erase(std::ranges::min_element(
        Entries, {}, [](const auto &Item) { return Item.second.End; }));
}

bool RumorStore::learn(const TimedRumor &Item, Instant Now) {
  if (Item.RemainingMs == 0 || dropOlderVersions(Item.What))
    return false;
  const Instant End = Now + std::chrono::milliseconds(Item.RemainingMs);
  const std::uint64_t Id = rumorId(Item.What);
  const auto [Position, Added] = Entries.try_emplace(Id, Entry{Item.What, End});
  if (!Added) {
    if (End <= Position->second.End + RenewalSlack)
      return false;
    Position->second.End = End;
    Position->second.Sends = 0;
    return true;
  }
  Digest ^= Id;
  evict();
  return true;
}

void RumorStore::expire(Instant Now) {
  for (auto Position = Entries.begin(); Position != Entries.end();)
    Position = Position->second.End <= Now ? erase(Position) : ++Position;
}

void RumorStore::resetSends() {
  for (auto &[Id, E] : Entries)
    E.Sends = 0;
}

TimedRumor RumorStore::timed(const Entry &E, Instant Now) {
  const auto Remaining =
      std::chrono::duration_cast<std::chrono::milliseconds>(E.End - Now);
  return {E.What, static_cast<std::uint32_t>(std::clamp<std::int64_t>(
                      Remaining.count(), 0, UINT32_MAX))};
}

void RumorStore::fill(GossipMessage &Message, std::size_t &Budget,
                      unsigned MaxSends, Instant Now) {
  std::vector<Entry *> Pending;
  for (auto &[Id, E] : Entries)
    if (E.Sends < MaxSends && E.End > Now)
      Pending.push_back(&E);
  std::ranges::stable_sort(Pending, {}, &Entry::Sends);
  for (Entry *E : Pending) {
    const TimedRumor Item = timed(*E, Now);
    const std::size_t Size = encodedSize(Item);
    if (Size > Budget || Message.Rumors.size() == MaxListLength)
      return;
    Message.Rumors.push_back(Item);
    Budget -= Size;
    ++E->Sends;
  }
}

std::uint64_t RumorStore::page(GossipMessage &Message, std::size_t &Budget,
                               std::uint64_t After, bool &Done,
                               Instant Now) const {
  Done = false;
  for (auto Position = Entries.upper_bound(After); Position != Entries.end();
       ++Position) {
    const TimedRumor Item = timed(Position->second, Now);
    const std::size_t Size = encodedSize(Item);
    if (Size > Budget || Message.Rumors.size() == MaxListLength)
      return After;
    Message.Rumors.push_back(Item);
    Budget -= Size;
    After = Position->first;
  }
  Done = true;
  return After;
}

const Rumor *RumorStore::find(std::uint64_t Id) const {
  const auto Position = Entries.find(Id);
  return Position == Entries.end() ? nullptr : &Position->second.What;
}

TimedRumor RumorStore::timed(std::uint64_t Id, Instant Now) const {
  return timed(Entries.at(Id), Now);
}

std::vector<TimedRumor> RumorStore::all(Instant Now) const {
  std::vector<TimedRumor> Result;
  for (const auto &[Id, E] : Entries)
    if (E.End > Now)
      Result.push_back(timed(E, Now));
  return Result;
}

} // namespace masticgap::coordination
