#include "ctl/text_table.hpp"

#include <algorithm>
#include <utility>

namespace masticgap::ctl {

TextTable::TextTable(std::vector<std::string> Header) {
  Rows.push_back(std::move(Header));
}

void TextTable::add(std::vector<std::string> Cells) {
  Cells.resize(Rows[0].size());
  for (std::string &Cell : Cells)
    if (Cell.empty())
      Cell.assign(1, '-'); // Assigning "-" triggers a GCC 12 overlap warning.
  Rows.push_back(std::move(Cells));
}

std::ostream &operator<<(std::ostream &Out, const TextTable &Table) {
  std::vector<std::size_t> Widths(Table.Rows[0].size());
  for (const auto &Row : Table.Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const auto &Row : Table.Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + 2, ' ');
    }
    Out << Line << '\n';
  }
  return Out;
}

} // namespace masticgap::ctl
