// Answers of workers that break off, as callers at the sockets see them.
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
