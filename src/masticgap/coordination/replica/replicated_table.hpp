#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticgap::coordination {

//! One row of a table that is kept elsewhere.
struct TableRow {
  std::string Key;
  std::string Value;
  std::uint64_t Version = 0; //!< Version of the last write to the row.

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
  std::uint64_t Version = 0;

  friend bool operator==(const TableSnapshot &,
                         const TableSnapshot &) = default;
};

//! Local copy of a table. It takes images and changes from any source in any
//! order, and never goes back to an older version.
class ReplicatedTable {
public:
  //! Takes a whole image of the table.
  //! \returns the rows that differ; nothing when the image is older than the
  //! copy.
  std::vector<RowChange> replace(const TableSnapshot &Snapshot);

  //! Takes changes that lead up to a version.
  //! \returns the changes that were news.
  std::vector<RowChange> apply(std::span<const RowChange> Changes,
                               std::uint64_t Version);

  //! Version that the copy reflects; 0 before the first image.
  std::uint64_t version() const { return Version; }
  bool isLoaded() const { return Loaded; }
  //! Changes that lead from an earlier version to the copy's.
  //! \returns nothing when removals since then may have been forgotten; then
  //! only an image tells them.
  std::optional<std::vector<RowChange>>
  changesSince(std::uint64_t Earlier) const;
  //! The copy as an image, for a peer.
  TableSnapshot snapshot() const;

private:
  std::map<std::string, TableRow> Rows;
  //! Versions at which rows were removed, so that older writes of them that
  //! arrive late are recognised.
  std::map<std::string, std::uint64_t> Tombstones;
  std::uint64_t Version = 0;
  //! All removals after this version are among the tombstones.
  std::uint64_t Horizon = 0;
  bool Loaded = false;
};

} // namespace masticgap::coordination
