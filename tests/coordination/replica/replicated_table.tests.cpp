#include "masticgap/coordination/replica/replicated_table.hpp"

#include <doctest/doctest.h>

using namespace masticgap::coordination;

namespace {

TableRow row(std::string Key, std::uint64_t Version) {
  return {std::move(Key), "v" + std::to_string(Version), Version};
}

//! Returns the keys and versions of a copy as text.
std::string content(const ReplicatedTable &Table) {
  std::string Text;
  for (const TableRow &Row : Table.snapshot().Rows)
    Text += Row.Key + std::to_string(Row.Version) + " ";
  return Text + "@" + std::to_string(Table.version());
}

} // namespace

// Guards against a copy that returns to an older version: a replica of the
// store or a peer may lag, and changes may arrive twice or late.
TEST_CASE("a copy of a table never returns to an older version") {
  struct Case {
    const char *Name;
    bool IsSnapshot; //!< The second input is a snapshot.
    std::vector<RowChange> Changes;
    std::uint64_t Version;
    const char *Expected;
    std::size_t Applied;
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
      {"newer snapshot",
       true,
       {{row("b", 5), false}, {row("c", 13), false}},
       13,
       "b5 c13 @13",
       2},
      {"older snapshot", true, {{row("a", 1), false}}, 9, "a1 b5 @10", 0},
      {"snapshot of the same version",
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
    std::size_t Applied = 0;
    if (C.IsSnapshot) {
      TableSnapshot Snapshot;
      Snapshot.Version = C.Version;
      for (const RowChange &Row : C.Changes)
        Snapshot.Rows.push_back(Row.Row);
      Applied = Table.replace(Snapshot).size();
    } else {
      Applied = Table.apply(C.Changes, C.Version).size();
    }
    CHECK(content(Table) == C.Expected);
    CHECK(Applied == C.Applied);
  }
}

TEST_CASE("an older write does not restore a removed row") {
  ReplicatedTable Table;
  Table.replace({{row("a", 5)}, 10});
  Table.apply(std::vector<RowChange>{{row("a", 12), true}}, 12);
  Table.apply(std::vector<RowChange>{{row("a", 11), false}}, 12);
  CHECK(content(Table) == "@12");
  Table.apply(std::vector<RowChange>{{row("a", 13), false}}, 13);
  CHECK(content(Table) == "a13 @13");
}

TEST_CASE("changes since a version bring a peer to the same copy") {
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
  // Removals before the first snapshot are unknown.
  CHECK_FALSE(Source.changesSince(9));
  CHECK_FALSE(ReplicatedTable().changesSince(0));
}
