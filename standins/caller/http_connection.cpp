#include "standins/caller/http_connection.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace masticgap::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

HttpConnection::HttpConnection(Endpoint To, std::string Source)
    : To(std::move(To)), Source(std::move(Source)) {}

void HttpConnection::run() {
  Io.restart();
  Io.run();
}

bool HttpConnection::connect(std::chrono::milliseconds Timeout) {
  Buffer.clear();
  Stream.emplace(Io);
  const asio::ip::tcp::endpoint Peer(asio::ip::make_address(To.Address),
                                     To.Port);
  beast::error_code Failure;
  Stream->socket().open(Peer.protocol(), Failure);
  if (!Source.empty())
    Stream->socket().bind({asio::ip::make_address(Source), 0}, Failure);
  Stream->expires_after(Timeout);
  Stream->async_connect(Peer,
                        [&](beast::error_code Error) { Failure = Error; });
  run();
  if (Failure) {
    Stream.reset();
    return false;
  }
  Stream->socket().set_option(asio::ip::tcp::no_delay(true), Failure);
  return true;
}

ExchangeEnd HttpConnection::exchange(const transport::HttpRequest &Request,
                                     std::chrono::milliseconds Timeout,
                                     transport::HttpResponse &Answer) {
  if (!Stream && !connect(Timeout))
    return ExchangeEnd::ConnectFailed;
  beast::error_code Result;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  Stream->expires_after(Timeout);
  http::async_write(*Stream, Request,
                    [&](beast::error_code Failure, std::size_t) {
                      Result = Failure;
                      if (Failure)
                        return;
                      http::async_read(*Stream, Buffer, Parser,
                                       [&](beast::error_code Error,
                                           std::size_t) { Result = Error; });
                    });
  run();
  if (Result) {
    Stream.reset();
    return ExchangeEnd::Broken;
  }
  Answer = Parser.release();
  if (!Answer.keep_alive())
    Stream.reset();
  return ExchangeEnd::Completed;
}

} // namespace masticgap::standins
