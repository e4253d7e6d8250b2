#include "masticgap/coordination/replica/feed_source.hpp"

#include "masticgap/coordination/config_reader_choice.hpp"

#include <algorithm>
#include <optional>
#include <vector>

namespace masticgap::coordination {

namespace {

//! Time for which a failed reader is not used. Longer than the detection of a
//! dead member, so that it is not used again before another host is the reader.
constexpr Duration AvoidTime = std::chrono::seconds(4);
//! Number of hosts of a failure domain that may read the store.
constexpr std::size_t ReadersPerDomain = 2;
//! Time after which a host without an available reader tries again.
constexpr Duration NoReaderRetryDelay = std::chrono::seconds(1);

//! Returns the readers of a failure domain, the first choice first.
std::vector<HostId> readersOf(std::span<const MemberRecord> Members,
                              const FailureDomainName &Domain) {
  std::vector<LiveHost> Live;
  for (const MemberRecord &Member : Members)
    if (Member.Status == MemberStatus::Alive && !Member.Draining)
      Live.push_back({Member.Host.Id, Member.Host.Domain});
  std::vector<HostId> Readers;
  while (Readers.size() < ReadersPerDomain) {
    const auto Next = chooseConfigReader(Live, Domain);
    if (!Next)
      break;
    Readers.push_back(*Next);
    std::erase_if(Live, [&](const LiveHost &Host) { return Host.Id == *Next; });
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
  for (const HostId &Reader : Readers) {
    if (Reader == Self)
      return UseStore{};
    const auto AvoidIt = AvoidUntil.find(Reader);
    if (AvoidIt != AvoidUntil.end() && Now < AvoidIt->second)
      continue;
    const auto ReaderRecord =
        std::ranges::find(Members, Reader, [](const MemberRecord &Member) {
          return Member.Host.Id;
        });
    return UseReader{ReaderRecord->Host};
  }
  return RetryLater{Now + NoReaderRetryDelay};
}

void FeedSourceChoice::failed(const HostId &Reader, Instant Now) {
  std::erase_if(AvoidUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  AvoidUntil[Reader] = Now + AvoidTime;
}

} // namespace masticgap::coordination
