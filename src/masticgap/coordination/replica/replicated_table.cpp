#include "masticgap/coordination/replica/replicated_table.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::coordination {

namespace {

//! Tombstones kept, in rows; the oldest go first.
constexpr std::size_t MaxTombstones = 4096;

} // namespace

std::vector<RowChange> ReplicatedTable::replace(const TableSnapshot &Snapshot) {
  if (Loaded && Snapshot.Version < Version)
    return {};
  std::map<std::string, const TableRow *> Given;
  std::vector<RowChange> Changes;
  for (const TableRow &Row : Snapshot.Rows) {
    Given.emplace(Row.Key, &Row);
    Changes.push_back({Row, false});
  }
  for (const auto &[Key, Row] : Rows)
    if (!Given.contains(Key))
      Changes.push_back({{Key, {}, Snapshot.Version}, true});
  // An image tells which rows are gone, but not when they were removed.
  Horizon = Snapshot.Version;
  Loaded = true;
  return apply(Changes, Snapshot.Version);
}

std::vector<RowChange>
ReplicatedTable::apply(std::span<const RowChange> Changes,
                       std::uint64_t NewVersion) {
  std::vector<RowChange> News;
  for (const RowChange &Each : Changes) {
    const auto Known = Rows.find(Each.Row.Key);
    const auto Gone = Tombstones.find(Each.Row.Key);
    const bool Older =
        (Known != Rows.end() && Each.Row.Version <= Known->second.Version) ||
        (Gone != Tombstones.end() && Each.Row.Version <= Gone->second);
    if (Older || (Each.Removed && Known == Rows.end()))
      continue;
    if (Each.Removed) {
      Rows.erase(Known);
      Tombstones[Each.Row.Key] = Each.Row.Version;
    } else {
      Rows[Each.Row.Key] = Each.Row;
    }
    News.push_back(Each);
  }
  while (Tombstones.size() > MaxTombstones) {
    const auto Oldest = std::ranges::min_element(
        Tombstones, {}, [](const auto &Entry) { return Entry.second; });
    Horizon = std::max(Horizon, Oldest->second);
    Tombstones.erase(Oldest);
  }
  Version = std::max(Version, NewVersion);
  return News;
}

std::optional<std::vector<RowChange>>
ReplicatedTable::changesSince(std::uint64_t Earlier) const {
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
                    [](const RowChange &Each) { return Each.Row.Version; });
  return Changes;
}

TableSnapshot ReplicatedTable::snapshot() const {
  TableSnapshot Snapshot;
  Snapshot.Version = Version;
  for (const auto &[Key, Row] : Rows)
    Snapshot.Rows.push_back(Row);
  return Snapshot;
}

} // namespace masticgap::coordination
