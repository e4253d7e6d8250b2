#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace masticgap::coordination {

//! Number of times that the store was restored from a copy.
using StoreEra = std::uint16_t;

//! Point in the history of the store. Versions are assigned again after a
//! restore, so a version means something within its era only.
struct StorePosition {
  //! Version bits in the packed form; the other 16 bits hold the era.
  static constexpr unsigned VersionBits = 48;
  static constexpr std::uint64_t MaxVersion =
      (std::uint64_t{1} << VersionBits) - 1;

  constexpr StorePosition() = default;
  //! No conversion from a plain version exists, so that none is compared
  //! without its era by accident.
  constexpr StorePosition(StoreEra Era, std::uint64_t Version)
      : Era(Era), Version(Version) {}

  //! Returns the position that packed() was called on. In a number of a host
  //! that knows no eras the era is 0.
  static constexpr StorePosition unpack(std::uint64_t Packed) {
    return {static_cast<StoreEra>(Packed >> VersionBits), Packed & MaxVersion};
  }
  //! Returns the position as one number with the same order. Limits the version
  //! to MaxVersion so that it does not run into the era.
  constexpr std::uint64_t packed() const {
    return (std::uint64_t{Era} << VersionBits) |
           (Version < MaxVersion ? Version : MaxVersion);
  }

  friend constexpr auto operator<=>(const StorePosition &,
                                    const StorePosition &) = default;

  StoreEra Era = 0;
  std::uint64_t Version = 0;
};

} // namespace masticgap::coordination
