// Answers and bodies at the sockets: that break off, or that end once.
#include "common/raw_caller.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace masticgap;
using namespace masticgap::tests;
namespace asio = boost::asio;

namespace {

constexpr const char *Body = "whole body of the answer";

//! Answers of one length in each framing that a worker may use.
struct Framing {
  const char *Name;
  std::string Answer;
  //! The end of the connection ends the answer, so that one that ends in its
  //! body by an orderly close is whole for any reader.
  bool EndsWithConnection;
};

std::vector<Framing> framings() {
  const std::string Head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Signature: s\r\n";
  return {
      {"length",
       Head + "Content-Length: " + std::to_string(std::string(Body).size()) +
           "\r\n\r\n" + Body,
       false},
      {"chunks",
       Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n13\r\n" +
           std::string(Body).substr(5) + "\r\n0\r\n\r\n",
       false},
      {"none", Head + "\r\n" + Body, true},
  };
}

} // namespace

// Guards against an answer that breaks off anywhere, also within its head, and
// reaches the caller as a complete success.
TEST_CASE("an answer that breaks off is never a success") {
  for (const Framing &C : framings()) {
    CAPTURE(C.Name);
    const std::size_t HeadEnd = C.Answer.find("\r\n\r\n") + 4;
    for (const char *Ending : {ScriptedWorker::Close, ScriptedWorker::Reset}) {
      const bool IsReset = Ending == ScriptedWorker::Reset;
      std::atomic<std::size_t> Kept = 0;
      ScriptedWorker Worker([&](std::size_t, const SeenRequest &) {
        return C.Answer.substr(0, Kept) + Ending;
      });
      const std::size_t End =
          C.EndsWithConnection && !IsReset ? HeadEnd : C.Answer.size();
      GatewayFixture F;
      F.putWorker("w1", Worker.endpoint());
      F.putConfig(1);
      F.start();
      F.awaitReady();
      for (Kept = 0; Kept < End; ++Kept) {
        CAPTURE(Kept);
        CAPTURE(IsReset);
        const std::size_t Before = Worker.seen().size();
        const auto Answer = F.send("/unsafe/x", "body");
        REQUIRE(Worker.seen().size() == Before + 1);
        CHECK_FALSE((Answer && Answer->result_int() / 100 == 2));
      }
    }
  }
}

// Guards against a status that is no final response and reaches the caller, or
// the reader of a control call, as an answer.
TEST_CASE("a response with an invalid status is broken") {
  struct Case {
    const char *Status;
    unsigned Expected;   //!< Status that the caller gets.
    std::string Refusal; //!< Field that states that it has not run.
  };
  const std::string Refusal = "Not-Executed: 1\r\n";
  const Case Cases[] = {{"000", 502, ""},      {"001", 502, ""},
                        {"099", 502, ""},      {"101", 502, ""},
                        {"600", 502, ""},      {"999", 502, ""},
                        {"600", 502, Refusal}, {"200", 200, ""},
                        {"404", 404, ""},      {"599", 599, ""}};
  for (const Case &C : Cases) {
    const std::string Row = std::string(C.Status) + ' ' + C.Refusal;
    CAPTURE(Row);
    ScriptedWorker Worker([&](std::size_t, const SeenRequest &) {
      return "HTTP/1.1 " + std::string(C.Status) +
             " X\r\nAttempt-Id: id-1\r\nResponse-Signature: s\r\n" + C.Refusal +
             "Content-Length: 2\r\n\r\nok";
    });
    GatewayFixture F;
    F.putWorker("w1", Worker.endpoint());
    F.putWorker("w2", Worker.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    const auto Answer = F.send("/unsafe/x", "body");
    REQUIRE(Answer);
    CHECK(Answer->result_int() == C.Expected);
    // The request counts as run, so it is not sent again.
    CHECK(Worker.seen().size() == 1);
    // Health checks and calls to the store are read by the same function.
    const auto Control = F.get(Worker.endpoint(), "/health");
    CHECK(Control.has_value() == (C.Expected != 502));
  }
}

// Guards against a second end of a body in chunks, which the next reader of the
// connection finds in place of a message.
TEST_CASE("a streamed body ends once") {
  constexpr std::size_t Size = 300'000;
  const std::string Large(Size, 'x');
  const std::string Chunks = "493e0\r\n" + Large + "\r\n0\r\n\r\n";
  const std::string Head =
      "HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nResponse-Signature: s\r\n";
  const std::string Short = workerAnswer(200, "id-1", "short");
  struct Case {
    const char *Name;
    std::string Upload; //!< Framing and body of the first request.
    std::string Answer; //!< Answer to the first request.
  };
  const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Length = "Content-Length: " + std::to_string(Size);
  const Case Cases[] = {
      {"answer with a length", "Content-Length: 0\r\n\r\n",
       Head + Length + "\r\n\r\n" + Large},
      {"answer in chunks", "Content-Length: 0\r\n\r\n",
       Head + Chunked + Chunks},
      {"answer without a length", "Content-Length: 0\r\n\r\n",
       Head + "\r\n" + Large + ScriptedWorker::Close},
      {"request with a length", Length + "\r\n\r\n" + Large, Short},
      {"request in chunks", Chunked + Chunks, Short},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    ScriptedWorker Worker([&](std::size_t Number, const SeenRequest &) {
      return Number == 0 ? C.Answer : Short;
    });
    GatewayFixture F;
    F.putWorker("w1", Worker.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    const std::string Request = "POST /unsafe/x HTTP/1.1\r\n"
                                "Host: a.example\r\nAttempt-Id: id-1\r\n";
    const auto Received = receiveUntilClosed(F.settings().Traffic,
                                             Request + C.Upload + Request +
                                                 "Connection: close\r\n"
                                                 "Content-Length: 0\r\n\r\n");
    REQUIRE(Received);
    CHECK(Received->starts_with("HTTP/1.1 200"));
    CHECK(Received->find("0\r\n\r\n0\r\n\r\n") == std::string::npos);
    const std::size_t Second = Received->rfind("HTTP/1.1 200");
    CHECK(Second > 0);
    CHECK(Received->ends_with("short"));
    REQUIRE(Worker.seen().size() == 2);
    CHECK(Worker.seen()[0].Body.size() == (C.Upload.size() > Size ? Size : 0));
  }
}

// Guards against a request that is smuggled in the body of another one, whose
// end is not known.
TEST_CASE("a transfer coding without chunks is rejected") {
  struct Case {
    const char *Coding;
    bool Accepted;
  };
  for (const Case &C : {Case{"chunked", true}, Case{"gzip", false},
                        Case{"identity", false}, Case{"", false}}) {
    CAPTURE(C.Coding);
    ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
      return workerAnswer(200, "id-1", "ok");
    });
    GatewayFixture F;
    F.putWorker("w1", Worker.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    const std::string Fields = "Host: a.example\r\nAttempt-Id: id-1\r\n";
    const auto Received = receiveUntilClosed(
        F.settings().Traffic,
        "POST /unsafe/x HTTP/1.1\r\n" + Fields + "Transfer-Encoding: " +
            C.Coding + "\r\nConnection: close\r\n\r\n0\r\n\r\n" +
            "POST /unsafe/hidden HTTP/1.1\r\n" + Fields +
            "Content-Length: 0\r\nConnection: close\r\n\r\n");
    REQUIRE(Received);
    CHECK(Received->starts_with(C.Accepted ? "HTTP/1.1 200" : "HTTP/1.1 400"));
    CHECK(Worker.seen().size() == (C.Accepted ? 1 : 0));
  }
}

namespace {

//! Worker that answers short requests whole and keeps their connections open.
//! To an upload it sends the start of an answer without a length as soon as it
//! has read the head, and resets the connection.
class EarlyAnswerWorker {
public:
  EarlyAnswerWorker() : Acceptor(Io, {asio::ip::address_v4::loopback(), 0}) {
    // Connections inherit it, so that most of an upload waits in the gateway.
    Acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
    Accepting = std::thread([this] { accept(); });
  }
  ~EarlyAnswerWorker() {
    Stopped = true;
    // Ends the blocking accept.
    boost::system::error_code Ignored;
    asio::ip::tcp::socket Waker(Io);
    Waker.connect(Local, Ignored);
    Accepting.join();
    Waker.close(Ignored);
    for (std::thread &Thread : Serving)
      Thread.join();
  }
  EarlyAnswerWorker(const EarlyAnswerWorker &) = delete;
  EarlyAnswerWorker &operator=(const EarlyAnswerWorker &) = delete;

  Endpoint endpoint() const { return {"127.0.0.1", Local.port()}; }
  unsigned resetsOfKept() const { return ResetsOfKept; }
  unsigned resets() const { return Resets; }

private:
  void accept() {
    for (;;) {
      asio::ip::tcp::socket Connection(Io);
      boost::system::error_code Failure;
      Acceptor.accept(Connection, Failure);
      if (Failure || Stopped)
        return;
      Serving.emplace_back(
          [this, Own = std::move(Connection)]() mutable { serve(Own); });
    }
  }

  void serve(asio::ip::tcp::socket &Connection) {
    std::string Received;
    boost::system::error_code Failure;
    for (unsigned Number = 0;; ++Number) {
      const std::size_t HeadEnd = asio::read_until(
          Connection, asio::dynamic_buffer(Received), "\r\n\r\n", Failure);
      if (Failure)
        return;
      if (Received.starts_with("POST /unsafe/upload")) {
        asio::write(Connection,
                    asio::buffer("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\n"
                                 "Response-Signature: s\r\n\r\n" +
                                 std::string(Part, 'a')),
                    Failure);
        // The gateway reads the part, and still has bytes to write.
        std::this_thread::sleep_for(ResetDelay);
        Connection.set_option(asio::socket_base::linger(true, 0), Failure);
        ++Resets;
        ResetsOfKept += Number > 0 ? 1 : 0;
        return;
      }
      Received.erase(0, HeadEnd);
      asio::write(Connection, asio::buffer(workerAnswer(200, "id-1", "ok")),
                  Failure);
    }
  }

  static constexpr std::size_t Part = 20'000;
  static constexpr std::chrono::milliseconds ResetDelay{20};
  static constexpr int ReceiveBytes = 4096;
  asio::io_context Io{1};
  asio::ip::tcp::acceptor Acceptor;
  asio::ip::tcp::endpoint Local = Acceptor.local_endpoint();
  std::atomic<bool> Stopped = false;
  std::atomic<unsigned> Resets = 0;
  std::atomic<unsigned> ResetsOfKept = 0;
  std::vector<std::thread> Serving;
  std::thread Accepting;
};

} // namespace

// Guards against a part of an answer that reaches the caller as a whole one
// because its worker resets the connection while the upload is being written.
TEST_CASE("the answer to an upload that its worker resets is not complete") {
  constexpr std::size_t BufferedBytes = 200'000;
  constexpr std::size_t StreamedBytes = 16'000'000;
  constexpr int Rounds = 10;
  struct Case {
    const char *Name;
    std::size_t Bytes;
    bool Chunked;
    bool Kept; //!< The connection to the worker is one that was used before.
  };
  for (const Case &C : {Case{"buffered, new", BufferedBytes, false, false},
                        Case{"buffered, kept", BufferedBytes, false, true},
                        Case{"streamed, new", StreamedBytes, false, false},
                        Case{"streamed, kept", StreamedBytes, false, true},
                        Case{"chunks, new", StreamedBytes, true, false},
                        Case{"chunks, kept", StreamedBytes, true, true}}) {
    CAPTURE(std::string(C.Name));
    // The gateway closes its connections before the worker ends.
    EarlyAnswerWorker Worker;
    GatewayFixture F;
    F.setMaxBodyBytes(2 * StreamedBytes);
    F.putWorker("w1", Worker.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    const std::string Fields = "Host: a.example\r\nAttempt-Id: id-1\r\n";
    const std::string Data(C.Bytes, 'x');
    std::ostringstream Size;
    Size << std::hex << C.Bytes;
    const std::string Upload =
        "POST /unsafe/upload HTTP/1.1\r\n" + Fields + "Connection: close\r\n" +
        (C.Chunked ? "Transfer-Encoding: chunked\r\n\r\n" + Size.str() +
                         "\r\n" + Data + "\r\n0\r\n\r\n"
                   : "Content-Length: " + std::to_string(C.Bytes) + "\r\n\r\n" +
                         Data);
    const std::string First = "POST /unsafe/first HTTP/1.1\r\n" + Fields +
                              "Content-Length: 0\r\n\r\n";
    for (int Round = 0; Round < Rounds; ++Round) {
      const auto Received = receiveUntilClosed(
          F.settings().Traffic, C.Kept ? First + Upload : Upload);
      REQUIRE(Received);
      std::string Answer = *Received;
      if (C.Kept) {
        REQUIRE(Answer.starts_with("HTTP/1.1 200"));
        Answer.erase(0, Answer.find("ok") + 2);
      }
      // A success would be whole if it states no length or ends its chunks.
      const bool IsSuccess = Answer.starts_with("HTTP/1.1 2");
      const bool HasChunks =
          Answer.find("Transfer-Encoding: chunked") != std::string::npos;
      const bool HasLength =
          Answer.find("Content-Length: ") != std::string::npos;
      const bool LooksWhole =
          HasChunks ? Answer.ends_with("\r\n0\r\n\r\n") : !HasLength;
      CHECK_FALSE((IsSuccess && LooksWhole));
    }
    CHECK(Worker.resets() == Rounds);
    CHECK(Worker.resetsOfKept() == (C.Kept ? Rounds : 0));
  }
}
