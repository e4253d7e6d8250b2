#include "masticgap/coordination/internal/member_table.hpp"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace masticgap::coordination {

namespace {

std::uint64_t digestOf(const MemberRecord &Record) {
  const std::string &Id = Record.Host.Id.value();
  const std::uint64_t Version[] = {Record.Host.Run.Value, Record.Revision};
  return XXH64(Version, sizeof(Version), XXH64(Id.data(), Id.size(), 0));
}

template <class Range> auto lowerBound(Range &Records, const HostId &Id) {
  return std::lower_bound(Records.begin(), Records.end(), Id,
                          [](const MemberRecord &Record, const HostId &Key) {
                            return Record.Host.Id < Key;
                          });
}

bool raise(std::uint64_t &Value, std::uint64_t To) {
  if (To <= Value)
    return false;
  Value = To;
  return true;
}

} // namespace

MemberTable::MemberTable(MemberRecord Own) : Self(Own.Host.Id) {
  updateDigest(Own, true);
  Records.push_back(std::move(Own));
}

MemberRecord *MemberTable::findMutable(const HostId &Id) {
  const auto Position = lowerBound(Records, Id);
  if (Position == Records.end() || Position->Host.Id != Id)
    return nullptr;
  return &*Position;
}

const MemberRecord *MemberTable::find(const HostId &Id) const {
  return const_cast<MemberTable *>(this)->findMutable(Id);
}

const MemberRecord &MemberTable::self() const { return *find(Self); }

void MemberTable::updateDigest(const MemberRecord &Record, bool Added) {
  if (!isLive(Record))
    return;
  Live += Added ? 1 : -1;
  Digest ^= digestOf(Record);
}

void MemberTable::updateIndexes(const MemberRecord &Record, Instant Now,
                                Instant SuspectUntil) {
  const HostId &Id = Record.Host.Id;
  ByKey[memberKey(Record.Host)] = Id;
  if (Record.Status == MemberStatus::Suspect)
    Suspicions[Id] = SuspectUntil;
  else
    Suspicions.erase(Id);
  if (isLive(Record))
    Ended.erase(Id);
  else
    Ended.try_emplace(Id, Now);
}

MergeResult MemberTable::merge(const MemberRecord &Record, Instant Now,
                               Instant SuspectUntil) {
  MemberRecord *Stored = findMutable(Record.Host.Id);
  if (!Stored) {
    updateDigest(Record, true);
    Records.insert(lowerBound(Records, Record.Host.Id), Record);
    updateIndexes(Record, Now, SuspectUntil);
    return MergeResult::Changed;
  }
  if (!supersedes(Record, *Stored)) {
    if (Stored->Host.Run != Record.Host.Run)
      return MergeResult::Ignored;
    const bool Version = raise(Stored->ConfigVersion, Record.ConfigVersion);
    const bool Epoch = raise(Stored->Epoch, Record.Epoch);
    return Version || Epoch ? MergeResult::Progressed : MergeResult::Ignored;
  }
  updateDigest(*Stored, false);
  ByKey.erase(memberKey(Stored->Host));
  const MemberRecord Before = std::exchange(*Stored, Record);
  if (Before.Host.Run == Record.Host.Run) {
    raise(Stored->ConfigVersion, Before.ConfigVersion);
    raise(Stored->Epoch, Before.Epoch);
  }
  updateDigest(*Stored, true);
  updateIndexes(*Stored, Now, SuspectUntil);
  return MergeResult::Changed;
}

const MemberRecord *MemberTable::findByKey(std::uint64_t Key) const {
  const auto Id = ByKey.find(Key);
  return Id == ByKey.end() ? nullptr : find(Id->second);
}

const MemberRecord *MemberTable::raiseVersion(std::uint64_t Key,
                                              std::uint64_t Version) {
  const auto Id = ByKey.find(Key);
  if (Id == ByKey.end())
    return nullptr;
  MemberRecord *Stored = findMutable(Id->second);
  return raise(Stored->ConfigVersion, Version) ? Stored : nullptr;
}

void MemberTable::replaceSelf(const MemberRecord &Record) {
  MemberRecord &Stored = *findMutable(Self);
  updateDigest(Stored, false);
  Stored = Record;
  updateDigest(Stored, true);
}

void MemberTable::extendSuspicions(Instant Until) {
  for (auto &[Id, End] : Suspicions)
    End = std::max(End, Until);
}

void MemberTable::erase(const HostId &Id) {
  const auto Position = lowerBound(Records, Id);
  ByKey.erase(memberKey(Position->Host));
  Records.erase(Position);
  Ended.erase(Id);
}

void MemberTable::forget(Instant Before, std::size_t Limit) {
  std::vector<std::pair<Instant, HostId>> Oldest;
  for (const auto &[Id, Since] : Ended)
    if (Id != Self)
      Oldest.emplace_back(Since, Id);
  std::ranges::sort(Oldest);
  for (std::size_t I = 0; I < Oldest.size(); ++I)
    if (Oldest[I].first < Before || Oldest.size() - I > Limit)
      erase(Oldest[I].second);
}

std::size_t MemberTable::stateBytes() const {
  std::size_t Bytes = Records.capacity() * sizeof(MemberRecord);
  for (const MemberRecord &Record : Records)
    for (const std::string *Text :
         {&Record.Host.Id.value(), &Record.Host.Region.value(),
          &Record.Host.Domain.value(), &Record.Host.Address})
      // Shorter strings are stored within the object.
      Bytes +=
          Text->capacity() > sizeof(std::string) / 2 ? Text->capacity() : 0;
  //! Estimated size of a map node with its key.
  constexpr std::size_t NodeBytes = 96;
  return Bytes + (Suspicions.size() + Ended.size() + ByKey.size()) * NodeBytes;
}

} // namespace masticgap::coordination
