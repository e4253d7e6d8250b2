#pragma once

#include "masticgap/coordination/affinity/affinity_choice.hpp"
#include "masticgap/coordination/dispatch/dispatch_decision.hpp"
#include "masticgap/state/worker_descriptor.hpp"

#include <optional>
#include <vector>

namespace masticgap::coordination {

//! Whether a worker of the service may get a request, or why not.
enum class WorkerEligibility {
  Eligible,
  Leaving,
  Evacuated,     //!< Its failure domain is evacuated.
  Gone,          //!< Not registered, or replaced by another incarnation.
  NotHomeRegion, //!< Outside the home regions of route and account.
  Tried,         //!< The request was sent there before.
  Ejected,       //!< It was unreachable.
  ColdRate,      //!< Cold; gets no request of this host at this time.
  ColdUnseen,    //!< Cold; its rate limit starts with the next request.
  AwaitsRecovery //!< It was unreachable; another request tries it.
};

//! Step of the choice that led to the decision.
enum class DispatchStep {
  NoTime,    //!< The deadline has passed.
  NoWorkers, //!< No worker is eligible.
  Trial,     //!< A joining worker is tried.
  Best,      //!< The lowest cost, in the region of the regional share if set.
  Overflow,  //!< The region is full; the lowest cost of all regions.
  Overloaded //!< The request would wait too long at the best worker.
};

//! Worker of the service as the choice sees it.
struct ExplainedWorker {
  WorkerDescriptor Worker;
  WorkerEligibility Eligibility = WorkerEligibility::Eligible;
  //! Set if the worker is eligible.
  std::optional<AffinityCandidate> Figures;
  //! Set if the worker is eligible. Ranks are those among the workers that were
  //! compared.
  std::optional<AffinityCost> Cost;
  //! The worker is chosen, or the request would wait too long there.
  bool Best = false;
};

//! Where a request would be sent, and why.
struct DispatchExplanation {
  DispatchDecision Decision;
  DispatchStep Step = DispatchStep::NoTime;
  //! Region of the regional share; only its workers are chosen unless it is
  //! full. Unset if all regions are compared.
  std::optional<RegionName> Region;
  Duration TypicalLatency{0}; //!< Unit of the costs.
  std::vector<ExplainedWorker> Workers;
};

} // namespace masticgap::coordination
