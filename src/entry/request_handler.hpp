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

//! One checked request on its way through the entry host: admission, attempts
//! and the answer.
class RequestHandler {
public:
  RequestHandler(TrafficState &State, CallerConnection &Caller,
                 CallerRequest &Request);

  //! Serves the request; afterwards the caller has its answer, or its
  //! connection was closed.
  boost::asio::awaitable<void> serve();

  //! The caller closed its connection.
  void callerGone();
  //! Ends the request although it is not finished, at the end of the process.
  void abort() { Control.cancel(); }

private:
  //! End of a request; the refusal is absent when an answer was relayed.
  struct Ending {
    Outcome ReportedOutcome = Outcome::Answered;
    std::optional<Refusal> Answer;
    std::optional<coordination::StoredAnswer> Kept;
    bool Broken = false; //!< A part of an answer was sent.
  };
  using RetryOrEnd = std::variant<coordination::Retry, Ending>;

  boost::asio::awaitable<void> serveOnce();
  boost::asio::awaitable<void> replay(const ReplayStored &Again);
  boost::asio::awaitable<void> forwardToOwnerHost(ForwardToOwnerHost Owner);
  boost::asio::awaitable<Ending> dispatch();
  boost::asio::awaitable<RetryOrEnd> tryWorker();
  boost::asio::awaitable<AttemptReport> attempt(WorkerDescriptor Worker);
  boost::asio::awaitable<void> afterLoss(coordination::AttemptEnd End);
  //! The workers that were tried refused the request as full.
  void noteFullRegion();
  void noteResult(const WorkerDescriptor &Worker, const AttemptReport &Report,
                  Duration Latency);
  RetryOrEnd decide(AttemptReport Report);
  Ending giveUp(const coordination::GiveUp &Why, bool AnswerStarted) const;
  Ending refuse(Refusal Why) const;
  boost::asio::awaitable<void> answer(Ending End);
  void recordEnd(const Ending &End);
  coordination::EventFields fields(const WorkerId &Worker = {}) const;

  TrafficState &State;
  CallerConnection &Caller;
  CallerRequest &Request;
  Instant Began;
  transport::AttemptControl Control;
  std::optional<DispatchHere> Once;
  RouteLimits Limits;
  std::vector<coordination::Attempt> Attempts;
  RegionName LastRegion; //!< Of the last attempt.
};

} // namespace masticgap::entry
