#pragma once

#include "entry/settings.hpp"
#include "masticgap/transport/http_types.hpp"
#include "masticgap/transport/worker_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticgap::entry {

//! Why no request was read.
enum class ReadFailure {
  Closed,    //!< The connection ended, or the caller is too slow.
  Malformed, //!< No HTTP request.
  TooLarge   //!< Head or body above the limit.
};

//! HTTP connection of one caller: reads requests and writes answers with
//! back-pressure. One coroutine uses it at a time.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(boost::asio::ip::tcp::socket Socket,
                   const EntryLimits &Limits);

  //! Reads the head of the next request.
  //! \returns nothing when it was read.
  boost::asio::awaitable<std::optional<ReadFailure>> readHead();
  const boost::beast::http::request_header<> &head() const;

  //! Reads the body up to the limit for bodies in memory.
  //! \param Body receives the bytes.
  //! \returns nothing when the body is whole or as long as the limit.
  boost::asio::awaitable<std::optional<ReadFailure>>
  readBody(std::string &Body);
  //! Whether the whole body was read.
  bool isBodyRead() const { return Parser->is_done(); }
  //! Reads the next part of a large body.
  boost::asio::awaitable<transport::RequestPart> readBodyPart();

  //! Writes a whole answer.
  //! \returns false when the caller went away or is too slow.
  boost::asio::awaitable<bool> write(transport::HttpResponse Answer);
  //! Starts an answer whose body follows in parts.
  boost::asio::awaitable<bool>
  writeHead(boost::beast::http::response_header<> Head);
  boost::asio::awaitable<bool> writePart(std::span<const char> Bytes,
                                         bool Last);

  //! Calls OnGone once if the caller closes its connection before unwatch().
  void watch(std::function<void()> OnGone);
  void unwatch() { OnGone = {}; }

  //! IP number of the caller; empty when it is not connected.
  std::string address() const;
  //! Whether another request may follow on the connection.
  bool isReusable() const;
  bool keepsAlive() const { return Parser && Parser->get().keep_alive(); }
  unsigned version() const { return Parser ? Parser->get().version() : 11; }
  //! Resets the connection, so that a caller that has got part of an answer
  //! cannot take it as whole, whatever its framing.
  void abort();
  //! Closes at once.
  void close();
  //! Ends the wait for the next request. A request of which bytes were read is
  //! served.
  void closeIfIdle();
  //! Closes in order after an answer, so that unread bytes of the request do
  //! not reset the connection before the caller has read the answer.
  boost::asio::awaitable<void> closeGracefully();
  //! Whether a request is being served.
  bool isBusy() const { return Busy; }
  void setBusy(bool Value) { Busy = Value; }
  //! The next answer is the last one on this connection.
  void closeAfterAnswer() { CloseAfterAnswer = true; }

private:
  boost::asio::awaitable<boost::system::error_code>
  readSome(std::span<char> Into, std::size_t &BytesRead);
  void armWatch();
  void onReadable();

  boost::beast::tcp_stream Stream;
  const EntryLimits &Limits;
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
  bool WatchPending = false;
  bool Busy = false;
  bool CloseAfterAnswer = false;
  bool Broken = false;
  bool LastAnswerKeptAlive = true;
};

} // namespace masticgap::entry
