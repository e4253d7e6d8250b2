// Answers and bodies at the sockets: that break off, or that end once.
#include "common/raw_caller.hpp"
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

using namespace masticgap;
using namespace masticgap::tests;

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
