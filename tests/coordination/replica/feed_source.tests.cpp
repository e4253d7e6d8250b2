#include "masticgap/coordination/replica/feed_source.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now{100s};

MemberRecord member(const std::string &Name, const std::string &Domain) {
  MemberRecord Result;
  Result.Host.Id = HostId(Name);
  Result.Host.Domain = FailureDomainName(Domain);
  Result.ConfigVersion = 1;
  return Result;
}

std::vector<MemberRecord> fleet() {
  return {member("a1", "a"), member("a2", "a"), member("a3", "a"),
          member("b1", "b")};
}

//! Returns the name of the reader that a host uses, or "store".
std::string sourceOf(const std::string &Self, const std::string &Domain,
                     std::span<const MemberRecord> Members) {
  const FeedSource Source =
      FeedSourceChoice(HostId(Self))
          .choose(Members, FailureDomainName(Domain), Now);
  const auto *Reader = std::get_if<UseReader>(&Source);
  return Reader ? Reader->Reader.Id.value() : "store";
}

} // namespace

// Guards against calls to the store that grow with the number of hosts.
TEST_CASE("one live host of a failure domain reads the store") {
  std::vector<MemberRecord> Members = fleet();
  std::set<std::string> Readers;
  int StoreReaders = 0;
  for (const char *Name : {"a1", "a2", "a3"}) {
    const std::string Source = sourceOf(Name, "a", Members);
    if (Source == "store")
      ++StoreReaders;
    else
      Readers.insert(Source);
  }
  CHECK(StoreReaders == 1);
  REQUIRE(Readers.size() == 1);
  CHECK(sourceOf("b1", "b", Members) == "store");

  for (MemberRecord &Member : Members)
    if (Member.Host.Id.value() == *Readers.begin())
      Member.Status = MemberStatus::Suspect;
  StoreReaders = 0;
  for (const MemberRecord &Member : Members)
    if (Member.Host.Domain.value() == "a" &&
        Member.Status == MemberStatus::Alive)
      StoreReaders += sourceOf(Member.Host.Id.value(), "a", Members) == "store";
  CHECK(StoreReaders == 1);
}

// Guards against a host that keeps using a reader without connection to the
// store.
TEST_CASE("a reader that failed is skipped for a while") {
  const std::vector<MemberRecord> Members = fleet();
  for (const char *Name : {"a1", "a2", "a3"}) {
    FeedSourceChoice Choice{HostId(Name)};
    const FailureDomainName Domain("a");
    const FeedSource First = Choice.choose(Members, Domain, Now);
    const auto *Reader = std::get_if<UseReader>(&First);
    if (!Reader)
      continue;
    Choice.failed(Reader->Reader.Id, Now);
    // The second reader uses the store, the third host uses the second reader.
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
