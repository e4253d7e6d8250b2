#include "masticgap/coordination/replica/feed_source.hpp"

#include "masticgap/coordination/config_reader_choice.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace masticgap::coordination {

namespace {

//! Time for which a reader that failed is not asked. Longer than the detection
//! of a dead member, so that it is not asked again before another host reads.
constexpr Duration AvoidTime = std::chrono::seconds(4);
//! Hosts of a failure domain that may read the store.
constexpr std::size_t ReadersPerDomain = 2;
//! Pause of a host that has no reader to ask.
constexpr Duration NoReaderPause = std::chrono::seconds(1);

//! Readers of a failure domain, the first choice first.
std::vector<HostId> readersOf(std::span<const MemberRecord> Members,
                              const FailureDomainName &Domain) {
  std::vector<LiveHost> Live;
  for (const MemberRecord &Each : Members)
    if (Each.Status == MemberStatus::Alive && !Each.Draining)
      Live.push_back({Each.Host.Id, Each.Host.Domain});
  std::vector<HostId> Readers;
  while (Readers.size() < ReadersPerDomain) {
    const auto Next = chooseConfigReader(Live, Domain);
    if (!Next)
      break;
    Readers.push_back(*Next);
    std::erase_if(Live, [&](const LiveHost &Each) { return Each.Id == *Next; });
  }
  return Readers;
}

} // namespace

bool FeedSourceChoice::isReader(std::span<const MemberRecord> Members,
                                const FailureDomainName &Domain) const {
  const auto Readers = readersOf(Members, Domain);
  return Readers.empty() || Readers.front() == Self;
}

FeedSource FeedSourceChoice::choose(std::span<const MemberRecord> Members,
                                    const FailureDomainName &Domain,
                                    Instant Now) const {
  const auto Readers = readersOf(Members, Domain);
  if (Readers.empty())
    return UseStore{};
  for (const HostId &Each : Readers) {
    if (Each == Self)
      return UseStore{};
    const auto Avoided = AvoidUntil.find(Each);
    if (Avoided != AvoidUntil.end() && Now < Avoided->second)
      continue;
    const auto Found =
        std::ranges::find(Members, Each, [](const MemberRecord &Member) {
          return Member.Host.Id;
        });
    return UseReader{Found->Host};
  }
  return RetryLater{Now + NoReaderPause};
}

void FeedSourceChoice::failed(const HostId &Reader, Instant Now) {
  std::erase_if(AvoidUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  AvoidUntil[Reader] = Now + AvoidTime;
}

} // namespace masticgap::coordination
