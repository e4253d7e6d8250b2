#include "masticgap/coordination/load_exchange/gatherer_choice.hpp"

#include "masticgap/coordination/affinity/affinity_choice.hpp"

#include <cstdint>
#include <utility>
#include <xxhash.h>

namespace masticgap::coordination {

namespace {

std::uint64_t textHash(const std::string &Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

} // namespace

const MemberRecord *chooseGatherer(std::span<const MemberRecord> Members,
                                   const FailureDomainName &Domain,
                                   const SizeClassFunction &SizeClass) {
  const std::uint64_t DomainHash = textHash(Domain.value());
  const MemberRecord *Best = nullptr;
  std::pair<unsigned, std::uint64_t> BestRank;
  for (const MemberRecord &Member : Members) {
    if (Member.Host.Domain != Domain || !takesCallers(Member))
      continue;
    const std::pair Rank(
        SizeClass ? SizeClass(Member) : 0U,
        mixHashes(textHash(Member.Host.Id.value()), DomainHash));
    if (!Best || Rank > BestRank) {
      Best = &Member;
      BestRank = Rank;
    }
  }
  return Best;
}

} // namespace masticgap::coordination
