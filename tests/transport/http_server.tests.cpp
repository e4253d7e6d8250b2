#include "masticgap/transport/http_server.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace masticgap;
using namespace masticgap::transport;
namespace http = boost::beast::http;

namespace {

//! Echo server on a free port, run by a separate thread.
struct RunningServer {
  boost::asio::io_context Io{1};
  HttpServer Server;
  std::thread Thread;

  explicit RunningServer(HttpServerLimits Limits = {})
      : Server(Io, {"127.0.0.1", 0}, std::move(Limits),
               [](HttpRequest Request, const HttpServer::Reply &Reply) {
                 Reply(jsonResponse(Request, http::status::ok, Request.body()));
               }),
        Thread([this] { Io.run(); }) {}
  ~RunningServer() {
    Io.stop();
    Thread.join();
  }
};

std::string sendRaw(const Endpoint &To, const std::string &Bytes) {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket(Io);
  Socket.connect({boost::asio::ip::make_address(To.Address), To.Port});
  boost::asio::write(Socket, boost::asio::buffer(Bytes));
  // Ignores errors, since the server may already have closed the connection.
  boost::system::error_code Failure;
  Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Failure);
  std::string Answer;
  boost::asio::read(Socket, boost::asio::dynamic_buffer(Answer), Failure);
  return Answer;
}

} // namespace

TEST_CASE("the echo server answers with the body of the request") {
  RunningServer Running;
  const Endpoint To = Running.Server.local();
  const auto Answer =
      fetchNow(To, makeRequest(http::verb::post, To, "/x", "{\"a\":1}"),
               std::chrono::seconds(10));
  CHECK(Answer.result() == http::status::ok);
  CHECK(Answer.body() == "{\"a\":1}");
}

// Guards against an answer that is replaced while it is written, and against a
// second answer that is taken for that of the next request.
TEST_CASE("a request is answered once even if its reply is called again") {
  struct Case {
    const char *Name;
    bool Immediately; //!< The reply is called twice in its own request.
    bool Later;       //!< It is called again during the next request.
  };
  const Case Cases[] = {{"twice at once", true, false},
                        {"again during the next request", false, true},
                        {"both", true, true}};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    boost::asio::io_context Io(1);
    std::vector<HttpServer::Reply> Earlier;
    HttpServer Server(
        Io, {"127.0.0.1", 0}, {},
        [&](const HttpRequest &Request, const HttpServer::Reply &Reply) {
          const auto Answer =
              jsonResponse(Request, http::status::ok, Request.body());
          for (const auto &Old : Earlier)
            Old(Answer);
          Reply(Answer);
          if (C.Immediately)
            Reply(Answer);
          if (C.Later)
            Earlier.push_back(Reply);
        });
    const Endpoint To = Server.local();
    std::thread Thread([&] { Io.run(); });
    const auto MakePost = [](const std::string &Body, const char *Fields) {
      return "POST / HTTP/1.1\r\n" + std::string(Fields) +
             "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
             Body;
    };
    const std::string Received =
        sendRaw(To, MakePost("one", "") + MakePost("two", "") +
                        MakePost("three", "Connection: close\r\n"));
    Io.stop();
    Thread.join();
    std::string Bodies;
    for (auto At = Received.find("\r\n\r\n"); At != std::string::npos;
         At = Received.find("\r\n\r\n", At + 4))
      Bodies +=
          Received.substr(At + 4, Received.find("HTTP/1.1", At) - At - 4) + " ";
    CHECK(Bodies == "one two three ");
  }
}

// Guards against a handler that runs after its server, and thus its owner, was
// destroyed.
TEST_CASE("a request that is received completely after the end of its server "
          "is not handled") {
  struct Case {
    const char *Name;
    std::string Before; //!< Bytes sent before the end of the server.
    bool Read;          //!< The server reads them before its end.
    std::string After;
    std::string Status; //!< Empty if the connection is closed unanswered.
  };
  const Case Cases[] = {
      {"part of the body is read",
       "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na", true, "b",
       "HTTP/1.1 503"},
      {"part of the head is read", "POST / HTTP/1.1\r\n", true, "", ""},
      {"the read is queued", "GET / HTTP/1.1\r\n\r\n", false, "", ""}};
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    boost::asio::io_context Io(1);
    int Handled = 0;
    auto Server = std::make_unique<HttpServer>(
        Io, Endpoint{"127.0.0.1", 0}, HttpServerLimits(),
        [&](const HttpRequest &Request, const HttpServer::Reply &Reply) {
          ++Handled;
          Reply(jsonResponse(Request, http::status::ok, "{}"));
        });
    const Endpoint To = Server->local();
    boost::asio::ip::tcp::socket Caller(Io);
    Caller.connect({boost::asio::ip::make_address(To.Address), To.Port});
    boost::asio::write(Caller, boost::asio::buffer(C.Before));
    while (Server->openConnections() == 0)
      Io.run_one();
    if (C.Read)
      Io.poll();
    Server.reset();
    boost::asio::write(Caller, boost::asio::buffer(C.After));
    std::string Received;
    boost::asio::async_read(
        Caller, boost::asio::dynamic_buffer(Received),
        [&](boost::system::error_code, std::size_t) { Caller.close(); });
    Io.run_for(std::chrono::seconds(10));
    CHECK(Io.stopped());
    CHECK(Handled == 0);
    CHECK(Received.substr(0, 12) == C.Status);
  }
}

TEST_CASE("malformed and oversized requests get a typed error, then a close") {
  struct Case {
    const char *Name;
    std::string Bytes;
    std::string Status;
    std::string Kind;
  };
  const Case Cases[] = {
      {"no HTTP", "hello\r\n\r\n", "HTTP/1.1 400", "malformed"},
      {"bad version", "GET / HTTP/9.9\r\n\r\n", "HTTP/1.1 400", "malformed"},
      {"large body", "POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n",
       "HTTP/1.1 413", "too_large"},
      {"large header", "GET / HTTP/1.1\r\nA: " + std::string(5000, 'a'),
       "HTTP/1.1 413", "too_large"},
  };
  HttpServerLimits Limits;
  Limits.MaxBodyBytes = 100;
  Limits.MaxHeaderBytes = 1024;
  RunningServer Running(Limits);
  for (const auto &C : Cases) {
    CAPTURE(C.Name);
    const std::string Answer = sendRaw(Running.Server.local(), C.Bytes);
    CHECK(Answer.substr(0, C.Status.size()) == C.Status);
    CHECK(Answer.find(C.Kind) != std::string::npos);
  }
}

TEST_CASE("fetch reports a refused connection instead of an empty answer") {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Unused(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint To{"127.0.0.1", Unused.local_endpoint().port()};
  Unused.close();
  CHECK_THROWS_AS(fetchNow(To, makeRequest(http::verb::get, To, "/"),
                           std::chrono::seconds(10)),
                  boost::system::system_error);
}

TEST_CASE("query parameters are percent-decoded") {
  struct Case {
    const char *Target;
    const char *Expected;
  };
  const Case Cases[] = {{"/lookup?service=agenda", "agenda"},
                        {"/lookup?a=1&service=a%20b", "a b"},
                        {"/lookup", ""},
                        {"/lookup?service", ""},
                        {"not a target?%zz", ""}};
  for (const auto &C : Cases) {
    CAPTURE(C.Target);
    CHECK(queryParameter(C.Target, "service") == C.Expected);
  }
}
