#include "common/eventually.hpp"
#include "entry/traffic_fixture.hpp"

#include <boost/beast/http/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <sstream>
#include <thread>

using namespace masticgap;
using namespace masticgap::tests;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

std::string outcome(const HttpResponse &Answer) {
  return std::string(Answer["Masticgap-Outcome"]);
}

} // namespace

// Guards against a second execution of a request that is not repeatable when
// its caller sends the same key again.
TEST_CASE("a request whose key is sent again runs once") {
  for (const bool Bound : {true, false}) {
    CAPTURE(Bound);
    TrafficFixture Fixture;
    const std::string Key = Bound ? Fixture.boundKey("k") : "bare";
    Fixture.Reactions->set({Reaction::Hold});
    TestCaller First(Fixture.local());
    First.send(makePost(Key));
    while (Fixture.seen() == 0) {
      Fixture.runOnForwardingThread([] {});
    }
    TestCaller Second(Fixture.local());
    Second.send(makePost(Key));
    // The answer to this request shows that the forwarding thread has received
    // the second one.
    TestCaller Other(Fixture.local());
    Other.run(makePost(Fixture.boundKey("other")));
    Fixture.First.release();
    Fixture.Second.release();
    const HttpResponse Answers[] = {First.read(), Second.read(),
                                    First.run(makePost(Key))};
    for (const HttpResponse &Answer : Answers) {
      CHECK(Answer.result_int() == 200);
      CHECK(outcome(Answer) == "answered");
      CHECK(Answer.body() == "answer to /agenda/x " + Key);
    }
    CHECK(Fixture.seen() == 2);
  }
}

TEST_CASE("a key of another request is refused") {
  TrafficFixture Fixture;
  TestCaller Caller(Fixture.local());
  Caller.run(makePost(Fixture.boundKey("k"), "one"));
  const HttpResponse Answer =
      Caller.run(makePost(Fixture.boundKey("k"), "two"));
  CHECK(Answer.result_int() == 400);
  CHECK(outcome(Answer) == "not-run");
  CHECK(Fixture.seen() == 1);
}

TEST_CASE("a key whose outcome is unknown does not run again") {
  TrafficFixture Fixture;
  Fixture.Reactions->set({Reaction::ResetRead});
  TestCaller Caller(Fixture.local());
  CHECK(outcome(Caller.run(makePost(Fixture.boundKey("k")))) == "unknown");
  CHECK(outcome(Caller.run(makePost(Fixture.boundKey("k")))) == "unknown");
  CHECK(Fixture.seen() == 1);
}

TEST_CASE("a repeatable request is cancelled when its caller disconnects") {
  TrafficFixture Fixture;
  Fixture.Reactions->set({Reaction::Hold});
  TestCaller Caller(Fixture.local());
  Caller.send(makeGet());
  while (Fixture.seen() == 0)
    Fixture.runOnForwardingThread([] {});
  const FakeWorker &Worker =
      Fixture.First.seen().empty() ? Fixture.Second : Fixture.First;
  Caller.close();
  Worker.awaitCancelled();
  CHECK(Fixture.seen() == 1);
}

// Guards against a lost outcome: a caller that closed its connection and sends
// the request again must get the answer of the first execution.
TEST_CASE("a key's outcome is recorded although its caller disconnected") {
  TrafficFixture Fixture;
  Fixture.Reactions->set({Reaction::Hold});
  TestCaller Disconnected(Fixture.local());
  Disconnected.send(makePost(Fixture.boundKey("k")));
  while (Fixture.seen() == 0)
    Fixture.runOnForwardingThread([] {});
  Disconnected.close();
  Fixture.First.release();
  Fixture.Second.release();
  TestCaller Caller(Fixture.local());
  const HttpResponse Answer = Caller.run(makePost(Fixture.boundKey("k")));
  CHECK(Answer.body() == "answer to /agenda/x " + Fixture.boundKey("k"));
  CHECK(Fixture.seen() == 1);
}

// Guards against a second execution: a worker may have received a part of a
// body whose caller left, so the request must not be declared "not run".
TEST_CASE("an upload that its caller did not complete has an unknown outcome") {
  TrafficFixture Fixture;
  HttpRequest Request =
      makePost(Fixture.boundKey("k"), std::string(1024 * 1024, 'b'));
  TestCaller Leaving(Fixture.local());
  std::ostringstream Text;
  Text << Request;
  Leaving.sendText(Text.str().substr(0, 512 * 1024));
  // The first part of the body is sent soon after the dispatch.
  CHECK(eventually([&] {
    bool Dispatched = false;
    Fixture.runOnForwardingThread(
        [&] { Dispatched = !Fixture.State->InFlight.empty(); });
    return Dispatched;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Leaving.close();
  CHECK(eventually([&] {
    bool Idle = false;
    Fixture.runOnForwardingThread(
        [&] { Idle = Fixture.State->InFlight.empty(); });
    return Idle;
  }));
  TestCaller Caller(Fixture.local());
  CHECK(outcome(Caller.run(Request)) == "unknown");
  CHECK(Fixture.seen() == 0);
}

TEST_CASE("a bound key runs on its owner only") {
  TrafficFixture Owner;
  TrafficFixture Other;
  TestCaller Caller(Other.local());
  // The owner is not a known member, but may have run the request of the key.
  const HttpResponse Unknown = Caller.run(makePost(Owner.boundKey("k")));
  CHECK(outcome(Unknown) == "unknown");
  Other.addPeer(Owner);
  const HttpResponse Answer = Caller.run(makePost(Owner.boundKey("k")));
  CHECK(Answer.result_int() == 200);
  CHECK(outcome(Answer) == "answered");
  CHECK(Other.seen() == 0);
  CHECK(Owner.seen() == 1);
}

// Guards against endless forwarding between two hosts that each regard the
// other as the owner.
TEST_CASE("a forwarded request is not forwarded again") {
  TrafficFixture Owner;
  TrafficFixture Other;
  Other.addPeer(Owner);
  HttpRequest Request = makePost(Owner.boundKey("k"));
  Request.set("Masticgap-Forwarded", "1");
  TestCaller Caller(Other.local());
  CHECK(outcome(Caller.run(Request)) == "unknown");
  CHECK(Owner.seen() == 0);
}

TEST_CASE(
    "a planned stop finishes requests in flight and accepts no new caller") {
  TrafficFixture Fixture;
  Fixture.Reactions->set({Reaction::Hold});
  TestCaller Busy(Fixture.local());
  TestCaller Idle(Fixture.local());
  CHECK(Idle.run(makeGet("/nowhere")).result_int() == 404);
  Busy.send(makePost(Fixture.boundKey("k")));
  while (Fixture.seen() == 0)
    Fixture.runOnForwardingThread([] {});
  std::promise<void> Empty;
  Fixture.runOnForwardingThread(
      [&] { Fixture.Server->drain([&] { Empty.set_value(); }); });
  Idle.read();
  CHECK(Idle.Failure);
  Fixture.First.release();
  Fixture.Second.release();
  const HttpResponse Answer = Busy.read();
  CHECK_FALSE(Busy.Failure);
  CHECK(Answer.result_int() == 200);
  CHECK_FALSE(Answer.keep_alive());
  Empty.get_future().wait();
}

// Guards against callers that neither send nor read and thereby occupy memory
// indefinitely.
TEST_CASE("a slow caller is disconnected") {
  entry::EntryLimits Limits;
  Limits.ReceiveTimeout = std::chrono::milliseconds(100);
  Limits.SendTimeout = std::chrono::milliseconds(100);
  TrafficFixture Fixture(Limits);
  TestCaller Sender(Fixture.local());
  Sender.sendText("GET /agenda/x HTTP/1.1\r\nHo");
  Sender.read();
  CHECK(Sender.Failure);
  Fixture.Reactions->set({Reaction::AnswerLarge});
  TestCaller Reader(Fixture.local(), 4096);
  Reader.send(makeGet());
  const FakeWorker &Worker = [&]() -> const FakeWorker & {
    while (Fixture.seen() == 0)
      Fixture.runOnForwardingThread([] {});
    return Fixture.First.seen().empty() ? Fixture.Second : Fixture.First;
  }();
  Worker.awaitSendFailure();
  Reader.read();
  CHECK(Reader.Failure);
}
