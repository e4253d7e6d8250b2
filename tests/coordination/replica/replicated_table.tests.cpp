#include "masticgap/coordination/replica/replicated_table.hpp"

#include <doctest/doctest.h>

using namespace masticgap::coordination;

namespace {

TableRow row(std::string Key, std::uint64_t Version) {
  return {std::move(Key), "v" + std::to_string(Version), Version};
}

//! Keys and versions of a copy as one text.
std::string content(const ReplicatedTable &Table) {
  std::string Text;
  for (const TableRow &Each : Table.snapshot().Rows)
    Text += Each.Key + std::to_string(Each.Version) + " ";
  return Text + "@" + std::to_string(Table.version());
}

} // namespace

// Guards against a copy that goes back: a replica of the store that lags, a
// peer that is behind, or changes that arrive twice or late.
TEST_CASE("a copy of a table never goes back") {
  struct Case {
    const char *Name;
    bool Whole; //!< The second input is an image.
    std::vector<RowChange> Changes;
    std::uint64_t Version;
    const char *Expected;
    std::size_t News;
  };
  // Each case starts from rows a1 and b5 at version 10.
  const Case Cases[] = {
      {"newer row", false, {{row("a", 11), false}}, 11, "a11 b5 @11", 1},
      {"older row", false, {{row("b", 4), false}}, 9, "a1 b5 @10", 0},
      {"same row again", false, {{row("b", 5), false}}, 10, "a1 b5 @10", 0},
      {"removal", false, {{row("a", 12), true}}, 12, "b5 @12", 1},
      {"late removal of an older write",
       false,
       {{row("b", 3), true}},
       12,
       "a1 b5 @12",
       0},
      {"removal of an unknown row",
       false,
       {{row("x", 12), true}},
       12,
       "a1 b5 @12",
       0},
      {"newer image",
       true,
       {{row("b", 5), false}, {row("c", 13), false}},
       13,
       "b5 c13 @13",
       2},
      {"older image", true, {{row("a", 1), false}}, 9, "a1 b5 @10", 0},
      {"image of the same version",
       true,
       {{row("a", 1), false}, {row("b", 5), false}},
       10,
       "a1 b5 @10",
       0},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    ReplicatedTable Table;
    Table.replace({{row("a", 1), row("b", 5)}, 10});
    std::size_t News = 0;
    if (C.Whole) {
      TableSnapshot Snapshot;
      Snapshot.Version = C.Version;
      for (const RowChange &Each : C.Changes)
        Snapshot.Rows.push_back(Each.Row);
      News = Table.replace(Snapshot).size();
    } else {
      News = Table.apply(C.Changes, C.Version).size();
    }
    CHECK(content(Table) == C.Expected);
    CHECK(News == C.News);
  }
}

TEST_CASE("a removed row does not come back by an older write") {
  ReplicatedTable Table;
  Table.replace({{row("a", 5)}, 10});
  Table.apply(std::vector<RowChange>{{row("a", 12), true}}, 12);
  Table.apply(std::vector<RowChange>{{row("a", 11), false}}, 12);
  CHECK(content(Table) == "@12");
  Table.apply(std::vector<RowChange>{{row("a", 13), false}}, 13);
  CHECK(content(Table) == "a13 @13");
}

TEST_CASE("changes since a version lead a peer to the same copy") {
  ReplicatedTable Source;
  Source.replace({{row("a", 1), row("b", 5)}, 10});
  ReplicatedTable Peer;
  Peer.replace(Source.snapshot());
  Source.apply(
      std::vector<RowChange>{{row("a", 11), true}, {row("c", 12), false}}, 12);
  const auto Changes = Source.changesSince(Peer.version());
  REQUIRE(Changes);
  Peer.apply(*Changes, Source.version());
  CHECK(content(Peer) == content(Source));
  // Removals before the first image are not known.
  CHECK_FALSE(Source.changesSince(9));
  CHECK_FALSE(ReplicatedTable().changesSince(0));
}
