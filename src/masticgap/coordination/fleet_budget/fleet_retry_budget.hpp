#pragma once

#include "masticgap/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace masticgap::coordination {

//! Bound of the retries of all hosts together, for one service.
struct FleetRetryLimits {
  double Ratio = 0.2; //!< Retries per request.
  double Slack = 0;   //!< Further retries of the whole fleet.
  Duration Window = std::chrono::seconds(10);
};

//! This host's part of a budget of retries that holds for the sum over all
//! hosts. The ratio applies to the requests that this host saw itself; the
//! slack is divided by the number of hosts. A host that has just started may
//! follow one that spent its part, so it gets no slack for one window.
class FleetRetryBudget {
public:
  FleetRetryBudget(FleetRetryLimits Limits, Instant Start)
      : Limits(Limits), Start(Start) {}

  //! A request of a caller is to be served.
  void recordRequest(Instant Now);

  //! Takes one retry from the budget.
  //! \param Hosts number of hosts that may spend; dead ones count, because
  //! they may only be cut off.
  //! \returns false when the retry must not be sent.
  bool tryWithdraw(std::size_t Hosts, Instant Now);

  //! Retries that could be taken now.
  double available(std::size_t Hosts, Instant Now);

private:
  void expire(Instant Now);

  FleetRetryLimits Limits;
  Instant Start;
  std::deque<Instant> Requests;
  std::deque<Instant> Retries;
};

} // namespace masticgap::coordination
