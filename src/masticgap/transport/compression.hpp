#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace masticgap::transport {

//! Name of the compression in Accept-Encoding and Content-Encoding.
constexpr std::string_view CompressionName = "zstd";

//! Compresses a text (Zstandard).
//! \returns the compressed bytes; the text itself is never changed.
std::string compress(std::string_view Text);

//! Decompresses the result of compress().
//! \param MaxBytes largest size of the text.
//! \returns nothing when the bytes are malformed, truncated, or state no size
//! or one above \p MaxBytes.
std::optional<std::string> decompress(std::string_view Bytes,
                                      std::size_t MaxBytes);

} // namespace masticgap::transport
