#pragma once

#include "masticgap/coordination/affinity/worker_record.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace masticgap::coordination {

//! Identifies a worker in messages between hosts.
using LoadKey = std::uint32_t;
LoadKey loadKey(const WorkerId &Id);

//! Role of the sender, which decides who the reports are for.
enum class LoadSource : std::uint8_t {
  Host,   //!< A host sends its own reports to its gatherer.
  Domain, //!< A gatherer sends those of its domain to other gatherers.
  Region  //!< A gatherer sends those of the region to the hosts of its domain.
};

//! Report of a worker's load in the units of a message.
struct LoadEntry {
  LoadKey Worker = 0;
  std::uint8_t Busy = 0;   //!< Running and waiting requests, at most 255.
  std::uint8_t Factor = 0; //!< Work factor in units of 5 %, at most 255.
  std::uint8_t Age = 0;    //!< In units of 10 ms, rounded up.

  friend bool operator==(const LoadEntry &, const LoadEntry &) = default;
};

//! Content of one datagram.
struct LoadMessage {
  LoadSource Source = LoadSource::Host;
  std::vector<LoadEntry> Entries;

  friend bool operator==(const LoadMessage &, const LoadMessage &) = default;
};

//! Entries of one message: 170 times 7 bytes and the head are below 1,200
//! bytes, so that a datagram is not fragmented.
inline constexpr std::size_t MaxLoadEntries = 170;

//! Report with the worker that it is about.
struct WorkerLoad {
  LoadKey Worker = 0;
  PeerReport Report;
};

//! Converts a report to the units of a message.
LoadEntry toEntry(const WorkerLoad &Load, Instant Now);
//! Converts an entry that has just arrived. The time that it was under way is
//! not known and not included in its age.
WorkerLoad fromEntry(const LoadEntry &Entry, Instant Now);

} // namespace masticgap::coordination
