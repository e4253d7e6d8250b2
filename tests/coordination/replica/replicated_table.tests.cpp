#include "masticgap/coordination/replica/replicated_table.hpp"

#include <doctest/doctest.h>

using namespace masticgap::coordination;

namespace {

//! Returns a position in the first era.
StorePosition at(std::uint64_t Version) { return {0, Version}; }

TableRow row(std::string Key, std::uint64_t Version) {
  return {std::move(Key), "v" + std::to_string(Version), at(Version)};
}

//! Returns the keys and versions of a copy as text.
std::string content(const ReplicatedTable &Table) {
  std::string Text;
  for (const TableRow &Row : Table.snapshot().Rows)
    Text += Row.Key + std::to_string(Row.Version.Version) + " ";
  return Text + "@" + std::to_string(Table.version().Version);
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
    Table.replace({{row("a", 1), row("b", 5)}, at(10)});
    std::size_t Applied = 0;
    if (C.IsSnapshot) {
      TableSnapshot Snapshot;
      Snapshot.Version = at(C.Version);
      for (const RowChange &Row : C.Changes)
        Snapshot.Rows.push_back(Row.Row);
      Applied = Table.replace(Snapshot).size();
    } else {
      Applied = Table.apply(C.Changes, at(C.Version)).size();
    }
    CHECK(content(Table) == C.Expected);
    CHECK(Applied == C.Applied);
  }
}

TEST_CASE("an older write does not restore a removed row") {
  ReplicatedTable Table;
  Table.replace({{row("a", 5)}, at(10)});
  Table.apply(std::vector<RowChange>{{row("a", 12), true}}, at(12));
  Table.apply(std::vector<RowChange>{{row("a", 11), false}}, at(12));
  CHECK(content(Table) == "@12");
  Table.apply(std::vector<RowChange>{{row("a", 13), false}}, at(13));
  CHECK(content(Table) == "a13 @13");
}

TEST_CASE("changes since a version bring a peer to the same copy") {
  ReplicatedTable Source;
  Source.replace({{row("a", 1), row("b", 5)}, at(10)});
  ReplicatedTable Peer;
  Peer.replace(Source.snapshot());
  Source.apply(
      std::vector<RowChange>{{row("a", 11), true}, {row("c", 12), false}},
      at(12));
  const auto Changes = Source.changesSince(Peer.version());
  REQUIRE(Changes);
  Peer.apply(*Changes, Source.version());
  CHECK(content(Peer) == content(Source));
  // Removals before the first snapshot are unknown.
  CHECK_FALSE(Source.changesSince(at(9)));
  CHECK_FALSE(ReplicatedTable().changesSince({}));
}

// Guards against a copy that ignores a restored store, because its versions are
// lower, or that follows an answer from before the restore.
TEST_CASE("a copy of a table follows the eras of the store") {
  struct Case {
    const char *Name;
    bool IsSnapshot;
    std::vector<RowChange> Changes;
    StorePosition Version;
    const char *Expected;
    std::size_t Applied;
  };
  const auto In = [](StoreEra Era, std::string Key, std::uint64_t Version,
                     bool Removed = false) {
    TableRow Row = row(std::move(Key), Version);
    Row.Version.Era = Era;
    return RowChange{Row, Removed};
  };
  // Each case starts from rows a1 and b5 at version 10 of era 2.
  const Case Cases[] = {
      {"snapshot of a later era", true, {In(3, "a", 2)}, {3, 4}, "a2 @4", 2},
      {"unchanged row in a later era",
       true,
       {{{"a", "v1", {3, 1}}, false}, {{"b", "v5", {3, 2}}, false}},
       {3, 4},
       "a1 b2 @4",
       0},
      {"snapshot of an earlier era",
       true,
       {In(1, "a", 20)},
       {1, 20},
       "a1 b5 @10",
       0},
      {"changes of an earlier era",
       false,
       {In(1, "c", 20), In(1, "a", 21, true)},
       {1, 21},
       "a1 b5 @10",
       0},
      {"changes of a later era without its snapshot",
       false,
       {In(3, "c", 3)},
       {3, 3},
       "a1 b5 @10",
       0},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    ReplicatedTable Table;
    Table.replace({{In(2, "a", 1).Row, In(2, "b", 5).Row}, {2, 10}});
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
    CHECK(Table.changesSince({1, 500}) == std::nullopt);
  }
}

// Guards against a version that runs into the era of the packed number.
TEST_CASE("a packed position keeps its order") {
  const StorePosition Ascending[] = {
      {0, 0}, {0, 7},     {0, StorePosition::MaxVersion},    {1, 0},
      {1, 3}, {65535, 0}, {65535, StorePosition::MaxVersion}};
  for (std::size_t I = 0; I < std::size(Ascending); ++I) {
    CHECK(StorePosition::unpack(Ascending[I].packed()) == Ascending[I]);
    if (I > 0) {
      CHECK(Ascending[I - 1] < Ascending[I]);
      CHECK(Ascending[I - 1].packed() < Ascending[I].packed());
    }
  }
  CHECK(StorePosition(1, StorePosition::MaxVersion + 9).packed() <
        StorePosition(2, 0).packed());
}
