#pragma once

#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace masticgap::coordination {

//! Number of connections of callers that a host with this number of
//! descriptors can serve.
std::size_t maxCallerConnections(std::size_t Descriptors);

//! What the open connections of callers hold, and which one is closed when
//! memory or descriptors are short.
class CallerLedger {
public:
  using CallerId = std::uint64_t;
  static constexpr std::size_t MinProgressBytes = 4 * 1024;

  //! Connection to be closed.
  struct Victim {
    CallerId Caller = 0;
    std::size_t Bytes = 0;
    Duration WithoutProgress{0};
  };

  explicit CallerLedger(std::size_t MaxConnections)
      : MaxConnections(MaxConnections) {}

  bool isFull() const { return Callers.size() >= MaxConnections; }
  std::size_t connections() const { return Callers.size(); }

  CallerId open(Instant Now);
  //! Removes a connection; unknown ones are ignored.
  void close(CallerId Caller) { Callers.erase(Caller); }
  //! Sets the number of bytes that a caller makes the process hold.
  void hold(CallerId Caller, std::size_t Bytes);
  //! Records that a caller began a request or read a response.
  void progress(CallerId Caller, Instant Now);
  //! Records bytes of a request. They are progress once there are
  //! MinProgressBytes of them, so that a caller cannot keep its connection by
  //! single bytes.
  void received(CallerId Caller, std::size_t Bytes, Instant Now);
  //! Sets whether a worker is serving a request of the caller. That time does
  //! not count as time without progress.
  void setServed(CallerId Caller, bool Served, Instant Now);

  //! Removes and returns the connection that holds most for the longest
  //! without progress, never one that a worker is serving.
  //! \param MinBytes connections that hold less are not considered.
  //! \returns nothing if there is no such connection.
  std::optional<Victim> takeVictim(std::size_t MinBytes, Instant Now);

private:
  struct Entry {
    std::size_t Bytes = 0;
    Instant LastProgress;
    std::size_t NewBytes = 0; //!< Since LastProgress.
    Instant ServedSince;
    bool Served = false;
  };

  std::size_t MaxConnections;
  CallerId LastId = 0;
  std::unordered_map<CallerId, Entry> Callers;
};

} // namespace masticgap::coordination
