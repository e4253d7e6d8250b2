#include "standins/platform/table.hpp"

namespace masticgap::standins {

using coordination::StoreOp;

bool Table::conditionHolds(const StoreOp &Op) const {
  const auto It = Rows.find({Op.Table, Op.Key});
  // A check without a version requires that the row exists.
  if (!Op.IfVersion)
    return Op.What != StoreOp::Kind::Check || It != Rows.end();
  const std::uint64_t CurrentVersion =
      It == Rows.end() ? 0 : It->second.Version;
  return CurrentVersion == *Op.IfVersion;
}

Table::Result Table::transact(const std::vector<StoreOp> &Ops) {
  Result R;
  for (std::size_t I = 0; I < Ops.size(); ++I)
    if (!conditionHolds(Ops[I]))
      R.Failed.push_back(I);
  if (!R.Failed.empty())
    return R;
  R.Version = ++LastVersion;
  for (const StoreOp &Op : Ops) {
    if (Op.What == StoreOp::Kind::Put)
      Rows[{Op.Table, Op.Key}] = {R.Version, Op.Value};
    else if (Op.What == StoreOp::Kind::Delete)
      Rows.erase({Op.Table, Op.Key});
  }
  return R;
}

std::optional<Table::Row> Table::read(std::string_view Table,
                                      std::string_view Key) const {
  const auto It = readable().find({std::string(Table), std::string(Key)});
  if (It == readable().end())
    return std::nullopt;
  return It->second;
}

std::vector<protocol::TableRow> Table::scan(std::string_view Table,
                                            std::string_view Prefix,
                                            std::size_t Limit) const {
  std::vector<protocol::TableRow> Matches;
  auto It = readable().lower_bound({std::string(Table), std::string(Prefix)});
  for (; It != readable().end() && Matches.size() < Limit; ++It) {
    const auto &[RowTable, Key] = It->first;
    if (RowTable != Table || !Key.starts_with(Prefix))
      break;
    Matches.push_back({Key, It->second.Version, It->second.Value});
  }
  return Matches;
}

} // namespace masticgap::standins
