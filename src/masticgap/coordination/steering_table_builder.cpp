#include "masticgap/coordination/steering_table_builder.hpp"

#include "masticgap/coordination/internal/block_node.hpp"
#include "masticgap/state/error.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace masticgap::coordination {

SteeringTableBuilder::SteeringTableBuilder(SteeringTable From)
    : Base(std::move(From)) {
  for (const Site &S : *Base.Sites)
    SiteRegions[numberOf(S.Name)] = S.Region;
}

SteeringTableBuilder::SiteNumber
SteeringTableBuilder::numberOf(const std::string &Name) {
  const auto Next = static_cast<SiteNumber>(Names.size());
  const auto [It, IsNew] = Numbers.try_emplace(Name, Next);
  if (IsNew) {
    Names.push_back(Name);
    SiteRegions.emplace_back();
  }
  return It->second;
}

SteeringTableBuilder &SteeringTableBuilder::site(Site S) {
  SiteRegions[numberOf(S.Name)] = std::move(S.Region);
  SitesChanged = true;
  return *this;
}

SteeringTableBuilder &SteeringTableBuilder::block(const ClientBlock &Block,
                                                  const std::string &SiteName) {
  Changes.push_back({Block, numberOf(SiteName)});
  return *this;
}

SteeringTableBuilder &
SteeringTableBuilder::removeBlock(const ClientBlock &Block) {
  Changes.push_back({Block, internal::BlockTrie::None});
  return *this;
}

SteeringTableBuilder &
SteeringTableBuilder::hosts(std::vector<SteeringHost> Hosts) {
  NewHosts = std::move(Hosts);
  return *this;
}

// Changes to neighbouring blocks use the same nodes while these are in the CPU
// cache. The order of changes to the same block is preserved.
std::vector<std::size_t> SteeringTableBuilder::inAddressOrder() const {
  std::vector<std::pair<std::uint64_t, std::size_t>> Keys;
  Keys.reserve(Changes.size());
  for (std::size_t I = 0; I < Changes.size(); ++I)
    Keys.emplace_back(internal::BlockKey::of(Changes[I].Block.Prefix).High, I);
  std::ranges::sort(Keys);
  std::vector<std::size_t> Order;
  Order.reserve(Keys.size());
  for (const auto &[Key, Index] : Keys)
    Order.push_back(Index);
  return Order;
}

boost::leaf::result<SteeringTable> SteeringTableBuilder::build() const {
  for (std::size_t I = 0; I < Names.size(); ++I)
    if (!SiteRegions[I])
      return boost::leaf::new_error(
          Error{ErrorKind::InvalidConfiguration,
                "client block names unknown site \"" + Names[I] + "\"",
                "add the site or correct the block's site"});
  SteeringTable Table = Base;
  for (const std::size_t Index : inAddressOrder()) {
    const Change &C = Changes[Index];
    if (C.Number == internal::BlockTrie::None)
      Table.Blocks.erase(C.Block);
    else
      Table.Blocks.set(C.Block, C.Number);
  }
  if (SitesChanged) {
    std::vector<Site> Sites;
    for (std::size_t I = 0; I < Names.size(); ++I)
      Sites.push_back({Names[I], *SiteRegions[I]});
    Table.Sites = std::make_shared<const std::vector<Site>>(std::move(Sites));
  }
  if (NewHosts)
    Table.Choice = internal::HostChoice::make(*NewHosts, Base.Choice.get());
  return Table;
}

} // namespace masticgap::coordination
