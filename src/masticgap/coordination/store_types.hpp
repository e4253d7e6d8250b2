#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticgap::coordination {

//! Operation of a table service transaction.
struct StoreOp {
  enum class Kind { Put, Delete, Check };
  Kind What = Kind::Put;
  std::string Table;
  std::string Key;
  std::string Value;
  //! Required version of the row; 0 requires that the row is absent.
  std::optional<std::uint64_t> IfVersion;

  friend bool operator==(const StoreOp &, const StoreOp &) = default;
};

//! Request to apply operations atomically.
struct StoreTransact {
  std::uint64_t CallId = 0;
  std::vector<StoreOp> Ops;

  friend bool operator==(const StoreTransact &,
                         const StoreTransact &) = default;
};

//! Request to read one row.
struct StoreRead {
  std::uint64_t CallId = 0;
  std::string Table;
  std::string Key;

  friend bool operator==(const StoreRead &, const StoreRead &) = default;
};

//! The transaction took effect; all rows that it wrote now have this version.
struct StoreCommitted {
  std::uint64_t CallId = 0;
  std::uint64_t Version = 0;
};

//! The transaction had no effect, because the conditions of these operations
//! failed.
struct StoreConflict {
  std::uint64_t CallId = 0;
  std::vector<std::size_t> FailedOps;
};

//! Result of a read.
struct StoreRow {
  std::uint64_t CallId = 0;
  bool Found = false;
  std::uint64_t Version = 0;
  std::string Value;
};

//! No answer arrived; a transaction may or may not have taken effect.
struct StoreLost {
  std::uint64_t CallId = 0;
};

//! Store call that the caller of the state machine has to make.
using StoreCall = std::variant<StoreTransact, StoreRead>;

//! Answer that the caller returns to the state machine.
using StoreAnswer =
    std::variant<StoreCommitted, StoreConflict, StoreRow, StoreLost>;

} // namespace masticgap::coordination
