#pragma once

#include "masticgap/coordination/steering_site.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace masticgap::coordination::internal {

//! Precomputed choices of entry hosts for each region and caller bucket. A
//! look-up reads one table cell.
class HostChoice {
public:
  //! Number of caller buckets. With 160 hosts in a region, each host is first
  //! for about 26 buckets.
  static constexpr std::size_t BucketCount = 4096;

  //! Computes the choices for a set of hosts with distinct ids. Only cells that
  //! are affected by the difference from Base are recomputed.
  static std::shared_ptr<const HostChoice> make(std::vector<SteeringHost> Hosts,
                                                const HostChoice *Base);

  //! Returns the choice for callers with the given hash whose preferred region
  //! is Region.
  SteeringTargets choose(const RegionName &Region, std::uint64_t Hash) const;

  const std::vector<SteeringHost> &hosts() const { return Hosts; }
  std::size_t memoryBytes() const;

private:
  using HostIndex = std::uint16_t;
  static constexpr HostIndex NoHost = 0xffff;
  using Cell = std::array<HostIndex, SteeringTargets::MaxCount>;

  struct RegionTable {
    RegionName Region;
    std::vector<HostIndex> Candidates;
    //! By host index: added to the cost of hosts in other regions.
    std::vector<double> Penalties;
    std::vector<Cell> Cells;
  };
  //! Difference from Base: the new index of each host of Base, or NoHost when
  //! its choices are no longer valid, and the added hosts.
  struct Difference {
    std::vector<HostIndex> NewIndex;
    std::vector<HostIndex> Added;
  };
  //! Best hosts of one cell, in order of ascending cost.
  struct Best {
    std::array<double, SteeringTargets::MaxCount> Costs;
    Cell Hosts;

    void consider(HostIndex Host, double Cost);
  };

  Difference differenceFrom(const HostChoice &Base) const;
  std::vector<HostIndex> candidates(const RegionName &Region) const;
  void fill(RegionTable &Table, const RegionTable *Old,
            const Difference &D) const;
  Cell update(const Cell &Old, const Difference &D, const RegionTable &Table,
              std::size_t Bucket) const;
  std::vector<HostIndex> firstOfRegions(std::size_t Bucket) const;
  Cell firstOf(std::span<const HostIndex> From, const RegionTable &Table,
               std::size_t Bucket) const;

  std::vector<SteeringHost> Hosts;
  //! By host index; stored apart from the descriptors for memory locality.
  std::vector<std::uint64_t> HostHashes;
  std::vector<double> InverseWeights;
  std::vector<RegionTable> Tables; //!< The last one has no preferred region.
};

} // namespace masticgap::coordination::internal
