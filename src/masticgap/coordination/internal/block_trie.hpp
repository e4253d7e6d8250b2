#pragma once

#include "masticgap/coordination/client_block.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace masticgap::coordination::internal {

struct BlockNode;

//! Longest-prefix match from client blocks to integers. Copies share nodes; a
//! change copies only the nodes on the path to the block (copy on write).
class BlockTrie {
public:
  using Value = std::uint32_t;
  //! Result for an address outside all blocks.
  static constexpr Value None = ~Value(0);

  //! Returns the value of the longest block that contains the address, or None.
  Value find(const ClientAddress &Address) const;
  //! Adds a block or replaces its value.
  void set(const ClientBlock &Block, Value V);
  //! Removes a block if it is present.
  void erase(const ClientBlock &Block);

  //! Returns the number of blocks.
  std::size_t size() const { return Count; }
  //! Returns the size of all nodes in bytes, including those shared with
  //! copies.
  std::size_t memoryBytes() const;

private:
  std::shared_ptr<BlockNode> V4;
  std::shared_ptr<BlockNode> V6;
  std::size_t Count = 0;
};

} // namespace masticgap::coordination::internal
