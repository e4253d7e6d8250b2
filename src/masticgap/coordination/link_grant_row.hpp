#pragma once

#include "masticgap/coordination/region_pair.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace masticgap::coordination {

//! Store table of the grant rows.
inline constexpr std::string_view LinkGrantTable = "link-grants";

//! Entry of one holder in a grant row.
struct LinkGrantEntry {
  HostId Holder;
  Incarnation Run;
  std::uint64_t Sequence = 0; //!< Incremented by each write of the holder.
  std::uint64_t Rate = 0;     //!< Bytes per second that the holder may use.
  std::uint64_t Wanted = 0;   //!< Bytes per second that the holder requests.

  friend bool operator==(const LinkGrantEntry &,
                         const LinkGrantEntry &) = default;
};

//! Grant row of one directed pair.
struct LinkGrantRow {
  std::uint64_t ConfigVersion = 0; //!< Newest version known to a writer.
  std::uint64_t Cap = 0;           //!< Cap at that version, bytes per second.
  std::vector<LinkGrantEntry> Entries;

  friend bool operator==(const LinkGrantRow &, const LinkGrantRow &) = default;
};

//! Returns the key of a pair's row, for example "luzon>visayas".
std::string linkGrantKey(const RegionPair &Pair);

//! Serializes a row to JSON.
std::string toJson(const LinkGrantRow &Row);

//! Parses a row from JSON. \returns std::nullopt when the text is not a row.
std::optional<LinkGrantRow> parseLinkGrantRow(std::string_view Json);

} // namespace masticgap::coordination
