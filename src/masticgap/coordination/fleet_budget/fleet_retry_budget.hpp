#pragma once

#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace masticgap::coordination {

//! Limits of the retries of all hosts together, for one service.
struct FleetRetryLimits {
  double Ratio = 0.2; //!< Retries per request.
  double Slack = 0;   //!< Additional retries of the whole fleet.
  Duration Window = std::chrono::seconds(10);
};

//! This host's part of a retry budget that holds for the sum over all hosts.
//!
//! The ratio applies to the requests that this host received; the slack is
//! divided by the number of hosts. A host that has just started gets no slack
//! for one window, because its predecessor may have spent it.
class FleetRetryBudget {
public:
  FleetRetryBudget(FleetRetryLimits Limits, Instant Start)
      : Limits(Limits), Start(Start) {}

  //! Records a request of a caller.
  void recordRequest(Instant Now);

  //! Withdraws one retry from the budget.
  //! \param Hosts number of hosts that share the slack. Hosts that appear dead
  //! count, because they may only be partitioned.
  //! \returns false if the retry must not be sent.
  bool tryWithdraw(std::size_t Hosts, Instant Now);

  //! Returns the retries that could be withdrawn now.
  double available(std::size_t Hosts, Instant Now);

private:
  void expire(Instant Now);

  FleetRetryLimits Limits;
  Instant Start;
  std::deque<Instant> Requests;
  std::deque<Instant> Retries;
};

} // namespace masticgap::coordination
