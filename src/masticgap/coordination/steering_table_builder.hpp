#pragma once

#include "masticgap/coordination/client_block.hpp"
#include "masticgap/coordination/steering_site.hpp"
#include "masticgap/coordination/steering_table.hpp"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace masticgap::coordination {

//! Builds a new table, or a snapshot from an existing table and a difference.
//! The work is proportional to the difference.
class SteeringTableBuilder {
public:
  //! Starts with an empty table.
  SteeringTableBuilder() = default;
  //! Starts with the content of another table.
  explicit SteeringTableBuilder(SteeringTable From);

  //! Adds a site or changes its region.
  SteeringTableBuilder &site(Site S);
  //! Assigns a block to a site, replacing an earlier assignment. The site may
  //! be added later.
  SteeringTableBuilder &block(const ClientBlock &Block,
                              const std::string &SiteName);
  //! Removes a block. A block that is not present is ignored.
  SteeringTableBuilder &removeBlock(const ClientBlock &Block);
  //! Replaces the entry hosts.
  SteeringTableBuilder &hosts(std::vector<SteeringHost> Hosts);

  //! Builds the table. The builder keeps its content.
  //! \returns the table, or an Error of kind InvalidConfiguration when a block
  //! names a site that was not added.
  boost::leaf::result<SteeringTable> build() const;

private:
  //! Index into Names; the sites of Base come first.
  using SiteNumber = internal::BlockTrie::Value;
  struct Change {
    ClientBlock Block;
    SiteNumber Number; //!< BlockTrie::None removes the block.
  };

  std::vector<std::size_t> inAddressOrder() const;
  SiteNumber numberOf(const std::string &Name);

  SteeringTable Base;
  std::vector<std::string> Names;
  std::vector<std::optional<RegionName>> SiteRegions;
  std::unordered_map<std::string, SiteNumber> Numbers;
  std::vector<Change> Changes;
  std::optional<std::vector<SteeringHost>> NewHosts;
  bool SitesChanged = false;
};

} // namespace masticgap::coordination
