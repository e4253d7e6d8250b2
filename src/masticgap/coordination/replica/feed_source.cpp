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
//! Time without an available reader, and between failed calls to the store,
//! after which the first host behind the readers calls the store. The second
//! one waits twice as long, and so on.
constexpr Duration StandInDelay = std::chrono::seconds(1);

//! Returns the first \p Count hosts of a failure domain in the order in which
//! they become its readers.
std::vector<HostId> readersOf(std::span<const MemberRecord> Members,
                              const FailureDomainName &Domain,
                              std::size_t Count = ReadersPerDomain) {
  std::vector<LiveHost> Live;
  for (const MemberRecord &Member : Members)
    if (Member.Status == MemberStatus::Alive && !Member.Draining)
      Live.push_back({Member.Host.Id, Member.Host.Domain});
  std::vector<HostId> Readers;
  while (Readers.size() < Count) {
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
                                    Instant Now) {
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
  return standIn(Members, Domain, Now);
}

FeedSource FeedSourceChoice::standIn(std::span<const MemberRecord> Members,
                                     const FailureDomainName &Domain,
                                     Instant Now) {
  if (!UnservedSince) {
    UnservedSince = Now;
    StoreServesSelf = false;
    LastStoreFailure.reset();
  }
  if (StoreServesSelf)
    return UseStore{};
  const auto Order = readersOf(Members, Domain, Members.size());
  const auto Rank = std::ranges::find(Order, Self) - Order.begin();
  const auto Place = Rank - static_cast<std::ptrdiff_t>(ReadersPerDomain) + 1;
  const Instant CallAt =
      LastStoreFailure.value_or(*UnservedSince) + Place * StandInDelay;
  if (Now >= CallAt)
    return UseStore{};
  return RetryLater{std::min(CallAt, Now + NoReaderRetryDelay)};
}

void FeedSourceChoice::failed(const HostId &Reader, Instant Now) {
  std::erase_if(AvoidUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  AvoidUntil[Reader] = Now + AvoidTime;
}

void FeedSourceChoice::answered(const HostId &Reader) {
  AvoidUntil.erase(Reader);
  UnservedSince.reset();
}

void FeedSourceChoice::storeFailed(Instant Now) {
  StoreServesSelf = false;
  LastStoreFailure = Now;
}

} // namespace masticgap::coordination
