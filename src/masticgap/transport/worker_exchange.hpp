#pragma once

#include "masticgap/coordination/attempt_result.hpp"
#include "masticgap/state/time.hpp"
#include "masticgap/transport/attempt_control.hpp"
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

//! Next bytes of a request body; no bytes and Failed when the caller did not
//! send all.
struct RequestPart {
  std::string_view Bytes;
  bool Last = false;
  bool Failed = false;
};

//! Source of the rest of a large request body.
using RequestSource = std::function<boost::asio::awaitable<RequestPart>()>;

//! Request as it is sent to a worker.
struct OutgoingRequest {
  boost::beast::http::request_header<> Head;
  std::string_view Body; //!< Whole body, or its first part.
  RequestSource More;    //!< Rest of the body; empty when Body is whole.
};

//! Settings of one exchange.
struct ExchangeOptions {
  bool Repeatable = false;
  Instant Deadline;
  std::chrono::nanoseconds ConnectTimeout{};
  //! Most bytes that are read from the connection at once.
  std::size_t ReadUnit = 64 * 1024;
  //! Marks of the worker's answers; has to outlive the exchange.
  const WorkerDialect *Dialect = &ownWorkerDialect();
};

//! One request and its answer on a worker connection. The connection goes back
//! to the pool only after a whole answer; in all other cases it is closed.
class WorkerExchange {
public:
  //! Largest head of a worker's answer, in bytes.
  static constexpr std::size_t MaxHeadBytes = 8 * 1024;

  WorkerExchange(WorkerConnectionPool &Pool, std::function<Instant()> Clock,
                 ExchangeOptions Options);
  ~WorkerExchange();
  WorkerExchange(const WorkerExchange &) = delete;
  WorkerExchange &operator=(const WorkerExchange &) = delete;

  //! Sends the request and reads the head of the answer.
  //! \returns nothing when the head of an answer arrived, else the end of the
  //! attempt. RefusedFull and RefusedLeaving are answers with that header.
  boost::asio::awaitable<std::optional<coordination::AttemptEnd>>
  start(WorkerTarget Target, const OutgoingRequest &Request,
        AttemptControl &Control);

  //! Head of the answer; valid after start() returned nothing.
  const boost::beast::http::response_header<> &head() const;
  //! Length of the body if the worker told it.
  std::optional<std::uint64_t> contentLength() const;
  //! Whether the whole answer was read.
  bool isDone() const { return Done; }

  //! Reads some bytes of the body.
  //! \returns the number of bytes; 0 when the answer is done or failed.
  boost::asio::awaitable<std::size_t> readSome(std::span<char> Into,
                                               AttemptControl &Control);
  //! End of the attempt after a read that returned 0 bytes without isDone().
  coordination::AttemptEnd failure() const { return Failure; }

  //! Bytes of the answer that were read from the connection so far.
  std::uint64_t bytesReceived() const { return Received; }
  //! Bytes of the request that left.
  std::uint64_t bytesSent() const { return Sent; }
  //! Whether a connection was established, so that a process listens there.
  bool connected() const { return Connected; }
  //! The attempt failed because this host has no connection to spare.
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
  readOwnHead(std::string_view RequestId, bool HeadMethod,
              AttemptControl &Control);
  boost::asio::awaitable<bool> skipForeignAnswer(AttemptControl &Control);
  boost::asio::awaitable<std::optional<End>> readHead(bool HeadMethod,
                                                      AttemptControl &Control);
  boost::asio::awaitable<void> skipBody(AttemptControl &Control);
  std::optional<End> checkHead(std::string_view RequestId) const;
  End classify(boost::system::error_code Error, End Otherwise,
               const AttemptControl &Control) const;
  void limitTime();
  void finish();

  WorkerConnectionPool &Pool;
  std::function<Instant()> Clock;
  ExchangeOptions Options;
  std::optional<WorkerConnectionPool::Lease> Lease;
  std::optional<Parser> Answer;
  std::uint64_t Received = 0;
  std::uint64_t Sent = 0;
  End Failure = End::ConnectFailed;
  bool Done = false;
  bool LimitReached = false;
  bool SourceFailed = false;
  bool Connected = false;
  //! The request has not left as a whole, so the connection cannot carry
  //! another one.
  bool SendPending = false;
};

} // namespace masticgap::transport
