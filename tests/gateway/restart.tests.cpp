// What a gateway knows after its start while the store rejects it.
#include "common/eventually.hpp"
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <string>
#include <utility>

using namespace masticgap;
using namespace masticgap::tests;

// Guards against a worker that left and is used again by a process that has
// just started and knows nothing of before.
TEST_CASE("a gateway that starts without the store uses no worker that left") {
  struct Case {
    const char *Name;
    void (*Leave)(GatewayFixture &, const std::string &, const Endpoint &);
  };
  const Case Cases[] = {
      {"draining",
       [](GatewayFixture &F, const std::string &Id, const Endpoint &Address) {
         F.putWorker(Id, Address, true);
       }},
      {"removed", [](GatewayFixture &F, const std::string &Id,
                     const Endpoint &) { F.removeWorker(Id); }},
      {"draining, then removed",
       [](GatewayFixture &F, const std::string &Id, const Endpoint &Address) {
         F.putWorker(Id, Address, true);
         F.removeWorker(Id);
       }},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Name);
    const auto Answers = [](std::size_t, const SeenRequest &) {
      return workerAnswer(200, "id-1", "whole");
    };
    ScriptedWorker One(Answers);
    ScriptedWorker Two(Answers);
    GatewayFixture A;
    A.putWorker("w1", One.endpoint());
    A.putWorker("w2", Two.endpoint());
    A.putConfig(1);
    A.start();
    A.awaitReady();
    REQUIRE(eventually([&] { return A.knownWorkers() == 2; }));
    // The worker that the request's object prefers leaves.
    REQUIRE(A.send("/safe/x"));
    const bool PreferOne = !One.seen().empty();
    ScriptedWorker &Left = PreferOne ? One : Two;
    C.Leave(A, PreferOne ? "w1" : "w2", Left.endpoint());
    CHECK(eventually([&] {
      const std::size_t Before = Left.seen().size();
      for (int I = 0; I < 3; ++I)
        A.send("/safe/x");
      return Left.seen().size() == Before;
    }));
    const std::size_t Before = Left.seen().size();
    A.rejectSecondGateway(true);
    GatewayFixture B(A);
    B.start();
    B.awaitReady();
    for (int I = 0; I < 10; ++I) {
      const auto Answer = B.send("/safe/x");
      REQUIRE(Answer);
      CHECK(Answer->result_int() == 200);
    }
    CHECK(Left.seen().size() == Before);
  }
}
