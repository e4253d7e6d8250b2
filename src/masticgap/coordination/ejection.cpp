#include "masticgap/coordination/ejection.hpp"

#include <algorithm>

namespace masticgap::coordination {

void Ejection::record(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    Failures = 0;
    Unproved = false;
    NextDuration = MinDuration;
    return;
  case AttemptEnd::ConnectFailed:
    // A refused connection shows that no process listens; waiting for more
    // failures would only send more requests to the worker.
    Failures = FailureLimit;
    Unproved = true;
    return;
  case AttemptEnd::TimedOut:
  case AttemptEnd::ConnectionLost:
  case AttemptEnd::Truncated:
    ++Failures;
    Unproved = Unproved || isDue();
    return;
  case AttemptEnd::RefusedFull:
  case AttemptEnd::RefusedLeaving:
  case AttemptEnd::Cancelled:
    return; // The worker is alive, or the caller cancelled the attempt.
  }
}

void Ejection::begin(Instant Now) {
  EjectedUntil = Now + NextDuration;
  NextDuration = std::min(2 * NextDuration, MaxDuration);
  // The first failure after the ejection starts the next one.
  Failures = FailureLimit - 1;
}

void Ejection::recordProbe(Instant Now) {
  if (!isActive(Now))
    Unproved = false;
}

} // namespace masticgap::coordination
