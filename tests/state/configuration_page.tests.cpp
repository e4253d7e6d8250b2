#include "masticgap/state/config_diff.hpp"
#include "masticgap/state/config_keys.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace masticgap;

namespace {

std::string readPage() {
  std::ifstream File(MASTICGAP_GOLDEN_DIR "/../../docs/configuration.md");
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

//! Returns the row for a key in the tables of the page; empty if there is none.
std::string tableRow(const std::string &Page, std::string_view Key) {
  const auto At = Page.find("\n| `" + std::string(Key) + "` |");
  if (At == std::string::npos)
    return {};
  return Page.substr(At + 1, Page.find('\n', At + 1) - At - 1);
}

} // namespace

TEST_CASE("the reference page has a row for each key that the parser accepts") {
  const std::string Page = readPage();
  for (const std::string_view Key : configKeys()) {
    CAPTURE(Key);
    CHECK_FALSE(tableRow(Page, Key).empty());
  }
}

TEST_CASE("the reference page states the default values of the code") {
  const std::string Page = readPage();
  for (const auto &[Key, Value] : flatten(ConfigDocument())) {
    const std::string Row = tableRow(Page, Key);
    CAPTURE(Row);
    CHECK(Row.ends_with("| " + Value + " |"));
  }
}
