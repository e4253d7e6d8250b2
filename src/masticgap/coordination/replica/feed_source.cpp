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

std::optional<HostId> readerOf(std::span<const MemberRecord> Members,
                               const FailureDomainName &Domain) {
  std::vector<LiveHost> Live;
  for (const MemberRecord &Each : Members)
    if (Each.Status == MemberStatus::Alive && !Each.Draining)
      Live.push_back({Each.Host.Id, Each.Host.Domain});
  return chooseConfigReader(Live, Domain);
}

} // namespace

bool FeedSourceChoice::isReader(std::span<const MemberRecord> Members,
                                const FailureDomainName &Domain) const {
  const auto Reader = readerOf(Members, Domain);
  return !Reader || *Reader == Self;
}

FeedSource FeedSourceChoice::choose(std::span<const MemberRecord> Members,
                                    const FailureDomainName &Domain,
                                    Instant Now) const {
  const auto Reader = readerOf(Members, Domain);
  if (!Reader || *Reader == Self)
    return AskStore{};
  const auto Avoided = AvoidUntil.find(*Reader);
  if (Avoided != AvoidUntil.end() && Now < Avoided->second)
    return AskStore{};
  const auto Found = std::ranges::find(
      Members, *Reader, [](const MemberRecord &Each) { return Each.Host.Id; });
  return AskReader{Found->Host};
}

void FeedSourceChoice::failed(const HostId &Reader, Instant Now) {
  std::erase_if(AvoidUntil,
                [&](const auto &Entry) { return Entry.second <= Now; });
  AvoidUntil[Reader] = Now + AvoidTime;
}

} // namespace masticgap::coordination
