#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>

namespace masticgap::coordination {

//! Keeps the requests that all hosts together send to a cold worker under the
//! rate that it tolerates. Only a few hosts, the same from every host's point
//! of view, send to one cold worker, and each of them keeps a distance between
//! its requests; so the sum holds without messages, and also for hosts that
//! are cut off or have just started.
class ColdStartLimiter {
public:
  explicit ColdStartLimiter(const HostId &Self);

  //! Asked before a request is sent to a cold worker.
  //! \param Worker hash of the worker.
  //! \param Rate requests per second that the worker tolerates.
  //! \param Hosts all hosts that may send, this one too.
  bool maySend(std::uint64_t Worker, double Rate, std::span<const HostId> Hosts,
               Instant Now);

  //! The request was sent.
  void recordSent(std::uint64_t Worker, Instant Now);

private:
  HostId Self;
  std::map<std::uint64_t, Instant> LastUse; //!< By worker.
};

} // namespace masticgap::coordination
