#include "entry/at_most_once_gate.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string>
#include <type_traits>
#include <utility>

namespace masticgap::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace coordination;
using transport::AttemptControl;

namespace {

constexpr auto AsTuple = asio::as_tuple(asio::use_awaitable);

Refusal unknown(UnknownReason Reason) {
  return {http::status::bad_gateway, "outcome_unknown",
          std::string(describe(Reason)), Outcome::Unknown};
}

Refusal refused(RefuseReason Reason) {
  const auto Status = Reason == RefuseReason::KeyTableFull
                          ? http::status::too_many_requests
                          : http::status::bad_request;
  return {Status, "refused", std::string(describe(Reason)), Outcome::NotRun};
}

} // namespace

AtMostOnceGate::AtMostOnceGate(AtMostOnceGateSettings Settings)
    : Io(Settings.Io), Clock(std::move(Settings.Clock)),
      RunStore(std::move(Settings.RunStore)),
      Guard(Settings.Self, Settings.Start), Claims(Settings.Self),
      ClaimTimer(Io) {}

AtMostOnceGate::~AtMostOnceGate() = default;

DispatchHere AtMostOnceGate::begin(SubmissionId Id, bool Claimed) {
  ActiveSubmissions.emplace(Id, std::make_shared<Submission>());
  return {Id, Claimed};
}

asio::awaitable<AtMostOnceDecision>
AtMostOnceGate::admit(const CallerRequest &Request, AttemptControl &Control) {
  const auto Origin =
      Request.Forwarded ? RequestOrigin::Forwarded : RequestOrigin::Caller;
  const Verdict Admitted =
      Guard.admit(*Request.Key, Request.RequestFingerprint, Clock(), Origin);
  if (const auto *Allowed = std::get_if<Dispatch>(&Admitted))
    co_return begin(Allowed->Submission, false);
  if (const auto *Joined = std::get_if<JoinInFlight>(&Admitted))
    co_return co_await awaitSubmission(Request, Joined->Submission, Control);
  if (const auto *Replayed = std::get_if<ReplayAnswer>(&Admitted))
    co_return ReplayStored{Replayed->Answer};
  if (const auto *Owner = std::get_if<ForwardToOwner>(&Admitted))
    co_return ForwardToOwnerHost{Owner->Host, Owner->Run};
  if (const auto *Refused = std::get_if<RefuseNotRun>(&Admitted))
    co_return refused(Refused->Reason);
  if (const auto *Refused = std::get_if<AnswerUnknown>(&Admitted))
    co_return unknown(Refused->Reason);
  co_return co_await claim(Request, std::get<ClaimIntent>(Admitted).Submission,
                           Control);
}

asio::awaitable<AtMostOnceDecision>
AtMostOnceGate::awaitSubmission(const CallerRequest &Request, SubmissionId Id,
                                AttemptControl &Control) {
  const auto Found = ActiveSubmissions.find(Id);
  if (Found == ActiveSubmissions.end())
    co_return unknown(UnknownReason::OutcomeUnknown);
  const SubmissionPtr Joined = Found->second;
  asio::steady_timer Timer(Io);
  Timer.expires_after(Request.Deadline.remaining(Clock()));
  Joined->Waiters.push_back(&Timer);
  Control.attach(&Timer);
  co_await Timer.async_wait(AsTuple);
  Control.detach();
  std::erase(Joined->Waiters, &Timer);
  if (Control.isCancelled())
    Guard.callerGone(*Request.Key, Id);
  if (!Joined->Settled)
    co_return unknown(UnknownReason::DeadlinePassed);
  if (Joined->Answer)
    co_return ReplayStored{Joined->Answer};
  if (Joined->ReportedOutcome == Outcome::NotRun)
    co_return Refusal{http::status::service_unavailable, "unavailable",
                      "the request did not run; send it again",
                      Outcome::NotRun};
  co_return unknown(Joined->ReportedOutcome == Outcome::Answered
                        ? UnknownReason::AnswerNotKept
                        : UnknownReason::OutcomeUnknown);
}

asio::awaitable<AtMostOnceDecision>
AtMostOnceGate::claim(const CallerRequest &Request, SubmissionId Id,
                      AttemptControl &Control) {
  begin(Id, true);
  PendingClaim Claim{std::nullopt, asio::steady_timer(Io)};
  Claim.Ready.expires_at(asio::steady_timer::time_point::max());
  PendingClaims[Id] = &Claim;
  handleEvent(ClaimRequested{Id, Request.Key->Text, Request.RequestFingerprint,
                             Request.Deadline.at()});
  Control.attach(&Claim.Ready);
  if (!Claim.Result)
    co_await Claim.Ready.async_wait(AsTuple);
  Control.detach();
  PendingClaims.erase(Id);
  if (Claim.Result)
    co_return claimResult(Request, Id, *Claim.Result);
  // The caller closed its connection before the claim was settled.
  handleEvent(ClaimCancelled{Id});
  Guard.notRun(*Request.Key, Id);
  // Another host may have run a bare key that is not claimed here, so the
  // outcome "not run" must not be reported to waiting duplicates.
  finishSubmission(Id, Outcome::Unknown, {});
  co_return Refusal{http::status::service_unavailable, "cancelled",
                    "the caller went away", Outcome::NotRun};
}

AtMostOnceDecision AtMostOnceGate::claimResult(const CallerRequest &Request,
                                               SubmissionId Id,
                                               const IntentAction &Result) {
  if (std::holds_alternative<ClaimWon>(Result))
    return DispatchHere{Id, true};
  // This submission does not run, whatever the outcome of the other claim.
  Guard.notRun(*Request.Key, Id);
  if (const auto *Held = std::get_if<ClaimHeld>(&Result)) {
    finishSubmission(Id, Outcome::Unknown, {});
    if (Request.Forwarded)
      return unknown(UnknownReason::ForwardedTwice);
    return ForwardToOwnerHost{Held->Holder, Held->Run};
  }
  if (std::holds_alternative<ClaimRefused>(Result)) {
    finishSubmission(Id, Outcome::NotRun, {});
    return refused(RefuseReason::OtherRequest);
  }
  finishSubmission(Id, Outcome::Unknown, {});
  return unknown(std::get<ClaimUnknown>(Result).Reason);
}

void AtMostOnceGate::handleEvent(const IntentEvent &Event) {
  for (const IntentAction &Action : Claims.handle(Event, Clock()))
    execute(Action);
  armTimer();
}

void AtMostOnceGate::execute(const IntentAction &Action) {
  std::visit(
      [&](const auto &Each) {
        using T = std::decay_t<decltype(Each)>;
        if constexpr (std::is_same_v<T, StoreTransact> ||
                      std::is_same_v<T, StoreRead>) {
          RunStore(Each, [this, WeakAlive = std::weak_ptr<bool>(Alive)](
                             const StoreAnswer &Answer) {
            if (!WeakAlive.expired())
              std::visit([this](const auto &E) { handleEvent(E); }, Answer);
          });
        } else {
          const auto Found = PendingClaims.find(Each.Claim);
          if (Found == PendingClaims.end())
            return;
          Found->second->Result = Each;
          Found->second->Ready.cancel();
        }
      },
      Action);
}

void AtMostOnceGate::armTimer() {
  const auto Due = Claims.nextTimer();
  if (!Due || Stopped)
    return;
  ClaimTimer.expires_after(std::max(*Due - Clock(), Duration(0)));
  ClaimTimer.async_wait([this](boost::system::error_code Failure) {
    if (!Failure)
      handleEvent(IntentTick{});
  });
}

void AtMostOnceGate::stop() {
  Stopped = true;
  ClaimTimer.cancel();
  for (const auto &[Id, Claim] : PendingClaims)
    Claim->Ready.cancel();
}

bool AtMostOnceGate::mayDispatch(const CallerRequest &Request,
                                 const DispatchHere &Permission) {
  if (Permission.Claimed && !Claims.mayDispatch(Permission.Submission, Clock()))
    return false;
  return Guard.dispatched(*Request.Key, Permission.Submission);
}

bool AtMostOnceGate::callerGone(const CallerRequest &Request,
                                const DispatchHere &Permission) {
  return Guard.callerGone(*Request.Key, Permission.Submission) ==
         CallerGoneAction::Withdraw;
}

void AtMostOnceGate::settle(const CallerRequest &Request,
                            const DispatchHere &Permission,
                            Outcome ReportedOutcome,
                            std::optional<StoredAnswer> Answer) {
  const IdempotencyKey &Key = *Request.Key;
  std::shared_ptr<const StoredAnswer> Kept;
  if (Answer)
    Kept = std::make_shared<const StoredAnswer>(*Answer);
  switch (ReportedOutcome) {
  case Outcome::Answered:
    Guard.answered(Key, Permission.Submission, std::move(Answer));
    break;
  case Outcome::NotRun:
    Guard.notRun(Key, Permission.Submission);
    break;
  case Outcome::Unknown:
    Guard.unknown(Key, Permission.Submission);
    break;
  }
  if (Permission.Claimed && ReportedOutcome == Outcome::Answered)
    handleEvent(ClaimCompleted{Permission.Submission});
  else if (Permission.Claimed && ReportedOutcome == Outcome::NotRun)
    handleEvent(ClaimNotRun{Permission.Submission});
  else if (Permission.Claimed)
    handleEvent(ClaimUnsettled{Permission.Submission});
  finishSubmission(Permission.Submission, ReportedOutcome, std::move(Kept));
}

void AtMostOnceGate::finishSubmission(
    SubmissionId Id, Outcome ReportedOutcome,
    std::shared_ptr<const StoredAnswer> Answer) {
  const auto Found = ActiveSubmissions.find(Id);
  if (Found == ActiveSubmissions.end())
    return;
  const SubmissionPtr Finished = Found->second;
  ActiveSubmissions.erase(Found);
  Finished->Settled = true;
  Finished->ReportedOutcome = ReportedOutcome;
  Finished->Answer = std::move(Answer);
  for (asio::steady_timer *Each : Finished->Waiters)
    Each->cancel();
}

} // namespace masticgap::entry
