// Exchange of the load of workers over three gateways.
#include "gateway/load_exchange.hpp"

#include "common/eventually.hpp"
#include "gateway_fixture.hpp"

#include <boost/asio/ip/udp.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::gateway;
using namespace masticgap::tests;

namespace {

const std::string Applied = R"(load_reports_total{kind="applied"})";

ScriptedWorker::Script reporting(const std::string &Load) {
  return [Load](std::size_t, const SeenRequest &) {
    return workerAnswer(200, "id-1", "whole",
                        "Response-Signature: s\r\nServer-Load: " + Load +
                            "\r\n");
  };
}

} // namespace

// Guards against datagrams of another sender or version that are taken for
// reports, and against counts that exceed the bytes.
TEST_CASE("messages of the load exchange are decoded only as a whole") {
  LoadMessage Full{LoadSource::Region, {}};
  for (std::size_t I = 0; I < MaxLoadEntries; ++I)
    Full.Entries.push_back({static_cast<LoadKey>(0xfedcba98 + I),
                            static_cast<std::uint8_t>(I), 50, 255});
  const LoadMessage Messages[] = {
      {LoadSource::Host, {{0x01020304, 12, 20, 3}, {5, 0, 0, 0}}},
      {LoadSource::Domain, {}},
      Full};
  for (const LoadMessage &Message : Messages) {
    const std::string Bytes = encodeLoadMessage(Message);
    CHECK(Bytes.size() <= MaxLoadDatagramBytes);
    const auto Decoded = decodeLoadMessage(Bytes);
    REQUIRE(Decoded);
    CHECK((*Decoded == Message));
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK_FALSE(decodeLoadMessage(Bytes.substr(0, Size)));
    CHECK_FALSE(decodeLoadMessage(Bytes + "x"));
  }
  // Mark, source and number of entries; the first byte is the byte order.
  for (const std::size_t At : {1U, 3U, 4U}) {
    std::string Wrong = encodeLoadMessage(Full);
    Wrong[At] = '\xff';
    CHECK_FALSE(decodeLoadMessage(Wrong));
  }
}

// Guards against a host that does not learn what others know, and against a
// failure domain without a gatherer after a planned stop.
TEST_CASE("three gateways exchange the load that workers report") {
  ScriptedWorker Worker(reporting("3,9,3,250"));
  GatewayFixture A;
  A.putWorker("w1", Worker.endpoint());
  A.putConfig(1);
  A.start();
  A.awaitReady();
  GatewayFixture B(A);
  B.start();
  B.awaitReady();
  GatewayFixture C(A, "h3", "d", "127.0.0.3");
  C.start();
  C.awaitReady();
  GatewayFixture *const All[] = {&A, &B, &C};
  REQUIRE(eventually([&] {
    return A.metric("members") == 3 && B.metric("members") == 3 &&
           C.metric("members") == 3;
  }));
  CHECK(A.metric("load_exchange_active") == 0);
  // The port of a host is open once it has a report itself.
  for (GatewayFixture *Each : All)
    REQUIRE(Each->send("/safe/x"));
  for (GatewayFixture *Each : All)
    CHECK(Each->metric("load_exchange_active") == 1);
  CHECK(A.metric("load_gatherer") + C.metric("load_gatherer") == 1);
  CHECK(B.metric("load_gatherer") == 1);
  const auto LearnFrom = [&](GatewayFixture &From, GatewayFixture &To) {
    const unsigned Before = To.metric(Applied);
    return eventually(
        [&] { return From.send("/safe/x") && To.metric(Applied) > Before; });
  };
  for (GatewayFixture *From : All)
    for (GatewayFixture *To : All)
      if (From != To) {
        CAPTURE(From->settings().Host.value());
        CAPTURE(To->settings().Host.value());
        CHECK(LearnFrom(*From, *To));
      }
  CHECK(A.metric("load_report_age_ms_total") / A.metric(Applied) < 2000);
  CHECK(A.metric("network_bytes_total{kind=\"load_domain\"}") > 0);

  GatewayFixture &Gatherer = A.metric("load_gatherer") == 1 ? A : C;
  GatewayFixture &Other = &Gatherer == &A ? C : A;
  Gatherer.requestStop();
  CHECK(eventually([&] { return Other.metric("load_gatherer") == 1; }));
  CHECK(LearnFrom(Other, B));
  CHECK(LearnFrom(B, Other));
}

// Guards against deployments whose workers do not report a work factor that
// open a port and behave differently.
TEST_CASE("the exchange runs only where the settings or the workers ask") {
  struct Case {
    const char *Load;
    LoadExchangeMode Mode;
    bool Active;
  };
  const Case Cases[] = {{"0,0,3,100", LoadExchangeMode::Auto, true},
                        {"0,0,3", LoadExchangeMode::Auto, false},
                        {"0,0,3", LoadExchangeMode::On, true},
                        {"0,0,3,100", LoadExchangeMode::Off, false}};
  for (const Case &C : Cases) {
    CAPTURE(C.Load);
    ScriptedWorker Worker(reporting(C.Load));
    GatewayFixture F;
    F.setLoadExchange(C.Mode);
    F.putWorker("w1", Worker.endpoint());
    F.putConfig(1);
    F.start();
    F.awaitReady();
    const auto Answer = F.send("/safe/x");
    REQUIRE(Answer);
    CHECK(Answer->result_int() == 200);
    CHECK((F.metric("load_exchange_active") == 1) == C.Active);
  }
}
