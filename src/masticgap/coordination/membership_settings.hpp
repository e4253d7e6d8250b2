#pragma once

#include "masticgap/state/endpoint.hpp"
#include "masticgap/state/entry_host_descriptor.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticgap::coordination {

//! Time limits and bounds of Membership.
struct MembershipTiming {
  Duration Period = std::chrono::milliseconds{250};
  //! Time-out of a direct probe. Indirect probes use the rest of the period.
  Duration DirectTimeout = std::chrono::milliseconds{100};
  Duration SuspicionTime = std::chrono::seconds{1};
  unsigned IndirectProbes = 3;
  //! Each update is sent TransmitFactor times the number of binary digits of
  //! the live member count.
  unsigned TransmitFactor = 3;
  //! Interval between probes of dead members or unknown seeds.
  Duration DeadProbeInterval = std::chrono::seconds{5};
  //! Regions occasionally lose contact for an hour, and dead members must be
  //! remembered until contact is restored. Outdated alive records, which could
  //! revive a forgotten member, have left all queues long before this time.
  Duration ForgetDeadAfter = std::chrono::hours{24};
  std::size_t MaxDeadMembers = 1024; //!< The oldest are forgotten first.
  Duration RumorLifetime = std::chrono::minutes{10};
  std::size_t MaxRumors = 4096; //!< Those that expire first are dropped first.
  //! Resend interval of urgent rumors; longer than the round trip between two
  //! regions.
  Duration RumorResend = std::chrono::milliseconds{60};
  //! Time after which a spread ends, acknowledged or not.
  Duration RumorSpreadTime = std::chrono::milliseconds{300};
  //! Time for which rumors are collected for one spread.
  Duration RumorCollectTime = std::chrono::milliseconds{10};
  //! Minimum time between two spreads of a member, for each live member. All
  //! members together start at most 50 spreads in a second.
  Duration RumorSpreadShare = std::chrono::milliseconds{20};
  //! Above this number of other live members, urgent rumors are sent to one
  //! relay per failure domain.
  std::size_t DirectRumorMembers = 32;
  //! Minimum interval between syncs of differing views. A view that changed
  //! within SyncQuiet is synced at most once per BusySyncFactor (4) intervals.
  Duration SyncInterval = std::chrono::seconds{15};
  Duration SyncQuiet = std::chrono::seconds{3};
};

//! Construction parameters of Membership.
struct MembershipSettings {
  EntryHostDescriptor Self;
  std::vector<Endpoint> Seeds; //!< Gossip endpoints used to join.
  std::uint64_t RandomSeed = 1;
  MembershipTiming Timing;
  std::uint8_t SizeClass = 0; //!< Of this host, see sizeClass().
};

} // namespace masticgap::coordination
