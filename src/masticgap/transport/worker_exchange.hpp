#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/attempt_control.hpp"
#include "masticgap/transport/send_guard.hpp"
#include "masticgap/transport/worker_connection_pool.hpp"
#include "masticgap/transport/worker_dialect.hpp"
#include "masticgap/transport/worker_target.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace masticgap::transport {

//! Next bytes of a request body. If the caller did not send the complete body,
//! Failed is set and Bytes is empty.
struct RequestPart {
  std::string_view Bytes;
  bool Last = false;
  bool Failed = false;
};

//! Reads the next part of a large request body.
using RequestSource = std::function<boost::asio::awaitable<RequestPart>()>;

//! Request as it is sent to a worker.
struct OutgoingRequest {
  boost::beast::http::request_header<> Head;
  std::string_view Body; //!< Complete body, or its first part.
  RequestSource More;    //!< Rest of the body; empty if Body is complete.
};

//! Settings of one exchange.
struct ExchangeOptions {
  bool Repeatable = false;
  Instant Deadline;
  std::chrono::nanoseconds ConnectTimeout{};
  //! Maximum number of bytes per read from the connection.
  std::size_t ReadUnit = 64 * 1024;
  //! Conventions of the worker's answers; must outlive the exchange.
  const WorkerDialect *Dialect = &nativeWorkerDialect();
};

//! One request and its answer on a worker connection. The connection returns to
//! the pool only after a complete answer; in all other cases it is closed.
class WorkerExchange {
public:
  //! Maximum size of the head of a worker's answer, in bytes.
  static constexpr std::size_t MaxHeadBytes = 8 * 1024;

  WorkerExchange(WorkerConnectionPool &Pool, std::function<Instant()> Clock,
                 ExchangeOptions Options);
  ~WorkerExchange();
  WorkerExchange(const WorkerExchange &) = delete;
  WorkerExchange &operator=(const WorkerExchange &) = delete;

  //! Sends the request and reads the head of the answer.
  //! \returns nothing if the head of an answer arrived, else how the attempt
  //! ended. RefusedFull and RefusedLeaving are answers that the dialect
  //! classifies as refusals.
  boost::asio::awaitable<std::optional<coordination::AttemptEnd>>
  start(WorkerTarget Target, const OutgoingRequest &Request,
        AttemptControl &Control);

  //! Returns the head of the answer; valid after start() returned nothing.
  const boost::beast::http::response_header<> &head() const;
  //! Returns the length of the body if the worker stated it.
  std::optional<std::uint64_t> contentLength() const;
  //! Returns whether the complete answer was read.
  bool isDone() const { return Done; }

  //! Reads some bytes of the body.
  //! \returns the number of bytes; 0 if the answer is complete or the read
  //! failed.
  boost::asio::awaitable<std::size_t> readSome(std::span<char> Into,
                                               AttemptControl &Control);
  //! Returns how the attempt ended; valid after a read that returned 0 bytes
  //! while isDone() is false.
  coordination::AttemptEnd failure() const { return Failure; }

  //! Returns the number of bytes of the answer that have been received.
  std::uint64_t bytesReceived() const { return Received; }
  //! Returns the number of bytes of the request that have been sent.
  std::uint64_t bytesSent() const { return Sent; }
  //! Returns whether a connection was established, which shows that a process
  //! is listening at the target address.
  bool connected() const { return Connected; }
  //! Returns whether an answer on the connection stated that the worker leaves,
  //! whatever else became of the attempt.
  bool announcedLeaving() const { return Leaving; }
  //! Returns whether the attempt failed because all of this host's connections
  //! to the worker were in use.
  bool limitReached() const { return LimitReached; }

private:
  using End = coordination::AttemptEnd;
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<std::optional<End>> open(WorkerTarget Target,
                                                  AttemptControl &Control);
  boost::asio::awaitable<std::optional<End>>
  send(const OutgoingRequest &Request, AttemptControl &Control);
  boost::asio::awaitable<boost::system::error_code>
  sendBuffered(const OutgoingRequest &Request);
  boost::asio::awaitable<boost::system::error_code>
  sendStreamed(const OutgoingRequest &Request);
  boost::asio::awaitable<std::optional<End>>
  sendAndReadHead(const OutgoingRequest &Request, AttemptControl &Control);
  boost::asio::awaitable<std::optional<End>>
  readMatchingHead(std::string_view RequestId, bool HeadMethod,
                   AttemptControl &Control);
  boost::asio::awaitable<bool> skipMismatchedAnswer(AttemptControl &Control);
  boost::asio::awaitable<std::optional<End>> readHead(bool HeadMethod,
                                                      AttemptControl &Control);
  boost::asio::awaitable<void> skipBody(AttemptControl &Control);
  std::optional<End> checkHead(std::string_view RequestId, bool AfterSkipped);
  End classify(boost::system::error_code Error, End DefaultEnd,
               const AttemptControl &Control) const;
  //! Returns whether the answer ended with its connection, but not in order.
  bool isCutOff();
  void limitTime();
  bool isOverdue() const;
  void finish();

  WorkerConnectionPool &Pool;
  std::function<Instant()> Clock;
  ExchangeOptions Options;
  std::optional<WorkerConnectionPool::Lease> Lease;
  std::optional<SendGuard> Guard; //!< Of a request with a body.
  std::optional<Parser> Answer;
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  End Failure = End::ConnectFailed;
  bool Done = false;
  bool LimitReached = false;
  bool SourceFailed = false;
  bool Connected = false;
  bool Leaving = false; //!< See announcedLeaving().
  //! The request has not been sent completely, so the connection cannot be
  //! reused.
  bool SendPending = false;
};

} // namespace masticgap::transport
