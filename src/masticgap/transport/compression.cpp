#include "masticgap/transport/compression.hpp"

#include <algorithm>

#include <zstd.h>

namespace masticgap::transport {

namespace {

constexpr int Level = 1;
//! No frame decompresses to more than this times its size: a block of 128 KiB
//! takes at least four bytes. Keeps malformed bytes from stating a size that is
//! costly to allocate.
constexpr unsigned long long MaxRatio = 32 * 1024;

} // namespace

std::string compress(std::string_view Text) {
  std::string Bytes(ZSTD_compressBound(Text.size()), '\0');
  // With a buffer of this size, compression fails only without memory.
  const std::size_t Size = ZSTD_compress(Bytes.data(), Bytes.size(),
                                         Text.data(), Text.size(), Level);
  Bytes.resize(ZSTD_isError(Size) == 0 ? Size : 0);
  return Bytes;
}

std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes) {
  const unsigned long long Stated =
      ZSTD_getFrameContentSize(Bytes.data(), Bytes.size());
  const unsigned long long Limit =
      std::min<unsigned long long>(MaxBytes, Bytes.size() * MaxRatio);
  // Also true for the two values that mean an error or an unknown size.
  if (Stated > Limit)
    return std::nullopt;
  std::string Text(static_cast<std::size_t>(Stated), '\0');
  const std::size_t Size =
      ZSTD_decompress(Text.data(), Text.size(), Bytes.data(), Bytes.size());
  if (ZSTD_isError(Size) != 0 || Size != Text.size())
    return std::nullopt;
  return Text;
}

} // namespace masticgap::transport
