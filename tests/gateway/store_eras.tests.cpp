// Gateways whose store is restored from a copy that is some moments old.
#include "common/eventually.hpp"
#include "gateway_fixture.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace masticgap;
using namespace masticgap::tests;
using namespace std::chrono_literals;

namespace {

constexpr const char *DroppedRoute =
    R"(,["old","a.example","/old/","safe","1000ms","400ms",2,"svc",2,true,[],null])";

ScriptedWorker::Script echo() {
  return [](std::size_t, const SeenRequest &) {
    return workerAnswer(200, "id-1", "whole");
  };
}

unsigned statusOf(GatewayFixture &Host, const std::string &Target) {
  const auto Answer = Host.send(Target);
  return Answer ? Answer->result_int() : 0;
}

//! Store whose copy has configuration 1, and workers w1 and w2. Later
//! configuration 2 drops a route, and w2 is removed.
struct RestoredStore {
  RestoredStore() {
    A.putWorker("w1", Kept.endpoint());
    A.putWorker("w2", Removed.endpoint());
    A.putConfig(1, DroppedRoute);
    A.copyStore();
    A.start();
    A.awaitReady();
    REQUIRE(eventually([&] { return A.knownWorkers() == 2; }));
    REQUIRE(statusOf(A, "/old/x") == 200);
    REQUIRE(eventually([&] { return A.isAnnounced(); }));
  }

  void change() {
    A.putConfig(2);
    A.removeWorker("w2");
    REQUIRE(eventually(
        [&] { return A.configVersion() == 2 && A.knownWorkers() == 1; }));
    ArrivalsBefore = Removed.seen().size();
  }

  //! Writes of the operator and of a worker after the restore.
  void writeAgain() {
    A.putConfig(3);
    A.putWorker("w3", New.endpoint());
  }

  void checkState(GatewayFixture &Host) {
    unsigned Newest = 2;
    const bool Current = eventually([&] {
      const unsigned Version = Host.configVersion();
      CHECK(Version >= Newest);
      Newest = Version;
      CHECK(statusOf(Host, "/old/x") == 404);
      statusOf(Host, "/safe/x");
      return Version == 3 && Host.knownWorkers() == 2;
    });
    CHECK(Current);
    CHECK(Host.configVersion() == 3);
    CHECK(Host.knownWorkers() == 2);
    for (int I = 0; I < 10; ++I)
      CHECK(statusOf(Host, "/safe/x") == 200);
    CHECK(Removed.seen().size() == ArrivalsBefore);
  }

  ScriptedWorker Kept{echo()};
  ScriptedWorker Removed{echo()};
  ScriptedWorker New{echo()};
  std::size_t ArrivalsBefore = 0;
  GatewayFixture A;
};

} // namespace

// Guards against a gateway that waits for versions which the store will assign
// again, or that returns to what the store's copy holds.
TEST_CASE("a gateway follows a store that was restored from a copy") {
  enum class SecondHost { None, Running, CutOff, StartsAfterwards };
  struct Case {
    const char *Name;
    SecondHost Second;
    unsigned Restores;
    void (*Restore)(GatewayFixture &);
  };
  const auto Once = [](GatewayFixture &F) { F.restoreStore(); };
  const Case Cases[] = {
      {"during a waiting feed", SecondHost::None, 1, Once},
      {"during a waiting feed, two hosts", SecondHost::Running, 1, Once},
      {"between a write and its response", SecondHost::None, 2,
       // The host writes its own row again after the first restore.
       [](GatewayFixture &F) {
         F.restoreStoreAtNextWrite();
         F.restoreStore();
         CHECK(eventually([&] { return F.storeRestores() == 2; }));
       }},
      {"twice in a row", SecondHost::None, 2,
       [](GatewayFixture &F) {
         F.restoreStore();
         F.restoreStore();
       }},
      {"twice, and read in between", SecondHost::None, 2,
       [](GatewayFixture &F) {
         F.restoreStore();
         std::this_thread::sleep_for(1s);
         F.restoreStore();
       }},
      {"in an outage", SecondHost::None, 1,
       [](GatewayFixture &F) {
         F.setStore(standins::StoreMode::Silent);
         F.restoreStore();
         std::this_thread::sleep_for(1s);
         F.setStore(standins::StoreMode::Serve);
       }},
      {"in an outage with refusals", SecondHost::Running, 1,
       [](GatewayFixture &F) {
         F.setStore(standins::StoreMode::Refuse);
         F.restoreStore();
         std::this_thread::sleep_for(1s);
         F.setStore(standins::StoreMode::Serve);
       }},
      {"while a host is cut off", SecondHost::CutOff, 1, Once},
      {"at a host's start", SecondHost::StartsAfterwards, 1, Once},
  };
  for (const Case &C : Cases) {
    CAPTURE(std::string(C.Name));
    RestoredStore F;
    GatewayFixture B(F.A);
    const bool Runs =
        C.Second == SecondHost::Running || C.Second == SecondHost::CutOff;
    if (Runs) {
      B.start();
      B.awaitReady();
    }
    F.change();
    if (Runs)
      REQUIRE(eventually(
          [&] { return B.configVersion() == 2 && B.knownWorkers() == 1; }));
    F.ArrivalsBefore = F.Removed.seen().size();
    if (C.Second == SecondHost::CutOff)
      F.A.rejectSecondGateway(true);
    C.Restore(F.A);
    REQUIRE(F.A.storeRestores() == C.Restores);
    // What is written after a restore is seen up to 1.5 s later.
    const auto Later = std::chrono::steady_clock::now() + 700ms;
    while (std::chrono::steady_clock::now() < Later) {
      CHECK(F.A.configVersion() == 2);
      CHECK(statusOf(F.A, "/old/x") == 404);
      CHECK(statusOf(F.A, "/safe/x") == 200);
      std::this_thread::sleep_for(20ms);
    }
    if (C.Second == SecondHost::StartsAfterwards) {
      B.start();
      B.awaitReady();
      // The store's copy has configuration 1 and the removed worker.
      CHECK(B.configVersion() == 2);
      CHECK(statusOf(B, "/old/x") == 404);
      for (int I = 0; I < 10; ++I)
        CHECK(statusOf(B, "/safe/x") == 200);
      CHECK(F.Removed.seen().size() == F.ArrivalsBefore);
    }
    F.writeAgain();
    F.checkState(F.A);
    CHECK(eventually([&] { return F.A.isAnnounced(); }));
    if (C.Second == SecondHost::None)
      continue;
    F.checkState(B);
    F.A.rejectSecondGateway(false);
    F.A.putConfig(4);
    CHECK(eventually(
        [&] { return F.A.configVersion() == 4 && B.configVersion() == 4; }));
    F.A.putConfig(5);
    CHECK(eventually([&] { return B.configVersion() == 5; }));
  }
}

// Guards against workers that a restore of the store takes out of use although
// they renew their registrations, and against those that stay for ever.
TEST_CASE("a worker that the store's copy lacks is kept for a while") {
  struct Case {
    const char *Name;
    bool Renewed;
    unsigned KnownAtEnd;
  };
  for (const Case &C : {Case{"renewed", true, 2}, Case{"gone", false, 1}}) {
    CAPTURE(std::string(C.Name));
    ScriptedWorker One(echo());
    ScriptedWorker Two(echo());
    GatewayFixture F;
    F.putWorker("w1", One.endpoint());
    F.putConfig(1);
    F.copyStore();
    F.start();
    F.awaitReady();
    F.putWorker("w2", Two.endpoint());
    REQUIRE(eventually([&] { return F.knownWorkers() == 2; }));
    F.restoreStore();
    const auto Written = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < Written) {
      CHECK(F.knownWorkers() == 2);
      std::this_thread::sleep_for(20ms);
    }
    if (C.Renewed)
      F.putWorker("w2", Two.endpoint());
    std::this_thread::sleep_for(3s);
    CHECK(eventually([&] { return F.knownWorkers() == C.KnownAtEnd; }));
  }
}

// Guards against requests to a failure domain whose evacuation a restore has
// lost, and against one that ended before and stays.
TEST_CASE("evacuations stay in force until the operator had time to write") {
  struct Case {
    const char *Name;
    bool InCopy;
    bool Known;        //!< In force before the restore.
    bool WrittenAgain; //!< Or removed again, if not known.
    bool InForceAtEnd;
  };
  const Case Cases[] = {
      {"lost and written again", false, true, true, true},
      {"lost and not written again", false, true, false, false},
      {"ended, and ended again", true, false, true, false},
      {"ended, and in the copy", true, false, false, true},
  };
  for (const Case &C : Cases) {
    CAPTURE(std::string(C.Name));
    ScriptedWorker One(echo());
    GatewayFixture F;
    F.putWorker("w1", One.endpoint());
    F.putConfig(1);
    if (C.InCopy)
      F.putEvacuation("d");
    F.copyStore();
    if (C.Known && !C.InCopy)
      F.putEvacuation("d");
    if (!C.Known)
      F.endEvacuation("d");
    F.start();
    F.awaitReady();
    const auto IsEvacuated = [&] { return statusOf(F, "/safe/x") != 200; };
    REQUIRE(eventually([&] { return IsEvacuated() == C.Known; }));
    F.restoreStore();
    REQUIRE(eventually(IsEvacuated));
    const auto Written = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < Written) {
      CHECK(IsEvacuated());
      std::this_thread::sleep_for(20ms);
    }
    if (C.WrittenAgain && C.Known)
      F.putEvacuation("d");
    if (C.WrittenAgain && !C.Known)
      F.endEvacuation("d");
    std::this_thread::sleep_for(4s);
    CHECK(eventually([&] { return IsEvacuated() == C.InForceAtEnd; }));
  }
}
