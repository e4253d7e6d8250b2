#pragma once

#include "entry/caller_connection.hpp"
#include "gateway/gateway_state.hpp"
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

//! One request of a caller as it was read.
struct GatewayRequest {
  boost::beast::http::request_header<> Head;
  std::string Body;      //!< Whole body, or the first part of a large one.
  bool Streamed = false; //!< The rest of the body is still on the connection.
};

//! Answer that the gateway gives itself.
struct LocalAnswer {
  boost::beast::http::status Status;
  std::string Reason;     //!< For the log and the body.
  Duration RetryAfter{0}; //!< Sent when above 0.
};

//! Takes one request from its arrival to its answer.
class RequestFlow {
public:
  RequestFlow(GatewayState &State, entry::CallerConnection &Caller,
              GatewayRequest &Request);
  ~RequestFlow();
  RequestFlow(const RequestFlow &) = delete;
  RequestFlow &operator=(const RequestFlow &) = delete;

  boost::asio::awaitable<void> serve();
  //! Ends the request with an answer of the gateway's own, at the end of the
  //! process.
  void endNow() {
    Stopped = true;
    Control.cancel();
  }

private:
  //! The answer was passed on.
  struct Delivered {
    unsigned Status = 0;
  };
  //! Part of an answer was passed on and the rest is lost.
  struct CutOff {};
  //! The caller left.
  struct Abandoned {};
  //! Another worker may be tried.
  struct TryAgain {};
  using Ending = std::variant<Delivered, CutOff, Abandoned, LocalAnswer>;
  using Step =
      std::variant<Delivered, CutOff, Abandoned, LocalAnswer, TryAgain>;

  //! Whole answer of a worker that is held in memory.
  struct BufferedAnswer {
    boost::beast::http::response_header<> Head;
    std::string Body;
    bool Whole = false;
  };

  std::optional<LocalAnswer> findRoute();
  void readDeadline();
  coordination::DispatchRequest dispatchRequest() const;
  boost::asio::awaitable<Ending> dispatch();
  boost::asio::awaitable<Step> tryWorker();
  boost::asio::awaitable<Step> attempt(const coordination::WorkerPick &Pick);
  boost::asio::awaitable<Step> receive(transport::WorkerExchange &Exchange,
                                       const coordination::WorkerPick &Pick,
                                       Instant Sent);
  boost::asio::awaitable<std::optional<coordination::AttemptEnd>>
  collect(transport::WorkerExchange &Exchange, BufferedAnswer &Into);
  boost::asio::awaitable<Step> stream(transport::WorkerExchange &Exchange,
                                      BufferedAnswer &Begun);
  boost::asio::awaitable<Step> judge(BufferedAnswer Answer,
                                     const coordination::WorkerPick &Pick,
                                     Instant Sent);
  //! What is known of an attempt that brought no usable answer.
  struct Failure {
    coordination::AttemptEnd End = coordination::AttemptEnd::ConnectFailed;
    bool Connected = true; //!< A process accepted the connection.
    bool Left = true;      //!< Bytes of the request left.
  };
  Step afterFailure(const Failure &How, const coordination::WorkerPick &Pick,
                    Instant Sent);
  Step afterRefusal(const coordination::WorkerPick &Pick,
                    std::string_view Reason);
  bool mayRetry(bool Arrived);
  LocalAnswer lost(coordination::AttemptEnd End) const;
  LocalAnswer refused(std::string Reason, Duration RetryAfter) const;
  bool looksGenuine(const BufferedAnswer &Answer) const;
  transport::OutgoingRequest
  outgoing(const coordination::WorkerPick &Pick) const;
  boost::asio::awaitable<void> finish(Ending End);
  boost::asio::awaitable<void> write(const LocalAnswer &Answer);
  void logRejection(std::string_view Reason, Duration Wait, Instant Now);
  void logAttempt(const coordination::WorkerPick &Pick, std::string_view Result,
                  Instant Sent);
  void logEnd(const Ending &End);

  GatewayState &State;
  entry::CallerConnection &Caller;
  GatewayRequest &Request;
  std::shared_ptr<unsigned> InFlight; //!< Counts this request.
  transport::AttemptControl Control;
  std::shared_ptr<const TrafficConfig> Config; //!< In force at the arrival.
  const Route *MatchedRoute = nullptr;
  ServiceName Service;
  std::string Id;
  coordination::Fingerprint
      RequestFingerprint; //!< Recognises the request when it is sent again.
  std::uint64_t Object = 0;
  Instant ReceivedAt;
  Instant Deadline; //!< No answer is due after it.
  std::vector<WorkerId> Tried;
  std::optional<coordination::WorkerPick> LastPick; //!< The last worker tried.
  unsigned WorkersReached = 0;  //!< Workers that may have got the request.
  unsigned ConnectAttempts = 0; //!< Tries that reached no worker.
  bool MayHaveRun = false;
  bool Stopped = false;
};

} // namespace masticgap::gateway
