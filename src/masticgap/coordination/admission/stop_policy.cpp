#include "masticgap/coordination/admission/stop_policy.hpp"

#include <algorithm>

namespace masticgap::coordination {

bool maySendDuringStop(const StopRequest &Request, Instant LastAnswer,
                       Instant Now, const StopPolicy &Policy) {
  if (Request.Deadline <= LastAnswer)
    return true;
  const Duration TimeNeeded = std::chrono::duration_cast<Duration>(
      std::max(Request.LatencyObjective, Request.TypicalLatency) *
      Policy.CompletionFactor);
  return TimeNeeded <= LastAnswer - Now;
}

} // namespace masticgap::coordination
