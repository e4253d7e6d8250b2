// Limits of accounts over two gateways.
#include "gateway/account_exchange.hpp"

#include "common/eventually.hpp"
#include "gateway_fixture.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/asio/ip/udp.hpp>
#include <boost/beast/http/verb.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

using namespace masticgap;
using namespace masticgap::coordination;
using namespace masticgap::gateway;
using namespace masticgap::tests;
namespace http = boost::beast::http;

namespace {

constexpr double Rate = 20;
constexpr double Burst = 10;

//! The rest of a configuration after its routes: accounts with one key each.
const std::string Accounts =
    R"(]},"tenants":{"columns":["name","api_keys","rate_per_s","burst_size",
"priority","home_regions"],"rows":[["limited",["key-l"],20,10,null,[]],
["free",["key-f"],null,null,null,[]])";

std::optional<transport::HttpResponse> sendAs(const GatewayFixture &Gateway,
                                              const std::string &Key) {
  const Endpoint &To = Gateway.settings().Traffic;
  transport::HttpRequest Request =
      transport::makeRequest(http::verb::get, To, "/safe/x");
  Request.set(http::field::host, "a.example");
  Request.set("Attempt-Id", "id-1");
  Request.set("Deadline-Milliseconds", "3000");
  Request.set(http::field::authorization, "Bearer " + Key);
  try {
    return transport::fetchNow(To, Request, std::chrono::seconds(30));
  } catch (const boost::system::system_error &) {
    return std::nullopt;
  }
}

unsigned statusAs(const GatewayFixture &Gateway, const std::string &Key) {
  const auto Answer = sendAs(Gateway, Key);
  return Answer ? Answer->result_int() : 0;
}

bool isPortFree(const GatewaySettings &Settings) {
  using Udp = boost::asio::ip::udp;
  boost::asio::io_context Io;
  Udp::socket Probe(Io, Udp::v4());
  boost::system::error_code Failed;
  Probe.bind({boost::asio::ip::make_address(Settings.Traffic.Address),
              Settings.accountPort()},
             Failed);
  return !Failed;
}

} // namespace

// Guards against datagrams of another sender or version that are taken for
// credit.
TEST_CASE("messages of the account exchange are decoded only as a whole") {
  const AccountMessage Messages[] = {
      CreditRequest{7, 0xffffffffffffffff, 1, 2, 3, 4, 5, 6},
      CreditGrant{9, 5, 6, 0xffffffff, 7, OwnerStatus::NotOwner}};
  for (const AccountMessage &Message : Messages) {
    const std::string Bytes = encodeAccountMessage(Message);
    CHECK(Bytes.size() <= MaxAccountDatagramBytes);
    const auto Decoded = decodeAccountMessage(Bytes);
    REQUIRE(Decoded);
    CHECK((*Decoded == Message));
    for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
      CHECK_FALSE(decodeAccountMessage(Bytes.substr(0, Size)));
    CHECK_FALSE(decodeAccountMessage(Bytes + "x"));
    std::string Marked = Bytes;
    Marked[1] = '\x77';
    CHECK_FALSE(decodeAccountMessage(Marked));
  }
  std::string Unknown = encodeAccountMessage(CreditGrant{});
  Unknown.back() = '\x03';
  CHECK_FALSE(decodeAccountMessage(Unknown));
}

// Guards against an account that gets its limit at each gateway instead of once
// for all, and against a deployment without limits that opens the port.
TEST_CASE("two gateways share the limit of an account") {
  ScriptedWorker Worker([](std::size_t, const SeenRequest &) {
    return workerAnswer(200, "id-1", "whole");
  });
  GatewayFixture A;
  A.putWorker("w1", Worker.endpoint());
  A.putConfig(1);
  A.start();
  A.awaitReady();
  GatewayFixture B(A);
  B.start();
  B.awaitReady();
  CHECK(isPortFree(A.settings()));
  A.putConfig(2, Accounts);
  REQUIRE(eventually([&] {
    return statusAs(A, "none") == 401 && statusAs(B, "none") == 401;
  }));
  // The owner fills its bucket after the settle time from its start.
  const AccountLimitSettings Limits;
  std::this_thread::sleep_for(Limits.settleTime(2) + std::chrono::seconds(1));
  CHECK_FALSE(isPortFree(A.settings()));

  const GatewayFixture *const Gateways[] = {&A, &B};
  unsigned Served[] = {0, 0};
  unsigned Limited = 0;
  unsigned FreeServed = 0;
  unsigned Rounds = 0;
  const std::size_t SeenBefore = Worker.seen().size();
  const auto Begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - Begin < std::chrono::seconds(4)) {
    ++Rounds;
    for (std::size_t I = 0; I < 2; ++I) {
      const auto Answer = sendAs(*Gateways[I], "key-l");
      REQUIRE(Answer);
      if (Answer->result_int() == 200) {
        ++Served[I];
        continue;
      }
      REQUIRE(Answer->result_int() == 429);
      ++Limited;
      CHECK(std::stod(std::string(Answer->at(http::field::retry_after))) > 0);
    }
    FreeServed += statusAs(*Gateways[Rounds % 2], "key-f") == 200 ? 1 : 0;
  }
  const double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Begin)
          .count();
  // The bucket holds the burst, 0.1 s of the rate and a quarter of the slack.
  const double Bucket = Burst + 0.1 * Rate + 0.25 * 20;
  CHECK(Served[0] + Served[1] <= Rate * Seconds + Bucket + 1);
  // More than the bucket and the floor could give.
  CHECK(Served[0] + Served[1] >= Rate + Bucket);
  CHECK(Served[0] >= 5);
  CHECK(Served[1] >= 5);
  CHECK(Limited > 0);
  CHECK(FreeServed == Rounds);
  CHECK(Worker.seen().size() - SeenBefore ==
        Served[0] + Served[1] + FreeServed);

  // A configuration without the limit takes it away.
  A.putConfig(3);
  CHECK(eventually([&] {
    for (int I = 0; I < 30; ++I)
      if (statusAs(A, "key-l") != 200 || statusAs(B, "key-l") != 200)
        return false;
    return true;
  }));
}
