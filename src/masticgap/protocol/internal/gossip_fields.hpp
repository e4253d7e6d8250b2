#pragma once

#include "masticgap/coordination/gossip_message.hpp"

#include <cereal/archives/portable_binary.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::protocol {

//! Writes the fields of a message. The lengths of names and lists and the index
//! of a variant take one byte each; with cereal's eight-byte lengths a datagram
//! would hold half as many records.
class GossipWriter {
public:
  explicit GossipWriter(cereal::PortableBinaryOutputArchive &Archive)
      : Ar(Archive) {}

  template <class... Number> void numbers(const Number &...Values) {
    Ar(Values...);
  }
  void text(const std::string &Value) {
    if (Value.size() > coordination::MaxGossipNameBytes)
      throw cereal::Exception("name \"" + Value + "\" is too long");
    numbers(static_cast<std::uint8_t>(Value.size()));
    Ar.saveBinary<1>(Value.data(), static_cast<std::streamsize>(Value.size()));
  }
  template <class Tag> void name(const Name<Tag> &Value) {
    text(Value.value());
  }
  void flag(bool Value) { numbers(static_cast<std::uint8_t>(Value)); }

  template <class Item> void list(const std::vector<Item> &Items) {
    if (Items.size() > std::numeric_limits<std::uint8_t>::max())
      throw cereal::Exception("list is too long");
    numbers(static_cast<std::uint8_t>(Items.size()));
    for (const Item &Value : Items)
      write(*this, Value);
  }

private:
  cereal::PortableBinaryOutputArchive &Ar;
};

//! Reads the format of GossipWriter. Throws cereal::Exception for values that
//! GossipWriter never produces.
class GossipReader {
public:
  explicit GossipReader(cereal::PortableBinaryInputArchive &Archive)
      : Ar(Archive) {}

  template <class... Number> void numbers(Number &...Values) { Ar(Values...); }

  std::uint8_t byte(std::uint8_t Largest) {
    std::uint8_t Value = 0;
    numbers(Value);
    if (Value > Largest)
      throw cereal::Exception("value " + std::to_string(Value) + " is above " +
                              std::to_string(Largest));
    return Value;
  }
  void text(std::string &Value) {
    Value.resize(byte(coordination::MaxGossipNameBytes));
    Ar.loadBinary<1>(Value.data(), static_cast<std::streamsize>(Value.size()));
  }
  template <class Tag> void name(Name<Tag> &Value) {
    std::string Text;
    text(Text);
    Value = Name<Tag>(std::move(Text));
  }
  void flag(bool &Value) { Value = byte(1) == 1; }

  template <class Item> void list(std::vector<Item> &Items) {
    const std::uint8_t Count = byte(std::numeric_limits<std::uint8_t>::max());
    for (unsigned I = 0; I < Count; ++I)
      read(*this, Items.emplace_back());
  }

private:
  cereal::PortableBinaryInputArchive &Ar;
};

} // namespace masticgap::protocol
