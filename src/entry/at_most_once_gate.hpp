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

//! Permission to dispatch the request under this submission.
struct DispatchHere {
  coordination::SubmissionId Submission = 0;
  bool Claimed = false; //!< The permission depends on a claim of a bare key.
};
//! Answer of an earlier submission, which is returned again.
struct ReplayStored {
  std::shared_ptr<const coordination::StoredAnswer> Answer;
};
//! The only run of another entry host that may dispatch the request.
struct ForwardToOwnerHost {
  HostId Host;
  Incarnation Run;
};
//! Decision about a request that is not repeatable.
using AtMostOnceDecision =
    std::variant<DispatchHere, ReplayStored, ForwardToOwnerHost, Refusal>;

//! Executes a store call and passes its answer to the callback.
using StoreRunner = std::function<void(
    coordination::StoreCall, std::function<void(coordination::StoreAnswer)>)>;

//! Construction parameters of AtMostOnceGate.
struct AtMostOnceGateSettings {
  boost::asio::io_context &Io;
  coordination::EntryHostRun Self;
  Instant Start; //!< Start of epoch 0.
  std::function<Instant()> Clock;
  StoreRunner RunStore;
};

//! Admits requests that are not repeatable: checks bound keys, claims bare keys
//! in the store and lets duplicates wait for the submission in progress. Used
//! by one thread only.
class AtMostOnceGate {
public:
  explicit AtMostOnceGate(AtMostOnceGateSettings Settings);
  ~AtMostOnceGate();

  //! Decides about a request. Waits for the store or for the submission in
  //! progress where necessary.
  boost::asio::awaitable<AtMostOnceDecision>
  admit(const CallerRequest &Request, transport::AttemptControl &Control);

  //! Must be called before the first byte of each attempt is sent.
  //! \returns false when the request must no longer be sent.
  bool mayDispatch(const CallerRequest &Request,
                   const DispatchHere &Permission);

  //! Records that the caller closed its connection.
  //! \returns true when nothing was sent and no duplicate waits, so that the
  //! request can be cancelled.
  bool callerGone(const CallerRequest &Request, const DispatchHere &Permission);

  //! Ends the submission.
  //! \param Answer the worker's answer if ReportedOutcome is Answered and it
  //! was stored.
  void settle(const CallerRequest &Request, const DispatchHere &Permission,
              Outcome ReportedOutcome,
              std::optional<coordination::StoredAnswer> Answer);

  //! Cancels the timer; pending claims are no longer settled.
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
  //! Lets callbacks drop store answers that arrive after destruction.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace masticgap::entry
