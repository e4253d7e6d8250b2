#pragma once

#include "masticgap/coordination/at_most_once_verdict.hpp"
#include "masticgap/coordination/fingerprint.hpp"
#include "masticgap/coordination/store_types.hpp"
#include "masticgap/state/incarnation.hpp"
#include "masticgap/state/names.hpp"
#include "masticgap/state/time.hpp"

#include <string>
#include <variant>

namespace masticgap::coordination {

//! A bare key is to be claimed. The guard's submission number identifies the
//! claim.
struct ClaimRequested {
  SubmissionId Claim = 0;
  std::string Key;
  Fingerprint Request;
  Instant Deadline;
};

//! No caller waits for the claim any longer. It is not dispatched, and no later
//! action refers to it.
struct ClaimCancelled {
  SubmissionId Claim = 0;
};

//! The request of a won claim is proved not to have run and will not run.
struct ClaimNotRun {
  SubmissionId Claim = 0;
};

//! The request of a won claim ran and was answered.
struct ClaimCompleted {
  SubmissionId Claim = 0;
};

//! The request of a won claim may have run.
struct ClaimUnsettled {
  SubmissionId Claim = 0;
};

//! The time returned by IntentClaims::nextTimer() has been reached.
struct IntentTick {};

//! What IntentClaims reacts to. Each store call is answered exactly once, by
//! StoreLost if no answer arrives within the time limit of the client.
using IntentEvent =
    std::variant<ClaimRequested, ClaimCancelled, ClaimNotRun, ClaimCompleted,
                 ClaimUnsettled, IntentTick, StoreCommitted, StoreConflict,
                 StoreRow, StoreLost>;

//! This run holds the claim. The request may be dispatched while
//! IntentClaims::mayDispatch() returns true.
struct ClaimWon {
  SubmissionId Claim = 0;
};

//! Another process holds the key. The request is forwarded to it, or answered
//! "unknown" if that run no longer exists or the request was already forwarded.
struct ClaimHeld {
  SubmissionId Claim = 0;
  HostId Holder;
  Incarnation Run;
};

//! The key belongs to a request with another fingerprint; this request did not
//! run.
struct ClaimRefused {
  SubmissionId Claim = 0;
};

//! Whether the key ran could not be determined; it is not dispatched.
struct ClaimUnknown {
  SubmissionId Claim = 0;
  UnknownReason Reason = UnknownReason::OutcomeUnknown;
};

//! What the caller of IntentClaims has to do.
using IntentAction = std::variant<StoreTransact, StoreRead, ClaimWon, ClaimHeld,
                                  ClaimRefused, ClaimUnknown>;

} // namespace masticgap::coordination
