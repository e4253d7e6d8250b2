#include "masticgap/coordination/config_change.hpp"

#include "config_test_document.hpp"
#include "masticgap/coordination/config_rows.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using namespace masticgap::coordination;
using tests::testDocument;

namespace {

//! Answer of the store to the next call of the change.
enum class Reply {
  Commit,
  LostBefore, //!< The call had no effect.
  LostAfter,  //!< The transaction took effect, and nothing takes effect later.
  Conflict,   //!< Another change took effect first.
  ChangeRowExists, //!< The row of this change exists already.
  Found,
  Absent,
  Winner,
  StaleWinner,
  OldDocument, //!< The row is newer than the base row, its document older.
  BadWinner
};

StoreAnswer answer(Reply R, std::uint64_t Id) {
  switch (R) {
  case Reply::Commit:
    return StoreCommitted{Id, 12};
  case Reply::LostBefore:
  case Reply::LostAfter:
    return StoreLost{Id};
  case Reply::Conflict:
    return StoreConflict{Id, {1}};
  case Reply::ChangeRowExists:
    return StoreConflict{Id, {0, 1}};
  case Reply::Found:
    return StoreRow{Id, true, 12, "6"};
  case Reply::Absent:
    return StoreRow{Id, false, 0, ""};
  case Reply::Winner:
    return StoreRow{Id, true, 12, toJson(testDocument(6, "other"))};
  case Reply::StaleWinner:
    return StoreRow{Id, true, 10, toJson(testDocument(5))};
  case Reply::OldDocument:
    return StoreRow{Id, true, 11, toJson(testDocument(4))};
  case Reply::BadWinner:
    return StoreRow{Id, true, 12, "{"};
  }
  return StoreLost{Id};
}

} // namespace

TEST_CASE("a change ends with a proven outcome or as unsettled") {
  enum class End { Accepted, Raced, RacedUnseen, Unsettled };
  struct Case {
    const char *Name;
    std::vector<Reply> Replies; //!< The last one is repeated.
    End Expected;
  };
  using R = Reply;
  const Case Cases[] = {
      {"committed", {R::Commit}, End::Accepted},
      {"lost before the effect",
       {R::LostBefore, R::Absent, R::Commit},
       End::Accepted},
      {"lost after the effect", {R::LostAfter, R::Found}, End::Accepted},
      {"lost after the effect, stale read",
       {R::LostAfter, R::Absent, R::ChangeRowExists},
       End::Accepted},
      {"lost twice, took effect late",
       {R::LostBefore, R::LostBefore, R::Absent, R::LostAfter, R::Found},
       End::Accepted},
      {"race", {R::Conflict, R::Winner}, End::Raced},
      {"race, winner read late",
       {R::Conflict, R::StaleWinner, R::LostBefore, R::Absent, R::Winner},
       End::Raced},
      {"race, older document first",
       {R::Conflict, R::OldDocument, R::Winner},
       End::Raced},
      {"race after a loss",
       {R::LostBefore, R::Absent, R::Conflict, R::Winner},
       End::Raced},
      {"race, winner never seen",
       {R::Conflict, R::StaleWinner},
       End::RacedUnseen},
      {"race, winner does not parse",
       {R::Conflict, R::BadWinner},
       End::RacedUnseen},
      {"lost, then only older rows",
       {R::LostBefore, R::Absent, R::Conflict, R::StaleWinner},
       End::Unsettled},
      {"store down", {R::LostBefore}, End::Unsettled},
  };
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    ConfigChange Change(testDocument(6, "mine"), 10,
                        Instant(std::chrono::seconds(30)));
    Instant Now{};
    std::size_t Next = 0;
    std::optional<ConfigChangeResult> Result;
    std::vector<ConfigChangeAction> Actions =
        Change.handle(ConfigChangeTick{}, Now);
    for (int Step = 0; Step < 200 && !Result; ++Step) {
      if (Actions.empty()) {
        Now = Change.nextTick();
        Actions = Change.handle(ConfigChangeTick{}, Now);
      }
      REQUIRE(Actions.size() == 1);
      if (const auto *Done = std::get_if<ConfigChangeDone>(&Actions[0])) {
        Result = Done->Result;
        break;
      }
      const auto *Read = std::get_if<StoreRead>(&Actions[0]);
      const std::uint64_t Id =
          Read ? Read->CallId : std::get<StoreTransact>(Actions[0]).CallId;
      const Reply NextReply = C.Replies[std::min(Next++, C.Replies.size() - 1)];
      Actions = Change.handle(ConfigChangeAnswered{answer(NextReply, Id)}, Now);
    }
    REQUIRE(Result);
    const auto *Raced = std::get_if<ChangeRaced>(&*Result);
    CHECK(std::holds_alternative<ChangeAccepted>(*Result) ==
          (C.Expected == End::Accepted));
    CHECK(std::holds_alternative<ChangeUnsettled>(*Result) ==
          (C.Expected == End::Unsettled));
    CHECK((Raced && Raced->Winner) == (C.Expected == End::Raced));
    CHECK((Raced && !Raced->Winner) == (C.Expected == End::RacedUnseen));
    CHECK(Now <= Instant(std::chrono::seconds(30)));
    CHECK(Change.handle(ConfigChangeTick{}, Now).empty());
  }
}

TEST_CASE("the transaction is conditional on the base row and the change id") {
  const ConfigDocument Base = testDocument(5);
  ConfigDocument Edited = Base;
  Edited.Defaults.MaxShift = 0.25;
  const ConfigDocument Next =
      prepareChange(Base, Edited, {"mine", "ben", "less shift"});
  CHECK(Next.Version == 6);
  CHECK(Next.BaseVersion == 5);
  CHECK(Next.Operator == "ben");
  CHECK(Next.Reason == "less shift");
  CHECK(Next.Defaults.MaxShift == 0.25);
  ConfigChange Change(Next, 10, Instant::max());
  const auto Actions = Change.handle(ConfigChangeTick{}, Instant{});
  REQUIRE(Actions.size() == 1);
  const auto &Call = std::get<StoreTransact>(Actions[0]);
  const std::string Json = toJson(Next);
  CHECK(Call.Ops == std::vector<StoreOp>{
                        {StoreOp::Kind::Put, "config", "change/mine", "6", 0},
                        {StoreOp::Kind::Put, "config", "current", Json, 10},
                        {StoreOp::Kind::Put, "config",
                         "history/00000000000000000006", Json, std::nullopt}});
  CHECK(configHistoryKey(9) < configHistoryKey(10));
}
