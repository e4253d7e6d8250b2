#include "masticgap/coordination/replica/replicated_table.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Maximum number of tombstones; the oldest are discarded first.
constexpr std::size_t MaxTombstones = 4096;

} // namespace

std::vector<RowChange> ReplicatedTable::replace(const TableSnapshot &Snapshot) {
  if (Loaded && Snapshot.Version < Version)
    return {};
  if (Snapshot.Version.Era > Version.Era) {
    Tombstones.clear(); // They name positions that no longer exist.
    Version = {Snapshot.Version.Era, 0};
  }
  std::map<std::string, const TableRow *> SnapshotRows;
  std::vector<RowChange> Changes;
  for (const TableRow &Row : Snapshot.Rows) {
    SnapshotRows.emplace(Row.Key, &Row);
    const auto RowIt = Rows.find(Row.Key);
    // Workers would be cold again if their unchanged rows were reported.
    if (RowIt != Rows.end() && RowIt->second.Version.Era < Version.Era &&
        RowIt->second.Value == Row.Value)
      RowIt->second.Version = Row.Version;
    else
      Changes.push_back({Row, false});
  }
  for (const auto &[Key, Row] : Rows)
    if (!SnapshotRows.contains(Key))
      Changes.push_back({{Key, {}, Snapshot.Version}, true});
  // A snapshot shows which rows were removed, but not when.
  Horizon = Snapshot.Version;
  Loaded = true;
  return apply(Changes, Snapshot.Version);
}

std::vector<RowChange>
ReplicatedTable::apply(std::span<const RowChange> Changes,
                       StorePosition NewVersion) {
  if (NewVersion.Era != Version.Era)
    return {};
  std::vector<RowChange> Applied;
  for (const RowChange &Change : Changes) {
    const auto RowIt = Rows.find(Change.Row.Key);
    const auto TombstoneIt = Tombstones.find(Change.Row.Key);
    const bool IsStale =
        (RowIt != Rows.end() && Change.Row.Version <= RowIt->second.Version) ||
        (TombstoneIt != Tombstones.end() &&
         Change.Row.Version <= TombstoneIt->second);
    if (IsStale || (Change.Removed && RowIt == Rows.end()))
      continue;
    if (Change.Removed) {
      Rows.erase(RowIt);
      Tombstones[Change.Row.Key] = Change.Row.Version;
    } else {
      Rows[Change.Row.Key] = Change.Row;
    }
    Applied.push_back(Change);
  }
  while (Tombstones.size() > MaxTombstones) {
    const auto Oldest = std::ranges::min_element(
        Tombstones, {}, [](const auto &Entry) { return Entry.second; });
    Horizon = std::max(Horizon, Oldest->second);
    Tombstones.erase(Oldest);
  }
  Version = std::max(Version, NewVersion);
  return Applied;
}

std::optional<std::vector<RowChange>>
ReplicatedTable::changesSince(StorePosition Earlier) const {
  if (!Loaded || Earlier < Horizon)
    return std::nullopt;
  std::vector<RowChange> Changes;
  for (const auto &[Key, Row] : Rows)
    if (Row.Version > Earlier)
      Changes.push_back({Row, false});
  for (const auto &[Key, Removed] : Tombstones)
    if (Removed > Earlier && !Rows.contains(Key))
      Changes.push_back({{Key, {}, Removed}, true});
  std::ranges::sort(Changes, {},
                    [](const RowChange &Change) { return Change.Row.Version; });
  return Changes;
}

const TableRow *ReplicatedTable::find(const std::string &Key) const {
  const auto RowIt = Rows.find(Key);
  return RowIt == Rows.end() ? nullptr : &RowIt->second;
}

TableSnapshot ReplicatedTable::snapshot() const {
  TableSnapshot Snapshot;
  Snapshot.Version = Version;
  for (const auto &[Key, Row] : Rows)
    Snapshot.Rows.push_back(Row);
  return Snapshot;
}

} // namespace masticgap::coordination
