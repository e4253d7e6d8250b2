//! \file
//! Private structures of Dispatcher, for its source files only.
#pragma once

#include "masticgap/coordination/dispatch/dispatcher.hpp"

#include <algorithm>

namespace masticgap::coordination {

//! Worker of a service, with what a choice needs of it.
struct Dispatcher::ServiceMember {
  const KnownWorker *State = nullptr;
  const WorkerRecord *Record = nullptr;
  std::uint64_t Hash = 0;
};

//! State of one service.
struct Dispatcher::ServiceState {
  //! Share of a service's requests that may leave a full region in addition to
  //! the regional shares. Together with RegionShareLimits::StepPerSecond it
  //! stays below the specified cap: at most 0.15 of a region's requests move
  //! from one window of 2 s to the next.
  static constexpr double OverflowShare = 0.05;
  //! Maximum overflow credit that can accumulate, in requests.
  static constexpr double MaxOverflowCredit = 2;

  ServiceState(const DispatcherSettings &Settings, Instant Start)
      : Share(Settings.Region), Retries(Settings.Retries, Start) {}

  //! Returns the overflow credit after the arrival of one more request.
  static double creditAfterArrival(double Credit) {
    return std::min(MaxOverflowCredit, Credit + OverflowShare);
  }

  RegionShare Share;
  FleetRetryBudget Retries;
  Duration TypicalLatency{0};
  bool HasTypicalLatency = false;
  double OverflowCredit = 0; //!< Requests that may leave a full region.
  std::map<RegionName, JoinSchedule> Joining;
  //! Decaying number of requests that arrived here, as of ArrivalsAt.
  double Arrivals = 0;
  Instant ArrivalsAt;
  std::vector<ServiceMember> Members; //!< As of MembersRevision.
  std::uint64_t MembersRevision = 0;
};

//! Workers that are eligible for one request.
struct Dispatcher::CandidateSet {
  std::vector<const ServiceMember *> Members;
  std::vector<AffinityCandidate> Candidates;
  //! Cold workers whose rate limit starts with this request.
  std::vector<const ServiceMember *> ColdUnseen;
  Instant Now;
};

//! Decision about one request that is not carried out yet.
struct Dispatcher::Evaluation {
  CandidateSet Available;
  DispatchDecision Decision;
  DispatchStep Step = DispatchStep::NoTime;
  //! The region whose workers come first by the regional share.
  std::optional<RegionName> Region;
  //! Best candidate if the request would wait too long there.
  std::optional<WorkerId> Refused;
};

} // namespace masticgap::coordination
