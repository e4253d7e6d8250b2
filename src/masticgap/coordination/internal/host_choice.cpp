#include "masticgap/coordination/internal/host_choice.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

#include <xxhash.h>

namespace masticgap::coordination::internal {

namespace {

//! Cost that orders hosts of other regions after those of the preferred one.
//! Without it, a host's cost is at most -ln(2^-54) / 0.001 = 37,430, because
//! the smallest weight is 0.001.
constexpr double OtherRegionPenalty = 1e6;

//! Finalizer of SplitMix64, applied to the combination of two hashes.
std::uint64_t mix(std::uint64_t X) {
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9ULL;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebULL;
  return X ^ (X >> 31);
}

//! Returns a pseudo-random number in (0, 1) that depends only on the host and
//! the bucket.
double drawOf(std::uint64_t HostHash, std::size_t Bucket) {
  const std::uint64_t Mixed =
      mix(HostHash ^ ((Bucket + 1) * 0x9e3779b97f4a7c15ULL));
  return (static_cast<double>(Mixed >> 11) + 0.5) * 0x1p-53;
}

bool sameChoice(const SteeringHost &A, const SteeringHost &B) {
  return A.Host.Region == B.Host.Region && A.Weight == B.Weight;
}

} // namespace

std::shared_ptr<const HostChoice>
HostChoice::make(std::vector<SteeringHost> NewHosts, const HostChoice *Base) {
  auto Choice = std::make_shared<HostChoice>();
  std::erase_if(NewHosts, [](const SteeringHost &H) { return H.Weight <= 0; });
  Choice->Hosts = std::move(NewHosts);
  std::vector<RegionName> Regions;
  for (const SteeringHost &H : Choice->Hosts) {
    const std::string &Id = H.Host.Id.value();
    Choice->HostHashes.push_back(XXH64(Id.data(), Id.size(), 0));
    Choice->InverseWeights.push_back(1 / H.Weight);
    Regions.push_back(H.Host.Region);
  }
  std::ranges::sort(Regions);
  Regions.erase(std::unique(Regions.begin(), Regions.end()), Regions.end());
  std::erase(Regions, RegionName());
  Regions.emplace_back(); // Table without a preferred region.
  const Difference D =
      Base == nullptr ? Difference{} : Choice->differenceFrom(*Base);
  for (const RegionName &Region : Regions) {
    const RegionTable *Old = nullptr;
    if (Base != nullptr)
      for (const RegionTable &T : Base->Tables)
        if (T.Region == Region)
          Old = &T;
    Choice->Tables.push_back({Region, {}, {}, {}});
    Choice->fill(Choice->Tables.back(), Old, D);
  }
  return Choice;
}

SteeringTargets HostChoice::choose(const RegionName &Region,
                                   std::uint64_t Hash) const {
  SteeringTargets Targets;
  if (Tables.empty())
    return Targets;
  const auto Position = std::ranges::find(Tables, Region, &RegionTable::Region);
  const RegionTable &Table =
      Position == Tables.end() ? Tables.back() : *Position;
  for (const HostIndex Host : Table.Cells[Hash % BucketCount])
    if (Host != NoHost)
      Targets.Hosts[Targets.Count++] = &Hosts[Host];
  return Targets;
}

std::size_t HostChoice::memoryBytes() const {
  std::size_t Bytes = sizeof(*this) + Hosts.capacity() * sizeof(SteeringHost) +
                      HostHashes.capacity() * sizeof(std::uint64_t) +
                      InverseWeights.capacity() * sizeof(double);
  for (const RegionTable &T : Tables)
    Bytes += sizeof(T) + T.Cells.capacity() * sizeof(Cell) +
             T.Candidates.capacity() * sizeof(HostIndex);
  return Bytes;
}

HostChoice::Difference
HostChoice::differenceFrom(const HostChoice &Base) const {
  std::map<std::string_view, HostIndex> OldIndex;
  for (std::size_t I = 0; I < Base.Hosts.size(); ++I)
    OldIndex[Base.Hosts[I].Host.Id.value()] = static_cast<HostIndex>(I);
  Difference D;
  D.NewIndex.assign(Base.Hosts.size(), NoHost);
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    const auto New = static_cast<HostIndex>(I);
    const auto Old = OldIndex.find(Hosts[I].Host.Id.value());
    if (Old != OldIndex.end() && sameChoice(Hosts[I], Base.Hosts[Old->second]))
      D.NewIndex[Old->second] = New;
    else
      D.Added.push_back(New);
  }
  return D;
}

void HostChoice::fill(RegionTable &Table, const RegionTable *Old,
                      const Difference &D) const {
  Table.Candidates = candidates(Table.Region);
  for (const SteeringHost &H : Hosts)
    Table.Penalties.push_back(Table.Region.empty() ||
                                      H.Host.Region == Table.Region
                                  ? 0
                                  : OtherRegionPenalty);
  Table.Cells.resize(BucketCount);
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket)
    if (Old != nullptr)
      Table.Cells[Bucket] = update(Old->Cells[Bucket], D, Table, Bucket);
    else if (Table.Region.empty())
      Table.Cells[Bucket] = firstOf(firstOfRegions(Bucket), Table, Bucket);
    else
      Table.Cells[Bucket] = firstOf(Table.Candidates, Table, Bucket);
}

//! Returns the hosts that can be first without a preferred region. They are
//! among the first hosts of each region.
std::vector<HostChoice::HostIndex>
HostChoice::firstOfRegions(std::size_t Bucket) const {
  std::vector<HostIndex> From;
  for (const RegionTable &T : Tables)
    if (!T.Region.empty())
      From.insert(From.end(), T.Cells[Bucket].begin(), T.Cells[Bucket].end());
  for (std::size_t I = 0; I < Hosts.size(); ++I)
    if (Hosts[I].Host.Region.empty())
      From.push_back(static_cast<HostIndex>(I));
  return From;
}

//! Returns the hosts that can be among the first of a region: only those in the
//! region if it has enough hosts.
std::vector<HostChoice::HostIndex>
HostChoice::candidates(const RegionName &Region) const {
  std::vector<HostIndex> Own;
  std::vector<HostIndex> All;
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    All.push_back(static_cast<HostIndex>(I));
    if (Hosts[I].Host.Region == Region)
      Own.push_back(All.back());
  }
  return Own.size() < SteeringTargets::MaxCount ? All : Own;
}

// Weighted rendezvous hashing: the host with the smallest -ln(draw) / weight is
// first for a share of the buckets that is proportional to its weight.
HostChoice::Cell HostChoice::firstOf(std::span<const HostIndex> From,
                                     const RegionTable &Table,
                                     std::size_t Bucket) const {
  Best B;
  B.Costs.fill(std::numeric_limits<double>::infinity());
  B.Hosts.fill(NoHost);
  for (const HostIndex Host : From) {
    if (Host == NoHost)
      continue;
    // -ln(x) is at least 1 - x. This bound rules out most hosts without
    // computing the logarithm.
    const double Draw = drawOf(HostHashes[Host], Bucket);
    const double Penalty = Table.Penalties[Host];
    if ((1 - Draw) * InverseWeights[Host] + Penalty < B.Costs.back())
      B.consider(Host, -std::log(Draw) * InverseWeights[Host] + Penalty);
  }
  return B.Hosts;
}

HostChoice::Cell HostChoice::update(const Cell &Old, const Difference &D,
                                    const RegionTable &Table,
                                    std::size_t Bucket) const {
  std::vector<HostIndex> From = D.Added;
  for (const HostIndex Host : Old) {
    if (Host == NoHost)
      continue;
    From.push_back(D.NewIndex[Host]);
    // When a host is removed, any host may take its place.
    if (From.back() == NoHost)
      return firstOf(Table.Candidates, Table, Bucket);
  }
  return firstOf(From, Table, Bucket);
}

void HostChoice::Best::consider(HostIndex Host, double Cost) {
  if (std::ranges::count(Hosts, Host) > 0)
    return;
  for (std::size_t I = 0; I < Hosts.size(); ++I) {
    if (Cost >= Costs[I])
      continue;
    const auto At = static_cast<std::ptrdiff_t>(I);
    std::shift_right(Costs.begin() + At, Costs.end(), 1);
    std::shift_right(Hosts.begin() + At, Hosts.end(), 1);
    Costs[I] = Cost;
    Hosts[I] = Host;
    return;
  }
}

} // namespace masticgap::coordination::internal
