#pragma once

#include "entry/settings.hpp"
#include "masticgap/coordination/admission/buffer_budget.hpp"
#include "masticgap/transport/caller_registry.hpp"
#include "masticgap/transport/hang_up_service.hpp"
#include "masticgap/transport/http_types.hpp"
#include "masticgap/transport/worker_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace masticgap::entry {

//! Reason why no request was read.
enum class ReadFailure {
  Closed,    //!< The connection was closed or timed out.
  Malformed, //!< The bytes are not an HTTP request.
  TooLarge,  //!< Head or body exceeds its limit.
  TooSlow,   //!< The body arrives below the minimum rate.
  NoMemory   //!< The memory for callers is in use.
};

//! HTTP connection of one caller. Reads requests and writes answers with
//! back-pressure. Only one coroutine may use it at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket Socket,
                   const EntryLimits &Limits);

  //! Sets the account for the memory that the caller makes the process hold.
  //! Without it that memory is not counted.
  void setAccount(std::unique_ptr<transport::CallerAccount> Value) {
    Account = std::move(Value);
  }

  //! Reads the head of the next request.
  //! \returns std::nullopt on success.
  boost::asio::awaitable<std::optional<ReadFailure>> readHead();
  const boost::beast::http::request_header<> &head() const;
  //! Moves the head out, so that it is in memory once. head() has no fields
  //! afterwards.
  boost::beast::http::request_header<> takeHead();
  //! Reserves the memory that a request takes while a worker serves it, and
  //! keeps the connection from being closed for lack of memory until a response
  //! is written, except while readBodyPart() waits for the caller.
  //! \returns false if there is not enough memory.
  bool beginService();

  //! Reads the body up to the limit for bodies in memory.
  //! \param Body receives the bytes.
  //! \param Memory if not null, reserves memory for the bytes after the first
  //! part. Without it the result is NoMemory.
  //! \returns std::nullopt when the body is complete or the limit is reached.
  boost::asio::awaitable<std::optional<ReadFailure>>
  readBody(std::string &Body,
           coordination::BufferReservation *Memory = nullptr);
  //! Returns whether the body was read to its end.
  bool isBodyRead() const { return Parser->is_done(); }
  //! Returns whether all bytes of a body with a length have arrived, so that it
  //! can be read to its end although the caller closed the connection.
  bool hasWholeBody() const;
  //! Returns whether the caller closed the connection before the end of a
  //! streamed body.
  bool leftDuringBody() const { return LeftDuringBody; }
  //! Reads the next part of a large body.
  boost::asio::awaitable<transport::RequestPart> readBodyPart();

  //! Writes a complete answer.
  //! \returns false when the caller closed the connection or timed out.
  boost::asio::awaitable<bool> write(transport::HttpResponse Answer);
  //! Writes the head of an answer whose body follows in parts.
  boost::asio::awaitable<bool>
  writeHead(boost::beast::http::response_header<> Head);
  boost::asio::awaitable<bool> writePart(std::span<const char> Bytes,
                                         bool Last);

  //! Returns the IP address of the caller; empty when it is not connected.
  std::string address() const;
  //! Returns whether received bytes are unread, for example those of a request
  //! that crosses the close of an idle connection.
  bool hasUnreadBytes() const;
  //! Returns whether another request may follow on the connection.
  bool isReusable() const;
  bool keepsAlive() const {
    return Parser && Parser->is_header_done() && Parser->keep_alive();
  }
  unsigned version() const { return Parser ? Parser->get().version() : 11; }
  //! Resets the connection, so that the caller cannot mistake a partial answer
  //! for a complete one, whatever its framing.
  void abort();
  //! Closes the connection immediately.
  void close();
  //! Closes the connection because memory or descriptors are short. The current
  //! operation fails, and no request is read any more. While readBodyPart()
  //! waits for the caller, only that read fails, so that a response can follow.
  void evict();
  bool isEvicted() const { return Evicted; }
  //! Stops waiting for the next request. A request of which bytes were already
  //! read is still served.
  void closeIfIdle();
  //! Closes the connection gracefully after an answer: reads remaining bytes of
  //! the request, which would otherwise reset the connection before the caller
  //! has read the answer.
  boost::asio::awaitable<void> closeGracefully();
  //! Whether a request is being served.
  bool isBusy() const { return Busy; }
  void setBusy(bool Value) { Busy = Value; }
  //! The next answer is the last one on this connection.
  void closeAfterAnswer() { CloseAfterAnswer = true; }

private:
  friend class CallerWatch;

  boost::asio::awaitable<boost::system::error_code>
  readSome(std::span<char> Into, std::size_t &BytesRead);
  boost::asio::awaitable<boost::beast::error_code> readWholeHead();
  //! Adjusts the account to the current buffers.
  //! \returns false if there is not enough memory.
  bool holdBuffers();
  //! Returns whether the body arrives below the minimum rate.
  bool isTooSlow() const;
  void beginWrite();
  void endWrite();
  void watch(std::function<void()> OnGone);
  void unwatch();
  void startIdleTimer();
  void stopIdleTimer();
  void armWatch();
  void onReadable();
  //! Reads at most one byte without removing it.
  //! \returns the result of recv().
  ssize_t peek() const;

  // native_handle() is not const.
  mutable boost::beast::tcp_stream Stream;
  const EntryLimits &Limits;
  boost::asio::steady_timer IdleTimer;
  std::uint64_t IdlePeriod = 0; //!< Number of starts and stops of IdleTimer.
  boost::beast::flat_buffer Buffer;
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::buffer_body>;
  using StreamedAnswer =
      boost::beast::http::response<boost::beast::http::buffer_body>;
  using AnswerSerializer =
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>;
  std::optional<RequestParser> Parser;
  std::optional<StreamedAnswer> Answer;
  std::optional<AnswerSerializer> Serializer;
  std::vector<char> PartBuffer;
  std::function<void()> OnGone;
  transport::HangUpService::WatchId HangUpWatch = 0; //!< 0: none.
  std::unique_ptr<transport::CallerAccount> Account;
  std::size_t HeadMemory = 0; //!< Of the fields of the current request.
  bool ExpectsContinue = false;
  std::size_t BodyBytes = 0; //!< Received of the current body.
  Duration BodyWait{0};      //!< Time spent waiting for the current body.
  bool Evicted = false;
  bool AwaitsBodyPart = false; //!< readBodyPart() waits for the caller.
  bool WatchPending = false;
  bool Busy = false;
  bool CloseAfterAnswer = false;
  bool Broken = false;
  bool LeftDuringBody = false;
  bool LastAnswerKeptAlive = true;
};

//! Detects during its lifetime that the caller closes its connection, also
//! while a part of a streamed body is unread. Only one watch of a connection
//! may exist at a time.
class CallerWatch {
public:
  //! \param Caller outlives the watch.
  //! \param OnGone is called at most once.
  CallerWatch(CallerConnection &Caller, std::function<void()> OnGone)
      : Caller(Caller) {
    Caller.watch(std::move(OnGone));
  }
  ~CallerWatch() { Caller.unwatch(); }
  CallerWatch(const CallerWatch &) = delete;
  CallerWatch &operator=(const CallerWatch &) = delete;

private:
  CallerConnection &Caller;
};

} // namespace masticgap::entry
