#pragma once

#include "entry/at_most_once_gate.hpp"
#include "entry/caller_connection.hpp"
#include "entry/caller_request.hpp"
#include "entry/forward_attempt.hpp"
#include "entry/local_answer.hpp"
#include "entry/traffic_state.hpp"
#include "entry/worker_route.hpp"
#include "masticgap/coordination/retry_policy.hpp"
#include "masticgap/transport/attempt_control.hpp"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <variant>
#include <vector>

namespace masticgap::entry {

//! Serves one checked request: admission, attempts and the answer.
class RequestHandler {
public:
  RequestHandler(TrafficState &State, CallerConnection &Caller,
                 CallerRequest &Request);

  //! Serves the request until the answer is sent or the caller's connection is
  //! closed.
  boost::asio::awaitable<void> serve();

  //! Handles the closing of the connection by the caller.
  void callerGone();
  //! Cancels the unfinished request when the process ends.
  void abort() { Control.cancel(); }

private:
  //! Result of a request; contains no refusal when an answer was relayed.
  struct RequestResult {
    Outcome ReportedOutcome = Outcome::Answered;
    std::optional<Refusal> Refused;
    std::optional<coordination::StoredAnswer> Kept;
    bool PartiallySent = false; //!< A part of an answer was sent.
  };
  using RetryOrResult = std::variant<coordination::Retry, RequestResult>;

  boost::asio::awaitable<void> serveAtMostOnce();
  boost::asio::awaitable<void> replay(const ReplayStored &Replay);
  boost::asio::awaitable<void> forwardToOwnerHost(ForwardToOwnerHost Owner);
  boost::asio::awaitable<RequestResult> dispatch();
  boost::asio::awaitable<RetryOrResult> tryWorker();
  boost::asio::awaitable<AttemptReport> runAttempt(WorkerDescriptor Worker);
  boost::asio::awaitable<void> awaitCrashSpread(coordination::AttemptEnd End);
  //! Reports the region of the last attempt as full if its worker refused the
  //! request as full.
  void recordFullRegion();
  void recordAttempt(const WorkerDescriptor &Worker,
                     const AttemptReport &Report, Duration Latency);
  RetryOrResult decide(AttemptReport Report);
  RequestResult giveUp(const coordination::GiveUp &Decision,
                       bool AnswerStarted) const;
  RequestResult refuse(Refusal Refused) const;
  boost::asio::awaitable<void> answer(RequestResult Result);
  void recordResult(const RequestResult &Result);
  coordination::EventFields fields(const WorkerId &Worker = {}) const;

  TrafficState &State;
  CallerConnection &Caller;
  CallerRequest &Request;
  Instant ReceivedAt;
  transport::AttemptControl Control;
  std::optional<DispatchHere> Permission;
  RouteLimits Limits;
  std::vector<coordination::Attempt> Attempts;
  RegionName LastRegion; //!< Region of the last attempt.
};

} // namespace masticgap::entry
