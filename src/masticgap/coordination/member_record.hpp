#pragma once

#include "masticgap/state/entry_host_descriptor.hpp"

#include <compare>
#include <cstdint>
#include <tuple>
#include <vector>

namespace masticgap::coordination {

//! Assumed status of a member. At the same incarnation and revision, a later
//! enumerator supersedes an earlier one.
enum class MemberStatus : std::uint8_t {
  Alive,
  Suspect, //!< Did not answer probes; declared dead unless it refutes in time.
  Dead,
  Left //!< Stopped by a planned stop.
};

//! Members that have the same configuration version in force. All members
//! report after a change, so each is encoded only as its 8-byte key.
struct VersionHolders {
  std::uint64_t ConfigVersion = 0;
  std::vector<std::uint64_t> Members; //!< Results of memberKey().

  friend bool operator==(const VersionHolders &,
                         const VersionHolders &) = default;
};

//! State of one member as gossip distributes it.
struct MemberRecord {
  EntryHostDescriptor Host;
  std::uint32_t Revision = 0; //!< Incremented only by the member itself.
  MemberStatus Status = MemberStatus::Alive;
  bool Draining = false; //!< Accepts no new callers; set by the member itself.
  std::uint64_t ConfigVersion = 0; //!< Configuration version in force.
  std::uint64_t Epoch = 0;         //!< At-most-once epoch.
  //! Processor of the host, see sizeClass(); set by the member itself.
  std::uint8_t SizeClass = 0;

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

//! Largest value of MemberRecord::SizeClass.
inline constexpr std::uint8_t MaxSizeClass = 7;

//! Returns the class of a host: 0 below an eighth of a core, or if the share is
//! unknown (0); one more for each doubling.
inline std::uint8_t sizeClass(double ProcessorShare) {
  constexpr double Smallest = 0.0625;
  std::uint8_t Class = 0;
  while (Class < MaxSizeClass && ProcessorShare >= 2 * Smallest) {
    ProcessorShare /= 2;
    ++Class;
  }
  return Class;
}

//! Returns a hash of host id and incarnation.
std::uint64_t memberKey(const EntryHostDescriptor &Host);

//! Returns whether the member may still be running: alive or suspected.
constexpr bool isLive(const MemberRecord &Record) {
  return Record.Status == MemberStatus::Alive ||
         Record.Status == MemberStatus::Suspect;
}

//! Returns whether look-up answers may name the member.
constexpr bool takesCallers(const MemberRecord &Record) {
  return isLive(Record) && !Record.Draining;
}

//! Returns whether Left supersedes Right, ordered by (incarnation, revision,
//! status).
inline bool supersedes(const MemberRecord &Left, const MemberRecord &Right) {
  return std::tie(Left.Host.Run, Left.Revision, Left.Status) >
         std::tie(Right.Host.Run, Right.Revision, Right.Status);
}

} // namespace masticgap::coordination
