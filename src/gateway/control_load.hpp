#pragma once

#include "gateway/decision_log.hpp"
#include "gateway/metrics.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/gossip_node.hpp"

#include <ctime>

namespace masticgap::gateway {

//! Counts the gossip messages of a host, and reports a period in which they
//! were many or the host was held up.
class ControlLoad {
public:
  ControlLoad(DecisionLog &Log, Metrics &Stats, Instant Now);

  //! Ends a period.
  //! \param Gossip counters since the start of the gossip node.
  //! \param Due when the period was to end.
  void endPeriod(const transport::GossipCounters &Gossip, Instant Due,
                 Instant Now);

private:
  DecisionLog &Log;
  Metrics &Stats;
  transport::GossipCounters Before;
  std::clock_t ProcessorTimeBefore;
  Instant PeriodStart;
};

} // namespace masticgap::gateway
