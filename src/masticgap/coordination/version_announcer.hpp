#pragma once

#include <algorithm>
#include <cstdint>

namespace masticgap::coordination {

//! Decides whether a host spreads a configuration version as an urgent rumor.
//! Only hosts that learn of the version before any rumor arrives do so, that is
//! the readers of the store. If every one of N hosts did, a change would cost
//! N * N messages.
class VersionAnnouncer {
public:
  //! Records a rumor of a peer that reports the version.
  void recordRumor(std::uint64_t Version) {
    Newest = std::max(Newest, Version);
  }

  //! Records that the version came into force on this host.
  //! \returns whether this host has to spread it; true at most once per
  //! version.
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
