#include "masticgap/coordination/load_exchange/load_sharing.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start{100s};
constexpr Duration Period = 250ms;

MemberRecord member(const std::string &Host, const std::string &Region,
                    const std::string &Domain) {
  MemberRecord Result;
  Result.Host.Id = HostId(Host);
  Result.Host.Region = RegionName(Region);
  Result.Host.Domain = FailureDomainName(Domain);
  return Result;
}

//! Hosts that exchange messages without delay. Messages of dead hosts and of a
//! random share of all are lost.
struct Fleet {
  explicit Fleet(std::vector<MemberRecord> All, SizeClassFunction Size = {})
      : Members(std::move(All)) {
    for (const MemberRecord &Each : Members)
      Hosts.try_emplace(Each.Host.Id, Each.Host.Id, Each.Host.Region,
                        Each.Host.Domain, Size);
    announce();
  }

  void announce() {
    for (auto &[Id, Host] : Hosts)
      Host.setMembers(Members);
  }
  MemberRecord &find(const std::string &Host) {
    return *std::ranges::find(Members, HostId(Host),
                              [](const auto &Each) { return Each.Host.Id; });
  }

  //! Lets each host send the messages of one period.
  void period() {
    Now += Period;
    for (auto &[Id, Host] : Hosts)
      for (const OutgoingLoad &Each : Host.takeMessages(Now)) {
        ++Sent;
        CHECK(Each.What.Entries.size() <= MaxLoadEntries);
        CHECK_FALSE(Each.What.Entries.empty());
        const auto RegionOf = [&](const HostId &Of) {
          return find(Of.value()).Host.Region;
        };
        CHECK(RegionOf(Id) == RegionOf(Each.To));
        if (std::uniform_real_distribution<>()(Random) < Lost ||
            !isLive(find(Each.To.value())))
          continue;
        const auto Usable = Hosts.at(Each.To).handle(Id, Each.What, Now);
        REQUIRE(Usable);
        for (const WorkerLoad &Load : *Usable)
          Learned[Each.To].push_back(Load);
      }
  }

  std::vector<MemberRecord> Members;
  std::map<HostId, LoadSharing> Hosts;
  std::map<HostId, std::vector<WorkerLoad>> Learned;
  std::mt19937 Random{1};
  double Lost = 0;
  std::size_t Sent = 0;
  Instant Now = Start;
};

std::vector<MemberRecord> twoRegions() {
  std::vector<MemberRecord> Result;
  for (const char *Domain : {"near-a", "near-b", "far-a"})
    for (int I = 0; I < 4; ++I)
      Result.push_back(member(Domain + std::to_string(I),
                              std::string(Domain).substr(0, 4), Domain));
  return Result;
}

} // namespace

TEST_CASE("reports keep their values in a message") {
  struct Case {
    PeerReport Report;
    Duration Passed;
    LoadEntry Entry;
  };
  const Case Cases[] = {
      {{0, 1, Start}, 0ms, {7, 0, 20, 0}},
      {{12, 2.5, Start}, 250ms, {7, 12, 50, 25}},
      // The age is rounded up, so that a report never gets newer.
      {{3, 0.92, Start}, 251ms, {7, 3, 18, 26}},
      {{3, 1, Start + 5ms}, 0ms, {7, 3, 20, 0}},
      {{70000, 1000, Start}, 1h, {7, 255, 255, 255}},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Report.Busy);
    CHECK((toEntry({7, C.Report}, Start + C.Passed) == C.Entry));
  }
  const WorkerLoad Decoded = fromEntry({7, 12, 50, 25}, Start);
  CHECK(Decoded.Worker == 7);
  CHECK(Decoded.Report.Busy == 12);
  CHECK(Decoded.Report.WorkFactor == doctest::Approx(2.5));
  CHECK((Decoded.Report.ReportedAt == Start - 250ms));
}

// Guards against hosts of one domain that choose different gatherers, and
// against a small or leaving host that gathers while a larger one could.
TEST_CASE("the gatherer of a domain is a live host of the highest class") {
  const SizeClassFunction Size = [](const MemberRecord &Member) {
    return Member.Host.Id.value().back() >= '2' ? 3U : 0U;
  };
  Fleet F(twoRegions(), Size);
  const FailureDomainName Domain("near-a");
  const auto Chosen = [&] {
    const MemberRecord *Found = chooseGatherer(F.Members, Domain, Size);
    return Found ? Found->Host.Id.value() : std::string();
  };
  const std::string First = Chosen();
  CHECK(First.back() >= '2');
  CHECK(F.Hosts.at(HostId("near-a0")).gatherer().value() == First);
  std::ranges::reverse(F.Members);
  CHECK(Chosen() == First);
  F.find(First).Status = MemberStatus::Suspect;
  CHECK(Chosen() == First);
  F.find(First).Status = MemberStatus::Dead;
  const std::string Second = Chosen();
  CHECK(Second != First);
  CHECK(Second.back() >= '2');
  F.find(Second).Draining = true;
  CHECK(Chosen().back() < '2');
  for (MemberRecord &Each : F.Members)
    Each.Status = MemberStatus::Left;
  CHECK(Chosen().empty());
}

// Guards against hosts of a region that do not learn of a report, against
// reports that cross regions, and against ones that are sent again and again.
TEST_CASE("each host of the region learns of a report once") {
  Fleet F(twoRegions());
  F.Hosts.at(HostId("near-a0")).recordOwn({1, {5, 2.5, F.Now}});
  F.Hosts.at(HostId("near-b1")).recordOwn({2, {6, 1, F.Now}});
  for (int I = 0; I < 4; ++I)
    F.period();
  for (const MemberRecord &Each : F.Members) {
    CAPTURE(Each.Host.Id.value());
    std::vector<LoadKey> Known;
    for (const WorkerLoad &Load : F.Learned[Each.Host.Id])
      Known.push_back(Load.Worker);
    std::ranges::sort(Known);
    std::vector<LoadKey> Expected;
    if (Each.Host.Region == RegionName("near")) {
      if (Each.Host.Id != HostId("near-a0"))
        Expected.push_back(1);
      if (Each.Host.Id != HostId("near-b1"))
        Expected.push_back(2);
    }
    CHECK(Known == Expected);
    for (const WorkerLoad &Load : F.Learned[Each.Host.Id])
      CHECK((Load.Report.ReportedAt == Start));
  }
  const std::size_t SentBefore = F.Sent;
  F.period();
  CHECK(F.Sent == SentBefore);
}

// Guards against reports that are newer at a second gatherer and replaced by an
// older one, and against old ones that are passed on.
TEST_CASE("only the newest report is passed on, and none older than 2 s") {
  Fleet F(twoRegions());
  const HostId Gatherer = F.Hosts.at(HostId("near-a0")).gatherer();
  LoadSharing &At = F.Hosts.at(Gatherer);
  At.recordOwn({1, {5, 1, F.Now}});
  At.recordOwn({1, {9, 1, F.Now - 10ms}});
  At.recordOwn({2, {9, 1, F.Now - 1750ms - 1ms}});
  F.period();
  for (const auto &[Host, Loads] : F.Learned)
    for (const WorkerLoad &Load : Loads) {
      CHECK(Load.Worker == 1);
      CHECK(Load.Report.Busy == 5);
    }
  CHECK(F.Learned.size() >= 3);
}

// Guards against hosts that are misled by hosts of other places, and against
// reports that circulate between two hosts that gather for one domain.
TEST_CASE("messages are accepted only from hosts of the right place") {
  struct Case {
    const char *From;
    LoadSource Source;
    bool Accepted;
    bool PassedOn;
  };
  const Case Cases[] = {
      {"near-a1", LoadSource::Host, true, true},
      {"near-a1", LoadSource::Region, true, false},
      {"near-a1", LoadSource::Domain, false, false},
      {"near-b1", LoadSource::Domain, true, true},
      {"near-b1", LoadSource::Host, false, false},
      {"near-b1", LoadSource::Region, false, false},
      {"far-a1", LoadSource::Domain, false, false},
      {"nobody", LoadSource::Host, false, false},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.From);
    CAPTURE(static_cast<int>(C.Source));
    std::vector<MemberRecord> All = twoRegions();
    LoadSharing Host(HostId("near-a0"), RegionName("near"),
                     FailureDomainName("near-a"), [](const MemberRecord &Each) {
                       return Each.Host.Id == HostId("near-a0") ? 1U : 0U;
                     });
    Host.setMembers(All);
    REQUIRE(Host.isGatherer());
    const auto Usable =
        Host.handle(HostId(C.From), {C.Source, {{7, 1, 20, 0}}}, Start);
    CHECK(Usable.has_value() == C.Accepted);
    CHECK(Host.takeMessages(Start).empty() == !C.PassedOn);
  }
}

// Guards against hosts that stay without reports after the death of their
// gatherer or after lost messages, and against a gatherer that sends without
// bound in a large domain.
TEST_CASE("reports reach all hosts again after faults, at a bounded cost") {
  std::vector<MemberRecord> All;
  for (int I = 0; I < 100; ++I)
    All.push_back(member("h" + std::to_string(I), "near", "near-a"));
  Fleet F(All);
  F.Lost = 0.3;
  const HostId First = F.Hosts.at(HostId("h0")).gatherer();
  const auto Play = [&](int Periods) {
    F.Learned.clear();
    for (int I = 0; I < Periods; ++I) {
      const std::size_t SentBefore = F.Sent;
      for (auto &[Id, Host] : F.Hosts)
        Host.recordOwn(
            {static_cast<LoadKey>(F.Random() % 50), {1, 1, F.Now + 100ms}});
      F.period();
      CHECK(F.Sent - SentBefore <=
            LoadSharing::MaxMessagesPerPeriod + F.Hosts.size());
    }
  };
  Play(20);
  CHECK(F.Learned.size() == 100);
  F.find(First.value()).Status = MemberStatus::Dead;
  F.Hosts.erase(First);
  F.announce();
  Play(20);
  CHECK(F.Learned.size() == 99);
  for (const auto &[Host, Loads] : F.Learned)
    CHECK(Loads.size() > 20);
}
