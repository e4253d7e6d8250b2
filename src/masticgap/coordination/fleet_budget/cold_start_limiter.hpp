#pragma once

#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>

namespace masticgap::coordination {

//! Whether a host may send a request to a cold worker.
enum class ColdSend {
  Allowed,
  NotNow, //!< Other hosts send to the worker, or the interval has not passed.
  Unseen  //!< The interval of this host starts when it is recorded.
};

//! Limits the rate of requests that all hosts together send to a cold worker.
//!
//! Every host computes the same small set of hosts that may send to a worker,
//! and each of these keeps a minimum interval between its requests. The limit
//! therefore holds without communication, also with hosts that are partitioned
//! or have just started.
class ColdStartLimiter {
public:
  explicit ColdStartLimiter(const HostId &Self);

  //! Returns whether this host may send a request to a cold worker now.
  //! \param Worker hash of the worker.
  //! \param Rate requests per second that the worker tolerates.
  //! \param Hosts all hosts that may send, including this one.
  ColdSend check(std::uint64_t Worker, double Rate,
                 std::span<const HostId> Hosts, Instant Now) const;

  //! Starts the interval of a worker that check() reported as unseen.
  //! \param Hosts number of hosts that may send, including this one.
  void recordSeen(std::uint64_t Worker, double Rate, std::size_t Hosts,
                  Instant Now);

  //! Calls check() and, for a worker that is unseen, recordSeen().
  //! \param Worker hash of the worker.
  //! \param Rate requests per second that the worker tolerates.
  //! \param Hosts all hosts that may send, including this one.
  bool maySend(std::uint64_t Worker, double Rate, std::span<const HostId> Hosts,
               Instant Now);

  //! Records that a request was sent.
  void recordSent(std::uint64_t Worker, Instant Now);

private:
  //! Returns the number of hosts that send to a worker.
  static std::size_t maxSenders(double Rate);
  //! Returns the interval between two requests of a host to a worker.
  static Duration minInterval(double Rate, std::size_t Hosts);

  HostId Self;
  std::map<std::uint64_t, Instant> LastSent; //!< By worker.
};

} // namespace masticgap::coordination
