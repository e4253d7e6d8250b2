#pragma once

#include <algorithm>
#include <cstdint>

namespace masticgap::coordination {

//! Decides whether a host spreads a configuration version as an urgent rumor.
//! Only hosts that learn of it before any rumor do, that is the readers of the
//! store; if each host did, a change would cost N * N messages.
class VersionAnnouncer {
public:
  //! A peer's rumor told of the version.
  void recordRumor(std::uint64_t Version) {
    Newest = std::max(Newest, Version);
  }

  //! The version came into force here.
  //! \returns whether this host has to spread it; true once a version at most.
  bool recordAccepted(std::uint64_t Version) {
    if (Version <= Newest)
      return false;
    Newest = Version;
    return true;
  }

private:
  std::uint64_t Newest = 0;
};

} // namespace masticgap::coordination
