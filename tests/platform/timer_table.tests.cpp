// The table of timers in docs/invariants.md against the sources.
#include <doctest/doctest.h>

#include <chrono>
#include <fstream>
#include <map>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

namespace {

using Milliseconds = std::chrono::milliseconds;

std::string readFile(const std::string &Path) {
  std::ifstream File(std::string(MASTICGAP_GOLDEN_DIR) + "/../../" + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

Milliseconds duration(const std::string &Count, const std::string &Unit) {
  const int Number = std::stoi(Count);
  if (Unit == "ms" || Unit == "milliseconds")
    return Milliseconds(Number);
  if (Unit == "s" || Unit == "seconds")
    return std::chrono::seconds(Number);
  return std::chrono::minutes(Number);
}

//! Reads "2500 ms", "3 s" or "10 min"; negative if it is none of them.
Milliseconds parseValue(const std::string &Text) {
  std::smatch Match;
  if (!std::regex_match(Text, Match, std::regex(R"((\d+) (ms|s|min))")))
    return Milliseconds(-1);
  return duration(Match[1], Match[2]);
}

//! Returns the value of a constant in a source file; negative if there is none.
Milliseconds constantOf(const std::string &Source, const std::string &Name) {
  const std::string Units = "(milliseconds|seconds|minutes)";
  std::smatch Match;
  if (std::regex_search(Source, Match,
                        std::regex(Units + R"(\s+)" + Name + R"(\{(\d+)\})")) ||
      std::regex_search(Source, Match,
                        std::regex(Name + R"(\s*=\s*(?:std::chrono::)?)" +
                                   Units + R"([({](\d+)[)}])")))
    return duration(Match[2], Match[1]);
  return Milliseconds(-1);
}

//! Cells of the table rows of a section, without backquotes.
std::vector<std::vector<std::string>> tableRows(const std::string &Section) {
  std::vector<std::vector<std::string>> Rows;
  std::istringstream Lines(Section);
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("| "))
      continue;
    std::erase(Line, '`');
    std::vector<std::string> Cells;
    std::istringstream Parts(Line.substr(1));
    for (std::string Cell; std::getline(Parts, Cell, '|');)
      Cells.push_back(Cell.size() > 2 ? Cell.substr(1, Cell.size() - 2) : "");
    Rows.push_back(std::move(Cells));
  }
  return Rows;
}

} // namespace

// Guards against a timer that is changed without its bound: old knowledge would
// act for longer than a rule permits.
TEST_CASE("the table of timers states the constants of the code") {
  const std::string Page = readFile("docs/invariants.md");
  const std::size_t Begin = Page.find("## Timers\n");
  REQUIRE(Begin != std::string::npos);
  const std::string Section =
      Page.substr(Begin, Page.find("\n## ", Begin + 1) - Begin);
  std::map<std::string, Milliseconds> Constants; // Also by Name@file.
  int Sums = 0;
  for (const auto &Row : tableRows(Section)) {
    REQUIRE(Row.size() >= 5);
    CAPTURE(Row[0]);
    if (const Milliseconds Stated = parseValue(Row[2]);
        Stated >= Milliseconds(0) && Row[1].find('/') != std::string::npos) {
      const Milliseconds Actual = constantOf(readFile(Row[1]), Row[0]);
      CHECK(Actual.count() == Stated.count());
      Constants[Row[0]] = Actual;
      Constants[Row[0] + "@" + Row[1].substr(Row[1].rfind('/') + 1)] = Actual;
    } else if (Stated >= Milliseconds(0)) {
      Milliseconds Sum{0};
      std::istringstream Terms(Row[1]);
      for (std::string Term; Terms >> Term;)
        if (Term != "+") {
          CAPTURE(Term);
          REQUIRE(Constants.contains(Term));
          Sum += Constants[Term];
        }
      CHECK(Sum.count() == Stated.count());
      CHECK(Sum <= parseValue(Row[3]));
      ++Sums;
    }
  }
  CHECK(Constants.size() > 60);
  CHECK(Sums >= 6);
}
