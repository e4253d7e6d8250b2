#include "masticgap/transport/http_fetch.hpp"

#include "masticgap/transport/dead_peer_detection.hpp"
#include "masticgap/transport/response_status.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <memory>

namespace masticgap::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

//! Maximum size of the unparsed bytes. Ends chunk extensions and trailers
//! without end.
constexpr std::size_t MaxUnparsedBytes = 128 * 1024;

//! Period of log lines about answers with an invalid status.
constexpr double StatusLineSeconds = 1;

class Fetch : public std::enable_shared_from_this<Fetch> {
public:
  Fetch(asio::io_context &Io, HttpRequest Request, FetchHandler OnDone,
        std::uint64_t MaxAnswerBytes)
      : Stream(Io), Request(std::move(Request)), OnDone(std::move(OnDone)),
        Buffer(MaxUnparsedBytes) {
    Parser.body_limit(MaxAnswerBytes);
  }

  void start(const Endpoint &To, std::chrono::milliseconds Timeout) {
    beast::error_code Failure;
    const auto Address = asio::ip::make_address(To.Address, Failure);
    if (Failure)
      return asio::post(
          Stream.get_executor(),
          [Self = shared_from_this(), Failure] { Self->finish(Failure); });
    Stream.expires_after(Timeout);
    Stream.async_connect(Tcp::endpoint(Address, To.Port),
                         [Self = shared_from_this()](beast::error_code Error) {
                           Self->onConnected(Error);
                         });
  }

private:
  void onConnected(beast::error_code Failure) {
    if (Failure)
      return finish(Failure);
    beast::error_code Ignored;
    Stream.socket().set_option(Tcp::no_delay(true), Ignored);
    detectDeadPeer(Stream.socket());
    http::async_write(
        Stream, Request,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          Self->onSent(Error);
        });
  }

  void onSent(beast::error_code Failure) {
    if (Failure)
      return finish(Failure);
    http::async_read(
        Stream, Buffer, Parser,
        [Self = shared_from_this()](beast::error_code Error, std::size_t) {
          Self->onAnswer(Error);
        });
  }

  void onAnswer(beast::error_code Failure) {
    const unsigned Status = Parser.get().result_int();
    if (!Failure && !isFinalStatus(Status)) {
      LOG_EVERY_T(WARNING, StatusLineSeconds)
          << "a control call was answered with the invalid status " << Status;
      return finish(http::make_error_code(http::error::bad_status));
    }
    finish(Failure);
  }

  void finish(beast::error_code Failure) {
    beast::error_code Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.close();
    OnDone(Failure, Failure ? HttpResponse() : Parser.release());
  }

  beast::tcp_stream Stream;
  HttpRequest Request;
  FetchHandler OnDone;
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
};

} // namespace

void fetch(asio::io_context &Io, const Endpoint &To, HttpRequest Request,
           std::chrono::milliseconds Timeout, FetchHandler OnDone,
           std::uint64_t MaxAnswerBytes) {
  std::make_shared<Fetch>(Io, std::move(Request), std::move(OnDone),
                          MaxAnswerBytes)
      ->start(To, Timeout);
}

HttpRequest makeRequest(http::verb Method, const Endpoint &To,
                        std::string_view Target, std::string Body) {
  HttpRequest Request(Method, {Target.data(), Target.size()}, 11);
  Request.set(http::field::host, To.Address + ":" + std::to_string(To.Port));
  Request.keep_alive(false);
  Request.body() = std::move(Body);
  Request.prepare_payload();
  return Request;
}

HttpResponse fetchNow(const Endpoint &To, HttpRequest Request,
                      std::chrono::milliseconds Timeout) {
  asio::io_context Io(1);
  beast::error_code Failure;
  HttpResponse Answer;
  fetch(Io, To, std::move(Request), Timeout,
        [&](beast::error_code Error, HttpResponse Received) {
          Failure = Error;
          Answer = std::move(Received);
        });
  Io.run();
  if (Failure)
    throw boost::system::system_error(Failure, To.Address + ":" +
                                                   std::to_string(To.Port));
  return Answer;
}

} // namespace masticgap::transport
