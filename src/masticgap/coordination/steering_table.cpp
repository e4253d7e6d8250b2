#include "masticgap/coordination/steering_table.hpp"

#include <xxhash.h>

namespace masticgap::coordination {

namespace {

//! Number of leading address bytes that are hashed. Callers of the same IPv4
//! /24 or IPv6 /48 get the same entry hosts.
constexpr std::size_t V4HashBytes = 3;
constexpr std::size_t V6HashBytes = 6;

} // namespace

SteeringTable::SteeringTable()
    : Sites(std::make_shared<const std::vector<Site>>()),
      Choice(std::make_shared<const internal::HostChoice>()) {}

const Site *SteeringTable::find(const ClientAddress &Address) const {
  const internal::BlockTrie::Value Number = Blocks.find(Address);
  return Number == internal::BlockTrie::None ? nullptr : &(*Sites)[Number];
}

SteeringTargets SteeringTable::targets(const ClientAddress &Address,
                                       const RegionName &DefaultRegion) const {
  const Site *NearestSite = find(Address);
  const std::size_t Bytes = Address.V6 ? V6HashBytes : V4HashBytes;
  return Choice->choose(NearestSite == nullptr ? DefaultRegion
                                               : NearestSite->Region,
                        XXH64(Address.Bytes.data(), Bytes, 0));
}

std::size_t SteeringTable::memoryBytes() const {
  return sizeof(*this) + Blocks.memoryBytes() +
         Sites->capacity() * sizeof(Site) + Choice->memoryBytes();
}

} // namespace masticgap::coordination
