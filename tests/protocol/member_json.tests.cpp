#include "masticgap/protocol/member_json.hpp"

#include "masticgap/state/captured.hpp"

#include <doctest/doctest.h>

using namespace masticgap;
using coordination::MemberRecord;
using coordination::MemberStatus;

TEST_CASE("members round-trip through JSON; an error names the invalid key") {
  using Members = std::vector<MemberRecord>;
  MemberRecord Member;
  Member.Host = {HostId("h"),
                 RegionName("r"),
                 FailureDomainName("d"),
                 Incarnation{~0ULL},
                 "10.0.0.2",
                 1,
                 2,
                 3,
                 4};
  Member.Revision = 7;
  Member.Draining = true;
  Member.ConfigVersion = 8;
  Member.Epoch = 9;
  for (const auto Status : {MemberStatus::Alive, MemberStatus::Suspect,
                            MemberStatus::Dead, MemberStatus::Left}) {
    Member.Status = Status;
    Member.SizeClass = static_cast<std::uint8_t>(Status);
    const Members Written{Member};
    const auto Read = capture<Members>(
        [&] { return protocol::parseMembers(protocol::toJson(Written)); });
    CHECK(std::get<Members>(Read) == Written);
  }
  std::string Text = protocol::toJson(Members{Member});
  Text.replace(Text.find("left"), 4, "gone");
  const auto Bad =
      capture<Members>([&] { return protocol::parseMembers(Text); });
  CHECK(std::get<Error>(Bad).Message == R"(members[0].status is "gone")");
}
