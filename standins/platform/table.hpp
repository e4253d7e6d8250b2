#pragma once

#include "masticgap/coordination/store_types.hpp"
#include "masticgap/protocol/platform_json.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace masticgap::standins {

//! Transactional table service of the stand-in platform, without I/O. One
//! monotonic counter gives the versions of all rows.
class Table {
public:
  //! Outcome of a transaction: a version, or the operations that failed.
  struct Result {
    std::uint64_t Version = 0;
    std::vector<std::size_t> Failed;
  };
  struct Row {
    std::uint64_t Version = 0;
    std::string Value;
  };

  //! Applies all operations or none.
  Result transact(const std::vector<coordination::StoreOp> &Ops);

  std::optional<Row> read(std::string_view Table, std::string_view Key) const;
  std::vector<protocol::TableRow> scan(std::string_view Table,
                                       std::string_view Prefix,
                                       std::size_t Limit) const;

  //! Stores a snapshot of the current rows for serveOld() and restore().
  void keepSnapshot() { Snapshot = Rows; }
  //! Makes reads and scans return the snapshot; transactions use the current
  //! rows.
  void serveOld(bool On) { ServesOld = On; }
  //! Replaces all rows by the snapshot, as after a restore from a backup.
  void restore() { Rows = Snapshot; }

private:
  using RowKey = std::pair<std::string, std::string>;
  using RowMap = std::map<RowKey, Row>;

  const RowMap &readable() const { return ServesOld ? Snapshot : Rows; }
  bool conditionHolds(const coordination::StoreOp &Op) const;

  RowMap Rows;
  RowMap Snapshot;
  bool ServesOld = false;
  std::uint64_t LastVersion = 0;
};

} // namespace masticgap::standins
