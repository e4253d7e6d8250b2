#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace masticgap::ctl {

//! Text table with aligned columns.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header);

  //! Adds a row; missing cells are shown as "-".
  void add(std::vector<std::string> Cells);

  bool empty() const { return Rows.size() == 1; }

  friend std::ostream &operator<<(std::ostream &Out, const TextTable &Table);

private:
  std::vector<std::vector<std::string>> Rows; //!< The first one is the header.
};

} // namespace masticgap::ctl
