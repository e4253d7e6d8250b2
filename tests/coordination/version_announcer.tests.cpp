#include "masticgap/coordination/version_announcer.hpp"

#include <doctest/doctest.h>

#include <optional>

using namespace masticgap::coordination;

// Guards against N * N messages for a change: 120 idle hosts that all spread it
// used 225 KB/s each.
TEST_CASE("only a host that learns a version before any rumor spreads it") {
  struct Case {
    const char *Name;
    std::optional<std::uint64_t> Heard;
    std::uint64_t Accepted;
    bool Spreads;
  };
  const Case Cases[] = {{"read from the store", std::nullopt, 7, true},
                        {"reported by a rumor", 7, 7, false},
                        {"newer one reported", 8, 7, false},
                        {"older one reported", 6, 7, true}};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    VersionAnnouncer Announcer;
    if (C.Heard)
      Announcer.recordRumor(*C.Heard);
    CHECK(Announcer.recordAccepted(C.Accepted) == C.Spreads);
    CHECK_FALSE(Announcer.recordAccepted(C.Accepted));
  }
}
