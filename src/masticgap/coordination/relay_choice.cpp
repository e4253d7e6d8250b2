#include "masticgap/coordination/relay_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>
#include <xxhash.h>

namespace masticgap::coordination {

namespace {

std::uint64_t hash(const HostId &Id, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Id.value().data(), Id.value().size(), Seed);
}

//! Returns a draw of an exponential distribution with the given rate. The host
//! with the smallest draw is chosen with a probability in proportion to it.
double draw(std::uint64_t Hash, double Rate) {
  const double Uniform =
      (static_cast<double>(Hash) + 1) /
      (static_cast<double>(std::numeric_limits<std::uint64_t>::max()) + 2);
  return -std::log(Uniform) / Rate;
}

} // namespace

std::vector<HostId> relayOrder(std::span<const MemberRecord> Members,
                               const FailureDomainName &Domain,
                               const HostId &Except, std::uint64_t Message) {
  struct Candidate {
    bool Suspected;
    double Draw;
    const HostId *Id;
  };
  const std::uint64_t Seed = hash(Except, Message);
  std::vector<Candidate> Candidates;
  for (const MemberRecord &Member : Members) {
    if (!isLive(Member) || Member.Host.Domain != Domain ||
        Member.Host.Id == Except)
      continue;
    const auto Weight =
        static_cast<double>(1U << std::min(Member.SizeClass, MaxSizeClass));
    Candidates.push_back({Member.Status != MemberStatus::Alive,
                          draw(hash(Member.Host.Id, Seed), Weight),
                          &Member.Host.Id});
  }
  std::ranges::sort(Candidates, {}, [](const Candidate &C) {
    return std::tuple(C.Suspected, C.Draw, *C.Id);
  });
  std::vector<HostId> Order;
  Order.reserve(Candidates.size());
  for (const Candidate &C : Candidates)
    Order.push_back(*C.Id);
  return Order;
}

} // namespace masticgap::coordination
