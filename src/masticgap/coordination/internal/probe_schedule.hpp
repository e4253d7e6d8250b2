#pragma once

#include "masticgap/coordination/member_record.hpp"

#include <algorithm>
#include <random>
#include <span>
#include <vector>

namespace masticgap::coordination {

//! Order of direct probes: each round probes every live member once in random
//! order, which bounds the time until a dead member is probed.
class ProbeSchedule {
public:
  //! Returns the next member to probe, or nullptr when no other member is live.
  template <class Rng>
  const MemberRecord *next(std::span<const MemberRecord> Members,
                           const HostId &Self, Rng &Random) {
    for (unsigned Round = 0; Round < 2; ++Round) {
      for (; Position < Order.size(); ++Position) {
        const auto Member =
            std::ranges::lower_bound(Members, Order[Position], {},
                                     [](const auto &M) { return M.Host.Id; });
        if (Member == Members.end() || Member->Host.Id != Order[Position] ||
            !isLive(*Member))
          continue;
        ++Position;
        return &*Member;
      }
      shuffle(Members, Self, Random);
    }
    return nullptr;
  }

  //! Adds a member that became live at a random position of the current round.
  template <class Rng> void add(const HostId &Id, Rng &Random) {
    std::uniform_int_distribution<std::size_t> Slot(Position, Order.size());
    Order.insert(Order.begin() + static_cast<std::ptrdiff_t>(Slot(Random)), Id);
  }

private:
  template <class Rng>
  void shuffle(std::span<const MemberRecord> Members, const HostId &Self,
               Rng &Random) {
    Order.clear();
    Position = 0;
    for (const MemberRecord &M : Members)
      if (isLive(M) && M.Host.Id != Self)
        Order.push_back(M.Host.Id);
    std::ranges::shuffle(Order, Random);
  }

  std::vector<HostId> Order;
  std::size_t Position = 0;
};

} // namespace masticgap::coordination
