#include "masticgap/coordination/replica/feed_source.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now{100s};

MemberRecord member(const std::string &Name, const std::string &Domain) {
  MemberRecord Made;
  Made.Host.Id = HostId(Name);
  Made.Host.Domain = FailureDomainName(Domain);
  Made.ConfigVersion = 1;
  return Made;
}

std::vector<MemberRecord> fleet() {
  return {member("a1", "a"), member("a2", "a"), member("a3", "a"),
          member("b1", "b")};
}

//! Name of the reader that a host asks; "store" when it asks the store.
std::string asks(const std::string &Self, const std::string &Domain,
                 std::span<const MemberRecord> Members) {
  const FeedSource Source =
      FeedSourceChoice(HostId(Self))
          .choose(Members, FailureDomainName(Domain), Now);
  const auto *Reader = std::get_if<UseReader>(&Source);
  return Reader ? Reader->Reader.Id.value() : "store";
}

} // namespace

// Guards against calls to the store that grow with the number of hosts.
TEST_CASE("one live host of a failure domain asks the store") {
  std::vector<MemberRecord> Members = fleet();
  std::set<std::string> Readers;
  int AskStores = 0;
  for (const char *Name : {"a1", "a2", "a3"}) {
    const std::string Asked = asks(Name, "a", Members);
    if (Asked == "store")
      ++AskStores;
    else
      Readers.insert(Asked);
  }
  CHECK(AskStores == 1);
  REQUIRE(Readers.size() == 1);
  CHECK(asks("b1", "b", Members) == "store");

  for (MemberRecord &Each : Members)
    if (Each.Host.Id.value() == *Readers.begin())
      Each.Status = MemberStatus::Suspect;
  AskStores = 0;
  for (const MemberRecord &Each : Members)
    if (Each.Host.Domain.value() == "a" && Each.Status == MemberStatus::Alive)
      AskStores += asks(Each.Host.Id.value(), "a", Members) == "store";
  CHECK(AskStores == 1);
}

// Guards against a host that stays behind a reader which lost the store.
TEST_CASE("a reader that failed is passed over for a while") {
  const std::vector<MemberRecord> Members = fleet();
  for (const char *Name : {"a1", "a2", "a3"}) {
    FeedSourceChoice Choice{HostId(Name)};
    const FailureDomainName Domain("a");
    const FeedSource First = Choice.choose(Members, Domain, Now);
    const auto *Reader = std::get_if<UseReader>(&First);
    if (!Reader)
      continue;
    Choice.failed(Reader->Reader.Id, Now);
    // The second reader asks the store, the third host asks the second.
    const FeedSource Second = Choice.choose(Members, Domain, Now + 1s);
    CHECK(Second != First);
    if (const auto *Other = std::get_if<UseReader>(&Second)) {
      Choice.failed(Other->Reader.Id, Now + 1s);
      CHECK(std::holds_alternative<RetryLater>(
          Choice.choose(Members, Domain, Now + 2s)));
    }
    CHECK(Choice.choose(Members, Domain, Now + 6s) == First);
  }
}
