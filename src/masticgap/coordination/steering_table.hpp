#pragma once

#include "masticgap/coordination/client_block.hpp"
#include "masticgap/coordination/internal/block_trie.hpp"
#include "masticgap/coordination/internal/host_choice.hpp"
#include "masticgap/coordination/steering_site.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace masticgap::coordination {

//! Immutable map from client blocks to sites, with the ordered entry hosts for
//! each caller. Copies are cheap and share their content. A table that was
//! built from another one shares the unchanged parts. It is safe to read from
//! several threads.
class SteeringTable {
public:
  SteeringTable();

  //! Returns the site of the longest block that contains the address.
  //! \returns nullptr when no block does. The pointer is valid for the lifetime
  //! of the table.
  const Site *find(const ClientAddress &Address) const;

  //! Returns up to three entry hosts for a caller: those of its site's region
  //! first, by weighted rendezvous hashing over the address's /24 or /48. A
  //! caller outside all blocks gets hosts of DefaultRegion first. Does not
  //! allocate.
  SteeringTargets targets(const ClientAddress &Address,
                          const RegionName &DefaultRegion) const;

  //! Returns the number of client blocks.
  std::size_t blockCount() const { return Blocks.size(); }
  //! Returns the size of this snapshot in bytes, including shared content.
  std::size_t memoryBytes() const;

private:
  friend class SteeringTableBuilder;

  internal::BlockTrie Blocks;
  std::shared_ptr<const std::vector<Site>> Sites;
  std::shared_ptr<const internal::HostChoice> Choice;
};

} // namespace masticgap::coordination
