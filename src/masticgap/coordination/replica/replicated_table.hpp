#pragma once

#include "masticgap/coordination/replica/store_position.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! Row of a table of the store.
struct TableRow {
  std::string Key;
  std::string Value;
  StorePosition Version; //!< Position of the last write to the row.

  friend bool operator==(const TableRow &, const TableRow &) = default;
};

//! A row that was written or removed.
struct RowChange {
  TableRow Row;
  bool Removed = false;

  friend bool operator==(const RowChange &, const RowChange &) = default;
};

//! All rows of a table as of one version.
struct TableSnapshot {
  std::vector<TableRow> Rows;
  StorePosition Version;

  friend bool operator==(const TableSnapshot &,
                         const TableSnapshot &) = default;
};

//! Local copy of a table. Accepts snapshots and changes from any source in any
//! order and never returns to an older position. All its rows are of one era.
class ReplicatedTable {
public:
  //! Replaces the copy by a complete snapshot of the table.
  //! \returns the rows that differ; nothing if the snapshot is older than the
  //! copy. In a snapshot of a later era, rows with an unchanged value do not
  //! differ.
  std::vector<RowChange> replace(const TableSnapshot &Snapshot);

  //! Applies the changes that lead from the copy's version, or an earlier one,
  //! to \p Version. Does not check that they are complete. Changes of another
  //! era have no effect: they do not lead from the copy's version.
  //! \returns the changes that were not known before.
  std::vector<RowChange> apply(std::span<const RowChange> Changes,
                               StorePosition Version);

  //! Returns the position of the copy; 0 before the first snapshot.
  StorePosition version() const { return Version; }
  bool isLoaded() const { return Loaded; }
  //! Returns the changes from an earlier version to that of the copy.
  //! \returns nothing if tombstones since then may have been discarded; then
  //! only a snapshot shows the removals.
  std::optional<std::vector<RowChange>>
  changesSince(StorePosition Earlier) const;
  //! \returns nullptr if there is no such row.
  const TableRow *find(const std::string &Key) const;
  //! Returns the copy as a snapshot for a peer.
  TableSnapshot snapshot() const;

private:
  std::map<std::string, TableRow> Rows;
  //! Versions at which rows were removed, so that older writes that arrive late
  //! are ignored.
  std::map<std::string, StorePosition> Tombstones;
  StorePosition Version;
  //! All removals after this version are contained in Tombstones.
  StorePosition Horizon;
  bool Loaded = false;
};

} // namespace masticgap::coordination
