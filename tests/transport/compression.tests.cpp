#include "masticgap/transport/compression.hpp"

#include <doctest/doctest.h>

using namespace masticgap::transport;

// Guards against a peer's answer that is taken for whole, or that makes this
// host allocate memory without bound.
TEST_CASE("only a whole text within the limit is decompressed") {
  const std::string Text(100000, 'v');
  const std::string Good = compress(Text);
  CHECK(Good.size() < Text.size() / 10);
  std::string Damaged = Good;
  Damaged[0] = 'x';
  std::string Larger = Good;
  // The stated size follows a magic number of four bytes and a descriptor.
  for (std::size_t At = 5; At < 9; ++At)
    Larger[At] = '\x7f';
  struct Case {
    const char *Name;
    std::string Bytes;
    std::size_t MaxBytes;
    std::optional<std::string> Expected;
  };
  const Case Cases[] = {
      {"whole", Good, Text.size(), Text},
      {"empty text", compress(""), 10, ""},
      {"over the limit", Good, Text.size() - 1, std::nullopt},
      {"no bytes", "", Text.size(), std::nullopt},
      {"truncated", Good.substr(0, Good.size() - 1), Text.size(), std::nullopt},
      {"truncated head", Good.substr(0, 5), Text.size(), std::nullopt},
      {"more bytes", Good + "x", Text.size(), std::nullopt},
      {"not compressed", Text, Text.size(), std::nullopt},
      {"damaged", Damaged, Text.size(), std::nullopt},
      {"another size", Larger, std::size_t(1) << 40, std::nullopt},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    CHECK(decompress(C.Bytes, C.MaxBytes) == C.Expected);
  }
}
