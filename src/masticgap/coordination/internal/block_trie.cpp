#include "masticgap/coordination/internal/block_trie.hpp"

#include "masticgap/coordination/internal/block_node.hpp"

#include <algorithm>
#include <array>

namespace masticgap::coordination::internal {

namespace {

using NodePtr = std::shared_ptr<BlockNode>;

//! For each value of the next nibble, the blocks of a node that contain the
//! address.
constexpr std::array<std::uint16_t, 16> MatchingBlocks = [] {
  std::array<std::uint16_t, 16> Masks{};
  for (unsigned Nibble = 0; Nibble < 16; ++Nibble)
    for (unsigned Extra = 0; Extra < 4; ++Extra)
      Masks[Nibble] |=
          static_cast<std::uint16_t>(1U << blockBit(Nibble, Extra));
  return Masks;
}();

bool has(std::uint16_t Bits, unsigned Bit) { return (Bits >> Bit & 1) != 0; }

BlockTrie::Value findFrom(const BlockNode *Node, const BlockKey &Key) {
  BlockTrie::Value Best = BlockTrie::None;
  while (Node != nullptr && Key.commonNibbles(Node->Key) >= Node->Depth) {
    const unsigned Nibble = Key.nibble(Node->Depth);
    const unsigned Matching = Node->Blocks & MatchingBlocks[Nibble];
    if (Matching != 0)
      Best = Node->Values[rankOf(
          Node->Blocks, static_cast<unsigned>(std::bit_width(Matching)) - 1)];
    if (!has(Node->Next, Nibble))
      break;
    Node = Node->Children[rankOf(Node->Next, Nibble)].get();
  }
  return Best;
}

//! Replaces a shared node by a copy that only this trie refers to. A node is
//! shared when it or one of its ancestors has another owner. Ancestors must be
//! made exclusive first, which increments the use count of their children.
BlockNode &makeExclusive(NodePtr &Node) {
  if (Node.use_count() != 1)
    Node = std::make_shared<BlockNode>(*Node);
  return *Node;
}

NodePtr makeNode(const BlockKey &Key, unsigned Depth) {
  auto Node = std::make_shared<BlockNode>();
  Node->Key = Key;
  Node->Depth = static_cast<std::uint8_t>(Depth);
  return Node;
}

void addChild(BlockNode &Node, NodePtr Child) {
  const unsigned Nibble = Child->Key.nibble(Node.Depth);
  const auto At = static_cast<std::ptrdiff_t>(rankOf(Node.Next, Nibble));
  Node.Children.insert(Node.Children.begin() + At, std::move(Child));
  Node.Next |= static_cast<std::uint16_t>(1U << Nibble);
}

//! Sets the value of a block in its node. \returns whether the block is new.
bool setInNode(BlockNode &Node, unsigned Bit, BlockTrie::Value V) {
  const std::size_t At = rankOf(Node.Blocks, Bit);
  if (has(Node.Blocks, Bit)) {
    Node.Values[At] = V;
    return false;
  }
  Node.Values.insert(Node.Values.begin() + static_cast<std::ptrdiff_t>(At), V);
  Node.Blocks |= static_cast<std::uint16_t>(1U << Bit);
  return true;
}

bool setFrom(NodePtr &Root, const BlockKey &Key, unsigned Length,
             BlockTrie::Value V) {
  const unsigned Depth = Length / 4;
  const unsigned Bit = blockBit(Key.nibble(Depth), Length % 4);
  NodePtr *Slot = &Root;
  while (*Slot != nullptr) {
    const unsigned Common = std::min(Depth, Key.commonNibbles((*Slot)->Key));
    if (Common < (*Slot)->Depth) {
      // The block branches off or ends above this node.
      NodePtr Parent = makeNode(Key, Common);
      addChild(*Parent, std::move(*Slot));
      *Slot = std::move(Parent);
    }
    BlockNode &Node = makeExclusive(*Slot);
    if (Node.Depth == Depth)
      return setInNode(Node, Bit, V);
    const unsigned Nibble = Key.nibble(Node.Depth);
    if (!has(Node.Next, Nibble))
      addChild(Node, makeNode(Key, Depth));
    Slot = &Node.Children[rankOf(Node.Next, Nibble)];
  }
  *Slot = makeNode(Key, Depth);
  return setInNode(**Slot, Bit, V);
}

//! Removes a node without blocks and children, or replaces a node without
//! blocks by its only child.
void compress(NodePtr &Node) {
  if (Node->Blocks != 0 || Node->Children.size() > 1)
    return;
  NodePtr Only;
  if (!Node->Children.empty())
    Only = Node->Children.front();
  Node = std::move(Only);
}

void eraseFrom(NodePtr &Slot, const BlockKey &Key, unsigned Length) {
  BlockNode &Node = makeExclusive(Slot);
  if (Node.Depth == Length / 4) {
    const unsigned Bit = blockBit(Key.nibble(Node.Depth), Length % 4);
    Node.Values.erase(Node.Values.begin() +
                      static_cast<std::ptrdiff_t>(rankOf(Node.Blocks, Bit)));
    Node.Blocks &= static_cast<std::uint16_t>(~(1U << Bit));
    return compress(Slot);
  }
  const unsigned Nibble = Key.nibble(Node.Depth);
  const std::size_t At = rankOf(Node.Next, Nibble);
  eraseFrom(Node.Children[At], Key, Length);
  if (Node.Children[At] != nullptr)
    return;
  Node.Children.erase(Node.Children.begin() + static_cast<std::ptrdiff_t>(At));
  Node.Next &= static_cast<std::uint16_t>(~(1U << Nibble));
  compress(Slot);
}

bool contains(const BlockNode *Node, const BlockKey &Key, unsigned Length) {
  const unsigned Depth = Length / 4;
  while (Node != nullptr && Node->Depth <= Depth &&
         Key.commonNibbles(Node->Key) >= Node->Depth) {
    if (Node->Depth == Depth)
      return has(Node->Blocks, blockBit(Key.nibble(Depth), Length % 4));
    const unsigned Nibble = Key.nibble(Node->Depth);
    if (!has(Node->Next, Nibble))
      return false;
    Node = Node->Children[rankOf(Node->Next, Nibble)].get();
  }
  return false;
}

std::size_t bytesFrom(const BlockNode *Node) {
  if (Node == nullptr)
    return 0;
  // make_shared stores two counters and a vtable pointer before the node.
  std::size_t Bytes = sizeof(BlockNode) + 16;
  if (Node->Values.capacity() > 2)
    Bytes += Node->Values.capacity() * sizeof(BlockTrie::Value);
  if (Node->Children.capacity() > 2)
    Bytes += Node->Children.capacity() * sizeof(NodePtr);
  for (const NodePtr &Child : Node->Children)
    Bytes += bytesFrom(Child.get());
  return Bytes;
}

} // namespace

BlockTrie::Value BlockTrie::find(const ClientAddress &Address) const {
  return findFrom(Address.V6 ? V6.get() : V4.get(), BlockKey::of(Address));
}

void BlockTrie::set(const ClientBlock &Block, Value V) {
  NodePtr &Root = Block.Prefix.V6 ? V6 : V4;
  if (setFrom(Root, BlockKey::of(Block.Prefix), Block.Length, V))
    ++Count;
}

void BlockTrie::erase(const ClientBlock &Block) {
  NodePtr &Root = Block.Prefix.V6 ? V6 : V4;
  const BlockKey Key = BlockKey::of(Block.Prefix);
  if (!contains(Root.get(), Key, Block.Length))
    return;
  eraseFrom(Root, Key, Block.Length);
  --Count;
}

std::size_t BlockTrie::memoryBytes() const {
  return bytesFrom(V4.get()) + bytesFrom(V6.get());
}

} // namespace masticgap::coordination::internal
