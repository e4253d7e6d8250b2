#pragma once

#include "entry/caller_request.hpp"
#include "entry/local_answer.hpp"
#include "masticgap/coordination/at_most_once.hpp"
#include "masticgap/coordination/intent_claims.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/attempt_control.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace masticgap::entry {

//! The request may be dispatched under this submission.
struct DispatchHere {
  coordination::SubmissionId Submission = 0;
  bool Claimed = false; //!< Under a claim of a bare key.
};
//! The answer of an earlier submission is returned.
struct ReplayStored {
  std::shared_ptr<const coordination::StoredAnswer> Answer;
};
//! Only this run of another entry host may dispatch the request.
struct ForwardToOwnerHost {
  HostId Host;
  Incarnation Run;
};
//! What follows for a request that is not repeatable.
using AtMostOnceDecision =
    std::variant<DispatchHere, ReplayStored, ForwardToOwnerHost, Refusal>;

//! Runs a store call and hands back its answer.
using StoreRunner = std::function<void(
    coordination::StoreCall, std::function<void(coordination::StoreAnswer)>)>;

//! Construction parameters of AtMostOnceGate.
struct AtMostOnceGateSettings {
  boost::asio::io_context &Io;
  coordination::EntryHostRun Self;
  Instant Start; //!< From which the epochs count.
  std::function<Instant()> Clock;
  StoreRunner RunStore;
};

//! Admits requests that are not repeatable: binding path, claims of bare keys,
//! and requests that wait for the same submission. One thread owns it.
class AtMostOnceGate {
public:
  explicit AtMostOnceGate(AtMostOnceGateSettings Settings);
  ~AtMostOnceGate();

  //! Decides about a request; waits for the store, or for the submission in
  //! progress, where needed.
  boost::asio::awaitable<AtMostOnceDecision>
  admit(const CallerRequest &Request, transport::AttemptControl &Control);

  //! Asked before the first byte of each attempt can leave.
  //! \returns false when nothing may be sent any more.
  bool mayDispatch(const CallerRequest &Request,
                   const DispatchHere &Permission);

  //! The caller went away.
  //! \returns true when nothing was sent and nobody else waits.
  bool callerGone(const CallerRequest &Request, const DispatchHere &Permission);

  //! Ends the submission.
  //! \param Answer the worker's answer if ReportedOutcome is Answered and it
  //! was collected.
  void settle(const CallerRequest &Request, const DispatchHere &Permission,
              Outcome ReportedOutcome,
              std::optional<coordination::StoredAnswer> Answer);

  //! Cancels the timer; claims that wait are not settled any more.
  void stop();

  const coordination::AtMostOnceGuard &guard() const { return Guard; }

private:
  struct Submission {
    bool Settled = false;
    Outcome ReportedOutcome = Outcome::Unknown;
    std::shared_ptr<const coordination::StoredAnswer> Answer;
    std::vector<boost::asio::steady_timer *> Waiters;
  };
  using SubmissionPtr = std::shared_ptr<Submission>;
  struct PendingClaim {
    std::optional<coordination::IntentAction> Result;
    boost::asio::steady_timer Ready;
  };

  boost::asio::awaitable<AtMostOnceDecision>
  awaitSubmission(const CallerRequest &Request, coordination::SubmissionId Id,
                  transport::AttemptControl &Control);
  boost::asio::awaitable<AtMostOnceDecision>
  claim(const CallerRequest &Request, coordination::SubmissionId Id,
        transport::AttemptControl &Control);
  AtMostOnceDecision claimResult(const CallerRequest &Request,
                                 coordination::SubmissionId Id,
                                 const coordination::IntentAction &Result);
  DispatchHere begin(coordination::SubmissionId Id, bool Claimed);
  void handleEvent(const coordination::IntentEvent &Event);
  void execute(const coordination::IntentAction &Action);
  void armTimer();
  void
  finishSubmission(coordination::SubmissionId Id, Outcome ReportedOutcome,
                   std::shared_ptr<const coordination::StoredAnswer> Answer);

  boost::asio::io_context &Io;
  std::function<Instant()> Clock;
  StoreRunner RunStore;
  coordination::AtMostOnceGuard Guard;
  coordination::IntentClaims Claims;
  boost::asio::steady_timer ClaimTimer;
  bool Stopped = false;
  std::unordered_map<coordination::SubmissionId, SubmissionPtr>
      ActiveSubmissions;
  std::unordered_map<coordination::SubmissionId, PendingClaim *> PendingClaims;
  //! Store answers that arrive after the end of this object are dropped.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
