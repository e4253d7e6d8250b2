#pragma once

#include "masticgap/coordination/idempotency_key.hpp"
#include "masticgap/coordination/stored_answer.hpp"

#include <cstdint>
#include <memory>
#include <string_view>
#include <variant>

namespace masticgap::coordination {

//! Number of an admitted submission of a key, unique within a guard. Outcomes
//! carry it, so that a late event of an earlier submission has no effect.
using SubmissionId = std::uint64_t;

//! The request may be dispatched under this submission.
struct Dispatch {
  SubmissionId Submission = 0;
};

//! The same request is in progress; the caller receives the answer of that
//! submission.
struct JoinInFlight {
  SubmissionId Submission = 0;
};

//! The request ran earlier; its stored answer is returned.
struct ReplayAnswer {
  std::shared_ptr<const StoredAnswer> Answer;
};

//! Only another process may dispatch the key. If membership shows that its
//! incarnation no longer exists, the caller receives "unknown".
struct ForwardToOwner {
  HostId Host;
  Incarnation Run;
};

//! Reason for refusing a request that did not run.
enum class RefuseReason {
  OtherRequest, //!< The key belongs to a request with another fingerprint.
  FutureEpoch,  //!< This incarnation has not issued keys of the epoch yet.
  KeyTableFull  //!< The table of used keys is full.
};

//! The request did not run, and this submission never will.
struct RefuseNotRun {
  RefuseReason Reason = RefuseReason::KeyTableFull;
};

//! Reason why the outcome of a request cannot be determined.
enum class UnknownReason {
  OutcomeUnknown, //!< An earlier submission may have run.
  AnswerNotKept,  //!< The request ran; its answer is not stored.
  EpochDropped,   //!< The key's epoch is older than the epochs kept.
  OwnerGone,      //!< The key is bound to another run of this host.
  ForwardedTwice, //!< A forwarded request reached a host that is not its owner.
  KeyTableFull,   //!< This host has no space to track the bare key.
  DeadlinePassed, //!< The claim was not settled before its deadline.
  TooManyClaims,  //!< Too many claims wait for the store.
  OutcomeNotKept  //!< This run holds the claim but dropped its outcome.
};

//! The request may have run, now or earlier; this submission is not dispatched.
struct AnswerUnknown {
  UnknownReason Reason = UnknownReason::OutcomeUnknown;
};

//! The bare key must be claimed in the table service before dispatch.
struct ClaimIntent {
  SubmissionId Submission = 0;
};

//! Result of admitting a request.
using Verdict =
    std::variant<Dispatch, JoinInFlight, ReplayAnswer, ForwardToOwner,
                 RefuseNotRun, AnswerUnknown, ClaimIntent>;

//! Returns a sentence with the remedy for the JSON error body.
std::string_view describe(RefuseReason Reason);

//! Returns a sentence with the remedy for the JSON error body.
std::string_view describe(UnknownReason Reason);

} // namespace masticgap::coordination
