#pragma once

#include "masticgap/coordination/store_types.hpp"

#include <map>
#include <string>
#include <utility>

namespace masticgap::coordination::tests {

//! In-memory table service with conditional transactions and one version
//! counter.
class FakeTable {
public:
  StoreAnswer operator()(const StoreTransact &Call) {
    ++Writes;
    StoreConflict Conflict{Call.CallId, {}};
    for (std::size_t I = 0; I < Call.Ops.size(); ++I) {
      const StoreOp &Op = Call.Ops[I];
      if (Op.IfVersion && *Op.IfVersion != version(Op.Table, Op.Key))
        Conflict.FailedOps.push_back(I);
    }
    if (!Conflict.FailedOps.empty())
      return Conflict;
    ++Version;
    for (const StoreOp &Op : Call.Ops)
      if (Op.What == StoreOp::Kind::Put)
        Rows[{Op.Table, Op.Key}] = {Version, Op.Value};
    return StoreCommitted{Call.CallId, Version};
  }

  StoreAnswer operator()(const StoreRead &Call) {
    ++Reads;
    const auto Found = Rows.find({Call.Table, Call.Key});
    if (Found == Rows.end())
      return StoreRow{Call.CallId, false, 0, ""};
    return StoreRow{Call.CallId, true, Found->second.first,
                    Found->second.second};
  }

  unsigned Writes = 0;
  unsigned Reads = 0;

private:
  std::uint64_t version(const std::string &Table,
                        const std::string &Key) const {
    const auto Found = Rows.find({Table, Key});
    return Found == Rows.end() ? 0 : Found->second.first;
  }

  std::uint64_t Version = 0;
  std::map<std::pair<std::string, std::string>,
           std::pair<std::uint64_t, std::string>>
      Rows;
};

} // namespace masticgap::coordination::tests
