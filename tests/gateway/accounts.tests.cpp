// Keys, accounts and partly unreadable configurations, as callers and workers
// at the sockets see them.
#include "common/eventually.hpp"
#include "common/scripted_worker.hpp"
#include "gateway/gateway_fixture.hpp"
#include "masticgap/transport/request_fingerprint.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <string_view>

using namespace masticgap;
using namespace masticgap::tests;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

//! Caller that sends all requests on one connection.
class KeptCaller {
public:
  explicit KeptCaller(const Endpoint &To) {
    Socket.connect({asio::ip::make_address(To.Address), To.Port});
  }

  http::response<http::string_body> send(const std::string &Path,
                                         const std::string &Fields,
                                         unsigned DeadlineMs = 20000) {
    asio::write(Socket, asio::buffer("GET " + Path +
                                     " HTTP/1.1\r\nHost: a.example\r\n"
                                     "Attempt-Id: id-1\r\n"
                                     "Deadline-Milliseconds: " +
                                     std::to_string(DeadlineMs) + "\r\n" +
                                     Fields + "\r\n"));
    http::response<http::string_body> Answer;
    http::read(Socket, Buffer, Answer);
    return Answer;
  }

  unsigned status(const std::string &Path, const std::string &Key) {
    return send(Path, "Authorization: Bearer " + Key + "\r\n").result_int();
  }

private:
  asio::io_context Io{1};
  asio::ip::tcp::socket Socket{Io};
  beast::flat_buffer Buffer;
};

//! \param Routes rows of routes in addition to /safe/, /home/ and /open/.
//! \param Accounts rows of accounts.
std::string config(unsigned Version, const std::string &Accounts,
                   const std::string &Routes = "") {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":{"columns":["name","hostname","prefix","kind","timeout",
"target_latency","priority","service","home_regions","public"],"rows":[
["safe","a.example","/safe/","safe","20s","400ms",2,"svc",[],false],
["home","a.example","/home/","safe","20s","400ms",2,"svc",["r"],null],
["open","a.example","/open/","download",null,"400ms",2,"svc",[],true])" +
         Routes + R"(]},"services":{"columns":["name","connection_limit"],
"rows":[["svc",600]]},"tenants":{"columns":["name","api_keys","rate_per_s",
"burst_size","priority","home_regions"],"rows":[)" +
         Accounts + "]}}";
}

constexpr const char *Accounts =
    R"(["acme",["key-a"]],["borealis",["key-b1","key-b2"],null,null,0,["r"]],
["away",["key-w"],null,null,null,["other"]])";

std::string fieldOf(const std::string &Head, const std::string &Name) {
  const std::size_t At = Head.find("\r\n" + Name + ": ");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

std::string answerAll(std::size_t, const SeenRequest &) {
  return workerAnswer(200, "id-1", "whole");
}

} // namespace

// Guards against requests without a key that run, keys that reach workers,
// callers that choose their account, and keys that are refused or accepted
// after a new version of the configuration.
TEST_CASE("a request is served for the account of its key") {
  ScriptedWorker Worker(answerAll);
  GatewayFixture F;
  F.putWorker("w1", Worker.endpoint());
  F.putConfigRow(config(1, Accounts));
  F.start();
  F.awaitReady();
  struct Case {
    const char *Path;
    const char *Fields;
    unsigned Status;
    const char *Account; //!< As the worker learns it.
  };
  const Case Cases[] = {
      {"/safe/x", "Authorization: Bearer key-a\r\n", 200, "acme"},
      {"/safe/x", "Authorization: Bearer key-b1\r\n", 200, "borealis"},
      {"/safe/x", "authorization: bearer   key-b2 \r\n", 200, "borealis"},
      {"/safe/x", "Authorization: Bearer key-a\r\nTenant: borealis\r\n", 200,
       "acme"},
      {"/safe/x",
       "Authorization: Bearer key-a\r\nTenant: x\r\nTenant: y\r\n"
       "Connection: Tenant, Authorization\r\n",
       200, "acme"},
      {"/safe/x", "", 401, ""},
      {"/safe/x", "Tenant: acme\r\n", 401, ""},
      {"/safe/x", "Authorization: key-a\r\n", 401, ""},
      {"/safe/x", "Authorization: Basic key-a\r\n", 401, ""},
      {"/safe/x", "Authorization: Bearer\r\n", 401, ""},
      {"/safe/x", "Authorization: Bearer key-\r\n", 401, ""},
      {"/safe/x", "Authorization: Bearer key-a2\r\n", 401, ""},
      {"/safe/x",
       "Authorization: Bearer key-a\r\nAuthorization: Bearer key-b1\r\n", 401,
       ""},
      {"/none/x", "", 404, ""},
      {"/open/x", "", 200, ""},
      {"/open/x", "Authorization: Bearer wrong\r\nTenant: acme\r\n", 200, ""},
      {"/home/x", "Authorization: Bearer key-b1\r\n", 200, "borealis"},
      {"/home/x", "Authorization: Bearer key-w\r\n", 503, ""},
      {"/safe/x", "Authorization: Bearer key-w\r\n", 503, ""},
  };
  KeptCaller Caller(F.settings().Traffic);
  for (const Case &C : Cases) {
    CAPTURE(C.Path);
    CAPTURE(C.Fields);
    const std::size_t Before = Worker.seen().size();
    const auto Answer = Caller.send(C.Path, C.Fields);
    CHECK(Answer.result_int() == C.Status);
    CHECK((Answer.count(http::field::www_authenticate) > 0) ==
          (C.Status == 401));
    const auto Seen = Worker.seen();
    REQUIRE(Seen.size() == Before + (C.Status == 200 ? 1 : 0));
    if (C.Status != 200)
      continue;
    const std::string &Head = Seen.back().Head;
    CHECK(fieldOf(Head, "Tenant") == C.Account);
    CHECK(Head.find("uthorization") == std::string::npos);
    CHECK(Head.find("key-") == std::string::npos);
  }

  const auto Metrics = F.get(
      {F.settings().Traffic.Address, F.settings().MetricsPort}, "/metrics");
  REQUIRE(Metrics);
  for (const char *Line : {"{account=\"acme\",outcome=\"served\"} 3",
                           "{account=\"borealis\",outcome=\"served\"} 3",
                           "{account=\"away\",outcome=\"refused\"} 2",
                           "{account=\"\",outcome=\"unauthorized\"} 8"}) {
    CAPTURE(Line);
    CHECK(Metrics->body().find(Line) != std::string::npos);
  }

  // The keys change; the connection is kept.
  F.putConfigRow(
      config(2, R"(["acme",["key-a"]],["borealis",["key-b2","key-b3"]])"));
  CHECK(eventually([&] { return Caller.status("/safe/x", "key-b1") == 401; }));
  CHECK(Caller.status("/safe/x", "key-b2") == 200);
  CHECK(Caller.status("/safe/x", "key-b3") == 200);
  CHECK(Caller.status("/safe/x", "key-a") == 200);
}

// Guards against retried requests that admission takes for first ones.
TEST_CASE("refused requests are counted by priority and earlier attempts") {
  ScriptedWorker Worker(answerAll);
  GatewayFixture F;
  // The queue is longer than any wait limit.
  F.setLoadParser([](std::string_view) {
    return coordination::QueueReport{.Running = 1, .Waiting = 1000000};
  });
  F.putWorker("w1", Worker.endpoint());
  F.putConfigRow(config(1, Accounts));
  F.start();
  F.awaitReady();
  KeptCaller Caller(F.settings().Traffic);
  CHECK(Caller.status("/safe/x", "key-a") == 200);
  struct Case {
    const char *Key;
    unsigned DeadlineMs;
    const char *Counted;
  };
  const Case Cases[] = {{"key-a", 20000, "first_2"},
                        {"key-a", 18000, "retried_2"},
                        {"key-b1", 19980, "first_0"},
                        {"key-b1", 19000, "retried_0"}};
  for (const Case &C : Cases) {
    CAPTURE(C.Counted);
    CHECK(Caller
              .send("/safe/x",
                    std::string("Authorization: Bearer ") + C.Key + "\r\n",
                    C.DeadlineMs)
              .result_int() == 503);
    const auto Metrics = F.get(
        {F.settings().Traffic.Address, F.settings().MetricsPort}, "/metrics");
    REQUIRE(Metrics);
    CHECK(Metrics->body().find("masticgap_admission_refused_total{kind=\"" +
                               std::string(C.Counted) + "\"} 1\n") !=
          std::string::npos);
  }
}

// Guards against a request that crashes a worker again for each key that it is
// sent with.
TEST_CASE("the key does not affect the fingerprint of a request") {
  const auto Fingerprint = [](const char *Key, const char *Target) {
    http::request_header<> Head;
    Head.method(http::verb::post);
    Head.target(Target);
    Head.set(http::field::host, "a.example");
    if (Key)
      Head.set(http::field::authorization, Key);
    return transport::requestFingerprint(Head, "body", false).Value;
  };
  const std::uint64_t Plain = Fingerprint(nullptr, "/safe/x");
  for (const char *Key : {"Bearer key-a", "Bearer key-b1", "Basic x", ""})
    CHECK(Fingerprint(Key, "/safe/x") == Plain);
  CHECK(Fingerprint(nullptr, "/safe/y") != Plain);
}

// Guards against 401 and 404 from a host that does not know the routes and keys
// yet; callers do not repeat such requests.
TEST_CASE("a host without a configuration answers 503 to any request") {
  GatewayFixture F;
  F.start();
  KeptCaller Caller(F.settings().Traffic);
  CHECK(Caller.send("/safe/x", "").result_int() == 503);
  CHECK(Caller.status("/none/x", "key-a") == 503);
}

// Guards against routes and keys that fall back to 404 and 401, or stay in an
// earlier version, because an entry cannot be read.
TEST_CASE("a host serves the readable part of a configuration") {
  ScriptedWorker Worker(answerAll);
  GatewayFixture F;
  F.putWorker("w1", Worker.endpoint());
  const std::string Good =
      R"(,["r1","a.example","/r1/","safe","20s","1s",1,"svc",[],false])";
  F.putConfigRow(config(1, R"(["acme",["key-a"]],["old",["key-o"]])", Good));
  F.start();
  F.awaitReady();
  KeptCaller Caller(F.settings().Traffic);
  CHECK(Caller.status("/r1/x", "key-a") == 200);
  F.putConfigRow(config(
      2,
      R"(["acme",["key-a"],"fast"],["new",["key-n"],"fast"],["b",["key-b"]])",
      R"(,["r1","a.example","/r1/","safe","soon","1s",1,"svc",[],false],
["r2","a.example","/r2/","odd","20s","1s",1,"svc",[],false],7,
["r3","a.example","/r3/","safe","20s","1s",1,"svc",[],false])"));
  REQUIRE(eventually([&] { return Caller.status("/r3/x", "key-b") == 200; }));
  struct Case {
    const char *Path;
    const char *Key;
    unsigned Status;
  };
  const Case Cases[] = {
      {"/safe/x", "key-a", 200}, // account as before
      {"/safe/x", "key-n", 401}, // unreadable and new
      {"/safe/x", "key-o", 401}, // removed
      {"/r1/x", "key-b", 200},   // route as before
      {"/r2/x", "key-b", 503},   // unreadable and new
      {"/r4/x", "key-b", 503},   // may be the row without a name
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Path);
    CAPTURE(C.Key);
    CHECK(Caller.status(C.Path, C.Key) == C.Status);
  }
  const auto Metrics = F.get(
      {F.settings().Traffic.Address, F.settings().MetricsPort}, "/metrics");
  REQUIRE(Metrics);
  for (const char *Line : {"entries_unreadable_total{kind=\"route\"} 3",
                           "entries_unreadable_total{kind=\"account\"} 2"}) {
    CAPTURE(Line);
    CHECK(Metrics->body().find(Line) != std::string::npos);
  }
}
