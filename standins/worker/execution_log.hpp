#pragma once

#include "masticgap/state/time.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace masticgap::standins {

//! Requests and transfers that a worker observed. The proofs check against this
//! log and never against masticgap's reports.
class ExecutionLog {
public:
  //! Counts a request whose execution starts.
  //! \param Key idempotency key, or empty for a repeatable request.
  void recordStart(const std::string &Key);
  //! Counts a request that the worker refused.
  void recordRefusal() { ++Refused; }
  //! Counts a request that arrived after the grace period of a leaving worker.
  void recordLateArrival() { ++ArrivedAfterLeaving; }

  //! Counts the bytes of a request and its answer.
  //! \param Region region of the entry host.
  void recordTransfer(const std::string &Region, std::uint64_t In,
                      std::uint64_t Out, std::uint64_t UnixMs);

  //! Updates the highest number of slots in use.
  void recordInUse(unsigned Slots);

  //! Records the time from the leaving notice until no request was running.
  void recordDrain(std::uint64_t Milliseconds) { DrainMs = Milliseconds; }

  boost::json::object toJson() const;

private:
  //! Length of a window over which bytes are summed.
  static constexpr std::uint64_t WindowMs = 100;

  struct Bytes {
    std::uint64_t In = 0, Out = 0, Requests = 0;
  };

  std::uint64_t Started = 0, Refused = 0, ArrivedAfterLeaving = 0;
  unsigned HighestInUse = 0;
  std::uint64_t DrainMs = 0;
  std::map<std::string, unsigned> ExecutionsOfKey;
  std::map<std::string, std::map<std::uint64_t, Bytes>> Windows;
};

} // namespace masticgap::standins
