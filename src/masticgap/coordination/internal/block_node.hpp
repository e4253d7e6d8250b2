#pragma once

#include "masticgap/coordination/client_block.hpp"
#include "masticgap/coordination/internal/block_trie.hpp"

#include <boost/container/small_vector.hpp>

#include <bit>
#include <cstdint>
#include <memory>

namespace masticgap::coordination::internal {

//! Address as two 64-bit integers, so that prefixes are compared a word at a
//! time.
struct BlockKey {
  std::uint64_t High = 0;
  std::uint64_t Low = 0;

  static BlockKey of(const ClientAddress &A) {
    BlockKey K;
    for (std::size_t I = 0; I < 8; ++I) {
      K.High = K.High << 8 | A.Bytes[I];
      K.Low = K.Low << 8 | A.Bytes[I + 8];
    }
    return K;
  }

  //! Returns the four bits that start at bit 4 * Index, or 0 past the end.
  unsigned nibble(unsigned Index) const {
    if (Index >= 32)
      return 0;
    const std::uint64_t Half = Index < 16 ? High : Low;
    return static_cast<unsigned>(Half >> (60 - 4 * (Index % 16))) & 0xf;
  }

  //! Returns the number of equal leading nibbles, at most 32.
  unsigned commonNibbles(const BlockKey &O) const {
    if (High != O.High)
      return static_cast<unsigned>(std::countl_zero(High ^ O.High)) / 4;
    return 16 + static_cast<unsigned>(std::countl_zero(Low ^ O.Low)) / 4;
  }
};

//! Node of a 16-way trie with path compression. It represents a prefix of Depth
//! nibbles and stores the blocks that are up to 3 bits longer.
struct BlockNode {
  BlockKey Key;             //!< Only the first Depth nibbles are valid.
  std::uint8_t Depth = 0;   //!< In nibbles.
  std::uint16_t Blocks = 0; //!< One bit per block; see blockBit().
  std::uint16_t Next = 0;   //!< One bit per child, by the nibble at Depth.
  //! Most nodes are leaves with one block; inline storage saves a cache miss.
  boost::container::small_vector<BlockTrie::Value, 2> Values;
  boost::container::small_vector<std::shared_ptr<BlockNode>, 2> Children;
};

//! Returns the bit number of the block with Extra bits (0 to 3) after the
//! node's prefix. Longer blocks have higher bit numbers.
constexpr unsigned blockBit(unsigned Nibble, unsigned Extra) {
  return (1U << Extra) - 1 + (Nibble >> (4 - Extra));
}

//! Returns the index of a bit's element in a vector with one element per set
//! bit.
constexpr std::size_t rankOf(std::uint16_t Bits, unsigned Bit) {
  return static_cast<std::size_t>(
      std::popcount(static_cast<unsigned>(Bits) & ((1U << Bit) - 1)));
}

} // namespace masticgap::coordination::internal
