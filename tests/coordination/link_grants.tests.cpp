#include "masticgap/coordination/link_grants.hpp"
#include "masticgap/coordination/internal/grant_plan.hpp"
#include "masticgap/coordination/link_grant_row.hpp"
#include "masticgap/coordination/link_limits.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace masticgap;
using namespace masticgap::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const RegionPair Pair{RegionName("atl"), RegionName("sav")};
const HostId Self("self");
const HostId Other("other");
constexpr Incarnation Run{5};
constexpr double Cap = 10e6;
constexpr auto Leasable = static_cast<std::uint64_t>(Cap * LinkLeasedShare);

ConfigDocument config(std::uint64_t Version, std::uint32_t Mbit) {
  ConfigDocument C;
  C.Version = Version;
  C.Defaults.MaxEntryHosts = 10;
  C.Defaults.LinkCaps = {{Pair.From, Pair.To, Mbit}};
  return C;
}

//! One host whose store calls the test answers explicitly.
class Holder {
public:
  Holder() { handle(LinkConfigApplied{config(1, 80)}); }

  void handle(const LinkGrantEvent &Event) {
    for (LinkGrantAction &A : Grants.handle(Event, Now)) {
      if (const auto *G = std::get_if<LinkGrant>(&A))
        Spendable = *G;
      else if (const auto *C = std::get_if<LinkCapSeen>(&A))
        CapSeen = *C;
      else if (const auto *R = std::get_if<StoreRead>(&A))
        Read = *R;
      else if (const auto *T = std::get_if<StoreTransact>(&A))
        Write = *T;
    }
  }
  //! Reports full demand and advances the time to the next read.
  void untilRead() {
    Read.reset();
    while (!Read) {
      handle(LinkDemand{Pair, Cap, true});
      Now += milliseconds(10);
      handle(LinkTick{});
    }
  }
  //! Answers the read. \returns the write that follows.
  LinkGrantRow readThenWrite(const LinkGrantRow &Row, std::uint64_t Version) {
    untilRead();
    Write.reset();
    handle(StoreRow{Read->CallId, Version > 0, Version, toJson(Row)});
    REQUIRE(Write);
    CHECK(Write->Ops[0].IfVersion == Version);
    return *parseLinkGrantRow(Write->Ops[0].Value);
  }
  double rate() const {
    return Now < Spendable.ExpiresAt ? Spendable.BytesPerSecond : 0;
  }

  Instant Now{std::chrono::hours(2)};
  LinkGrant Spendable;
  std::optional<LinkCapSeen> CapSeen;
  std::optional<StoreRead> Read;
  std::optional<StoreTransact> Write;

private:
  LinkGrants Grants{Self, Run, 1};
};

LinkGrantRow rowOf(std::vector<LinkGrantEntry> Entries) {
  return {1, static_cast<std::uint64_t>(Cap), std::move(Entries)};
}

} // namespace

// Guards against a lease that starts at the answer instead of before the write.
TEST_CASE("link grants: the lease counts from before the write was sent") {
  Holder H;
  const LinkGrantRow Row = H.readThenWrite({}, 0);
  const Instant SentAt = H.Now;
  CHECK(Row.Entries[0].Rate == Leasable);
  H.Now += milliseconds(700);
  CHECK(H.rate() == 0);
  H.handle(StoreCommitted{H.Write->CallId, 1});
  CHECK(H.rate() == Leasable);
  CHECK(H.Spendable.ExpiresAt == SentAt + LinkLease);
}

// Guards against using a grant whose write got no answer before a read confirms
// it.
TEST_CASE("link grants: a write without an answer is settled by reading") {
  struct Case {
    std::string Name;
    bool TookEffect;
    Duration AnswerAfter;
    bool Spendable;
  };
  const Case Cases[] = {
      {"it took effect", true, milliseconds(100), true},
      {"it had no effect", false, milliseconds(100), false},
      {"it took effect and its lease ended", true, seconds(11), false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    Holder H;
    const LinkGrantRow Written = H.readThenWrite({}, 0);
    H.handle(StoreLost{H.Write->CallId});
    CHECK(H.rate() == 0);
    H.untilRead();
    CHECK(H.rate() == 0);
    H.Now += C.AnswerAfter;
    // An answer that arrives after the time-out of the call has no effect.
    H.handle(StoreCommitted{H.Write->CallId, 1});
    CHECK(H.rate() == 0);
    H.handle(StoreRow{H.Read->CallId, C.TookEffect, C.TookEffect ? 1U : 0U,
                      toJson(Written)});
    CHECK((H.rate() > 0) == C.Spendable);
  }
}

// Guards against a conflicting write that is treated as committed, and against
// a lost call that blocks the lease.
TEST_CASE("link grants: conflicts and lost reads lead to another read") {
  Holder H;
  H.untilRead();
  H.handle(StoreLost{H.Read->CallId});
  H.readThenWrite({}, 0);
  H.handle(StoreConflict{H.Write->CallId, {0}});
  CHECK(H.rate() == 0);
  const LinkGrantRow Row =
      H.readThenWrite(rowOf({{Other, {1}, 4, 3000000, 3000000}}), 6);
  CHECK(Row.Entries.back().Rate == Leasable - 3000000);
  H.handle(StoreCommitted{H.Write->CallId, 7});
  CHECK(H.rate() == Leasable - 3000000);
}

// Guards against a rate that two hosts hold at once, and against a rate that no
// host gets.
TEST_CASE("link grants: entries of others are held until their lease ended") {
  struct Case {
    std::string Name;
    Duration Between;
    std::uint64_t LaterSequence;
    bool Reused;
  };
  const Case Cases[] = {
      {"unchanged for less than the lease", milliseconds(9900), 4, false},
      {"unchanged for the lease without the 1 %", milliseconds(10050), 4,
       false},
      {"unchanged for the lease and 1 %", milliseconds(10200), 4, true},
      {"renewed in between", milliseconds(10200), 5, false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const internal::LeaseOwner Owner{Self, Run};
    internal::EntryObserver Observer;
    // An earlier incarnation of this host counts as another holder.
    LinkGrantRow Row = rowOf({{Self, {1}, 4, Leasable, Leasable}});
    const Instant Start{seconds(50)};
    Observer.observe(Row.Entries, Start);
    Row.Entries[0].Sequence = C.LaterSequence;
    Observer.observe(Row.Entries, Start + C.Between);
    const auto Plan = internal::planGrant(
        Row, Owner, Observer, {1e6, Leasable, 0}, Start + C.Between);
    CHECK(Plan.Rate == (C.Reused ? 1e6 : 0));
    CHECK(Plan.Others.empty() == C.Reused);
  }
}

// Guards against a busy host that starves others.
TEST_CASE("link grants: fair shares") {
  struct Case {
    double Capacity;
    std::vector<double> Wants;
    double Expected;
  };
  const Case Cases[] = {
      {100, {40}, 40},
      {100, {400}, 100},
      {100, {400, 400}, 50},
      {100, {400, 10, 30}, 60},
      {100, {10, 400, 400}, 10},
      {100, {60, 20, 400}, 40},
      {0, {10}, 0},
      {-5, {10, 10}, 0},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Wants.size());
    CHECK(internal::fairShare(C.Capacity, C.Wants) == C.Expected);
  }
}

// Guards against a rate that others receive while this host's budget still
// spends it.
TEST_CASE("link grants: a lowered rate is out of the budget before the write") {
  Holder H;
  LinkGrantRow Row = H.readThenWrite({}, 0);
  H.handle(StoreCommitted{H.Write->CallId, 1});
  REQUIRE(H.rate() == Leasable);
  Row.Entries.push_back({Other, {1}, 1, 0, Leasable});
  const LinkGrantRow Next = H.readThenWrite(Row, 2);
  CHECK(Next.Entries.back().Rate == Leasable / 2);
  CHECK(H.rate() == Leasable / 2);
}

// Guards against an idle host that keeps its grant.
TEST_CASE("link grants: an idle host releases its grant") {
  for (const bool Reports : {true, false}) {
    CAPTURE(Reports);
    Holder H;
    const LinkGrantRow Row = H.readThenWrite({}, 0);
    H.handle(StoreCommitted{H.Write->CallId, 1});
    H.Read.reset();
    H.Write.reset();
    const Instant Idle = H.Now;
    while (!H.Write && H.Now < Idle + seconds(60)) {
      H.Now += milliseconds(100);
      if (Reports)
        H.handle(LinkDemand{Pair, 0, false});
      H.handle(LinkTick{});
      if (const auto Read = std::exchange(H.Read, std::nullopt))
        H.handle(StoreRow{Read->CallId, true, 1, toJson(Row)});
      if (!H.Write)
        continue;
      if (parseLinkGrantRow(H.Write->Ops[0].Value)->Entries.empty())
        break;
      // This is still a renewal, because demand decays over some seconds.
      H.handle(StoreConflict{H.Write->CallId, {0}});
      H.Write.reset();
    }
    REQUIRE(H.Write);
    CHECK(H.rate() == 0);
  }
}

// Guards against a host that reverts a cap that operators lowered.
TEST_CASE("link grants: the newest configuration version of host and row") {
  struct Case {
    std::string Name;
    std::uint64_t RowVersion, RowCap, ExpectedVersion, ExpectedRate;
    bool Seen;
  };
  const Case Cases[] = {
      {"row is newer", 2, 5000000, 2, Leasable / 2, true},
      {"row is older", 0, 5000000, 1, Leasable, false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    Holder H;
    const LinkGrantRow Row = H.readThenWrite({C.RowVersion, C.RowCap, {}}, 9);
    CHECK(Row.ConfigVersion == C.ExpectedVersion);
    CHECK(Row.Entries[0].Rate == C.ExpectedRate);
    CHECK(H.CapSeen.has_value() == C.Seen);
  }
}

// Guards against grants that are lost because the store returns an earlier
// state.
TEST_CASE("link grants: rows older than a known one are not written") {
  Holder H;
  H.readThenWrite({}, 8);
  H.handle(StoreConflict{H.Write->CallId, {0}});
  H.untilRead();
  H.Write.reset();
  H.handle(StoreRow{H.Read->CallId, true, 7, toJson(LinkGrantRow{})});
  CHECK_FALSE(H.Write);
  H.Now += LinkLeaseForOthers;
  H.untilRead();
  H.handle(StoreRow{H.Read->CallId, true, 7, toJson(LinkGrantRow{})});
  CHECK(H.Write);
}
