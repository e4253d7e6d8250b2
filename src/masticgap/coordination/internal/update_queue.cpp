#include "masticgap/coordination/internal/update_queue.hpp"

#include "masticgap/coordination/gossip_size.hpp"

#include <algorithm>
#include <limits>

namespace masticgap::coordination {

namespace {

//! The length of a list is encoded in one byte.
constexpr std::size_t MaxListLength = std::numeric_limits<std::uint8_t>::max();

//! Passes the entries to Add in order of their send counts and drops those that
//! have reached Limit. Add returns false when the item does not fit.
template <class Entries, class AddItem>
void fill(Entries &List, unsigned Limit, AddItem Add) {
  if (List.empty())
    return;
  std::ranges::stable_sort(List, {}, &Entries::value_type::Sends);
  for (auto &Entry : List) {
    if (!Add(Entry.Id))
      break;
    ++Entry.Sends;
  }
  std::erase_if(List, [&](const auto &Entry) { return Entry.Sends >= Limit; });
}

//! Adds the member to the holders of its version. \returns whether it fits.
bool addVersion(GossipMessage &Message, std::size_t &Budget,
                const MemberRecord &Record) {
  auto Group = std::ranges::find(Message.Versions, Record.ConfigVersion,
                                 &VersionHolders::ConfigVersion);
  const bool New = Group == Message.Versions.end();
  const std::size_t Size =
      sizeof(std::uint64_t) + (New ? encodedSize(VersionHolders()) : 0);
  if (Size > Budget || (New && Message.Versions.size() == MaxListLength) ||
      (!New && Group->Members.size() == MaxListLength))
    return false;
  if (New)
    Group = Message.Versions.insert(Group, {Record.ConfigVersion, {}});
  Group->Members.push_back(memberKey(Record.Host));
  Budget -= Size;
  return true;
}

} // namespace

void UpdateQueue::push(std::vector<Entry> &Entries, const HostId &Id) {
  const auto Known = std::ranges::find(Entries, Id, &Entry::Id);
  if (Known == Entries.end())
    Entries.push_back({Id, 0});
  else
    Known->Sends = 0;
}

void UpdateQueue::heard(std::vector<Entry> &Entries, const HostId &Id) {
  const auto Known = std::ranges::find(Entries, Id, &Entry::Id);
  if (Known != Entries.end())
    ++Known->Sends;
}

void UpdateQueue::fillRecords(GossipMessage &Message, std::size_t &Budget,
                              const MemberTable &Table, unsigned Limit) {
  fill(Records, Limit, [&](const HostId &Id) {
    const MemberRecord *Record = Table.find(Id);
    if (!Record || Id == Message.Sender.Host.Id)
      return true;
    const std::size_t Size = encodedSize(*Record);
    if (Size > Budget || Message.Updates.size() == MaxListLength)
      return false;
    Message.Updates.push_back(*Record);
    Budget -= Size;
    return true;
  });
}

void UpdateQueue::fillVersions(GossipMessage &Message, std::size_t &Budget,
                               const MemberTable &Table, unsigned Limit) {
  fill(Versions, Limit, [&](const HostId &Id) {
    const MemberRecord *Record = Table.find(Id);
    if (!Record || Id == Message.Sender.Host.Id)
      return true;
    return addVersion(Message, Budget, *Record);
  });
}

} // namespace masticgap::coordination
