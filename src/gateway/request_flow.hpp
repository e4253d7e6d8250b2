#pragma once

#include "entry/caller_connection.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/request_rules.hpp"
#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/transport/attempt_control.hpp"
#include "masticgap/transport/worker_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/status.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace masticgap::gateway {

//! One request as read from a caller.
struct GatewayRequest {
  boost::beast::http::request_header<> Head;
  std::string Body; //!< Complete body, or the first part of a large one.
  coordination::BufferReservation Memory; //!< For Body beyond its first part.
  bool Streamed = false; //!< The rest of the body is still on the connection.
};

//! Serves one request from its arrival to its answer.
class RequestFlow {
public:
  RequestFlow(GatewayState &State, entry::CallerConnection &Caller,
              GatewayRequest &Request);
  ~RequestFlow();
  RequestFlow(const RequestFlow &) = delete;
  RequestFlow &operator=(const RequestFlow &) = delete;

  boost::asio::awaitable<void> serve();
  //! Ends the request with a local answer because the process is about to end.
  void stop() {
    Stopped = true;
    Control.cancel();
  }

private:
  //! The complete answer was forwarded to the caller.
  struct Delivered {
    unsigned Status = 0;
  };
  //! Part of an answer was forwarded and the rest was lost.
  struct CutOff {};
  //! The caller closed its connection.
  struct Abandoned {};
  //! Another worker may be tried.
  struct Retry {};
  using RequestOutcome =
      std::variant<Delivered, CutOff, Abandoned, LocalAnswer>;
  using AttemptOutcome =
      std::variant<Delivered, CutOff, Abandoned, LocalAnswer, Retry>;

  //! Answer of a worker, or its beginning, buffered in memory.
  struct BufferedAnswer {
    boost::beast::http::response_header<> Head;
    std::string Body;
    coordination::BufferReservation Memory; //!< For Body beyond its first part.
    bool Complete = false;
  };

  //! Ends the request, unless it has to continue without its caller.
  void callerGone();
  std::optional<LocalAnswer> findRoute();
  //! Finds the account by the key of the request.
  //! \returns an answer if the key is missing or unknown.
  std::optional<LocalAnswer> identifyAccount();
  //! Requests credit if the caller's account has a limit.
  //! \returns an answer if the account is over its limit.
  boost::asio::awaitable<std::optional<LocalAnswer>> obtainCredit();
  //! Returns whether the next attempt counts as another request of the account,
  //! or comes too late for the credit.
  bool needsNewCredit() const;
  //! Returns the credit if no worker ran the request.
  void returnCredit(const RequestOutcome &End);
  void readDeadline();
  //! Sets what admission uses of the caller, if the configuration has accounts.
  //! \param Remaining time that the request states.
  void recordCaller(std::optional<Duration> Remaining);
  //! Returns the priority of the account or, without one, of the route.
  unsigned priority() const;
  coordination::DispatchRequest dispatchRequest() const;
  boost::asio::awaitable<RequestOutcome> dispatch();
  boost::asio::awaitable<AttemptOutcome> tryWorker();
  boost::asio::awaitable<AttemptOutcome>
  attempt(const coordination::WorkerPick &Pick);
  boost::asio::awaitable<AttemptOutcome>
  receive(transport::WorkerExchange &Exchange,
          const coordination::WorkerPick &Pick, Instant SentAt);
  boost::asio::awaitable<std::optional<coordination::AttemptEnd>>
  bufferAnswer(transport::WorkerExchange &Exchange, BufferedAnswer &Answer);
  boost::asio::awaitable<AttemptOutcome>
  streamAnswer(transport::WorkerExchange &Exchange, BufferedAnswer &Beginning);
  boost::asio::awaitable<AttemptOutcome>
  deliverOrRetry(BufferedAnswer Answer, const coordination::WorkerPick &Pick,
                 Instant SentAt);
  //! Records that a worker answered with this status, which may show that the
  //! request does not crash workers.
  void recordHarmless(unsigned Status);
  //! Records that a worker announced its leaving in an answer.
  void recordLeaving(const WorkerDescriptor &Worker);
  void countBytes(const transport::WorkerExchange &Exchange,
                  const coordination::WorkerPick &Pick);
  //! How an attempt without a usable answer failed.
  struct AttemptFailure {
    coordination::AttemptEnd End = coordination::AttemptEnd::ConnectFailed;
    bool Connected = true;   //!< A process accepted the connection.
    bool RequestSent = true; //!< Bytes of the request were sent.
  };
  AttemptOutcome afterFailure(const AttemptFailure &Failure,
                              const coordination::WorkerPick &Pick,
                              Instant SentAt);
  AttemptOutcome afterRefusal(const coordination::WorkerPick &Pick,
                              std::string_view Reason);
  //! Counts a failed connect attempt, or takes a retry from the retry budget.
  //! \param ReachedWorker whether the failed attempt reached a worker.
  //! \returns whether the retry may be made.
  bool claimRetry(bool ReachedWorker);
  //! Returns the answer for a request that a worker may have executed.
  LocalAnswer lostAnswer(coordination::AttemptEnd End) const;
  //! Returns whether an answer with this head may be forwarded.
  bool isUsable(const boost::beast::http::response_header<> &Head) const;
  transport::OutgoingRequest
  makeOutgoing(const coordination::WorkerPick &Pick) const;
  boost::asio::awaitable<void> finish(RequestOutcome End);
  //! \returns false when the caller did not receive the answer.
  boost::asio::awaitable<bool> write(const LocalAnswer &Answer);
  //! Records for its account whether a request was admitted.
  void recordAdmission(const coordination::DispatchDecision &Decision,
                       Instant Now);
  //! Counts a request that admission refused.
  void countRefusal();
  void logRejection(std::string_view Reason, Duration Wait, Instant Now);
  void logAttempt(const coordination::WorkerPick &Pick, std::string_view Result,
                  Instant SentAt);
  void logOutcome(const RequestOutcome &End);
  //! Counts the request for its account.
  void countForAccount(const RequestOutcome &End);
  //! Returns the name of the caller's account; empty if there is none.
  std::string_view accountName() const {
    return CallerAccount ? std::string_view(CallerAccount->Name.value())
                         : std::string_view();
  }

  GatewayState &State;
  entry::CallerConnection &Caller;
  GatewayRequest &Request;
  std::shared_ptr<unsigned> InFlight; //!< Counts this request.
  transport::AttemptControl Control;
  std::shared_ptr<const TrafficConfig> Config; //!< Current at the arrival.
  const Route *MatchedRoute = nullptr;
  //! Null if the configuration has no accounts or the route is public.
  const Account *CallerAccount = nullptr;
  std::optional<RegionLimit> Regions; //!< Set once the account is known.
  //! Unset if the configuration has no accounts.
  std::optional<coordination::CallerStanding> Standing;
  //! Credit for the next attempt.
  std::optional<coordination::AccountAdmitted> Credit;
  Instant CreditUsableUntil; //!< The request has to reach a worker before.
  ServiceName Service;
  std::string Id;
  coordination::Fingerprint
      RequestFingerprint; //!< Identifies the request when it is sent again.
  std::uint64_t Object = 0;
  Instant ReceivedAt;
  Instant Deadline; //!< End of the time for an answer.
  std::vector<WorkerId> Tried;
  std::optional<coordination::WorkerPick> LastPick; //!< The last worker tried.
  unsigned WorkersReached = 0;  //!< Workers that may have received the request.
  unsigned ConnectAttempts = 0; //!< Attempts that reached no worker.
  //! A worker may have executed the request, so the answer must not state that
  //! it was not executed.
  bool MayHaveRun = false;
  //! stop() was called; distinguishes it from a caller that disconnected.
  bool Stopped = false;
};

} // namespace masticgap::gateway
