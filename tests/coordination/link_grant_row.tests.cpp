#include "masticgap/coordination/link_grant_row.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;

// Guards against rows that other hosts cannot parse.
TEST_CASE("link grant row: text and value convert both ways") {
  const LinkGrantRow Row{
      7, 500000000, {{HostId("a"), Incarnation{~0ULL}, 3, 100, 200}}};
  const std::string Text =
      R"({"config_version":7,"cap":500000000,"grants":[{"holder":"a",)"
      R"("incarnation":18446744073709551615,"sequence":3,"rate":100,)"
      R"("wanted":200}]})";
  CHECK(toJson(Row) == Text);
  CHECK(parseLinkGrantRow(Text) == Row);
  CHECK(linkGrantKey({RegionName("atl"), RegionName("sav")}) == "atl>sav");
}

// Guards against a corrupt row that is read as a row without grants.
TEST_CASE("link grant row: other texts are refused") {
  const char *Texts[] = {
      "",
      "[]",
      "{}",
      R"({"config_version":7,"cap":5})",
      R"({"config_version":-7,"cap":5,"grants":[]})",
      R"({"config_version":7,"cap":5,"grants":[1]})",
      R"({"config_version":7,"cap":5,"grants":[{"holder":"a"}]})",
  };
  for (const char *Text : Texts) {
    CAPTURE(Text);
    CHECK_FALSE(parseLinkGrantRow(Text));
  }
}
