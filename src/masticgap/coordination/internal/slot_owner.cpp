#include "masticgap/coordination/internal/slot_owner.hpp"

#include <xxhash.h>

#include <string>

namespace masticgap::coordination::internal {

namespace {

std::uint64_t weight(const HostId &Host, const WorkerId &Worker,
                     unsigned Slot) {
  const std::string Key =
      Host.value() + '/' + Worker.value() + '/' + std::to_string(Slot);
  return XXH3_64bits(Key.data(), Key.size());
}

} // namespace

unsigned ownedSlots(const WorkerDescriptor &Worker, const HostId &Self,
                    std::span<const HostId> LiveHosts) {
  unsigned Owned = 0;
  for (unsigned Slot = 0; Slot < Worker.Slots; ++Slot) {
    const std::uint64_t OwnWeight = weight(Self, Worker.Id, Slot);
    bool IsOwner = true;
    for (const HostId &Other : LiveHosts)
      IsOwner = IsOwner &&
                (Other == Self || weight(Other, Worker.Id, Slot) < OwnWeight);
    Owned += IsOwner ? 1 : 0;
  }
  return Owned;
}

} // namespace masticgap::coordination::internal
