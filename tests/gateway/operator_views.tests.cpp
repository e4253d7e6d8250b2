// Calls of operators at the metrics port.
#include "common/eventually.hpp"
#include "common/scripted_worker.hpp"
#include "gateway/gateway_fixture.hpp"
#include "masticgap/transport/http_fetch.hpp"

#include <boost/beast/http/field.hpp>
#include <boost/json/parse.hpp>
#include <doctest/doctest.h>

#include <string>

using namespace masticgap;
using namespace masticgap::tests;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

std::string answerAll(std::size_t, const SeenRequest &) {
  return workerAnswer(200, "id-1", "whole");
}

std::string config(unsigned Version) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":{"columns":["name","hostname","prefix","kind","timeout",
"target_latency","priority","service","session_affinity","public",
"home_regions"],"rows":[
["safe","a.example","/safe/","safe","20s","400ms",2,"svc",true,false,[]],
["open","a.example","/open/","safe","20s","400ms",2,"svc",true,true,[]],
["empty","a.example","/empty/","safe","20s","400ms",2,"none",true,false,[]],
["home","a.example","/home/","safe","20s","400ms",2,"svc",true,false,["r"]]]},
"services":{"columns":["name","connection_limit"],"rows":[["svc",600],
["none",600]]},
"tenants":{"columns":["name","api_keys","rate_per_s","burst_size","home_regions"],
"rows":[["acme",["key-secret-a"]],["small",["key-secret-s"],0.01,1],
["away",["key-secret-w"],null,null,["other"]]]}})";
}

//! A gateway with three workers and accounts.
struct Views {
  Views()
      : Workers{ScriptedWorker(answerAll), ScriptedWorker(answerAll),
                ScriptedWorker(answerAll)} {
    for (std::size_t I = 0; I < 3; ++I)
      F.putWorker("w" + std::to_string(I + 1), Workers[I].endpoint());
    F.putConfigRow(config(1));
    F.start();
    F.awaitReady();
    REQUIRE(eventually([&] { return F.knownWorkers() == 3; }));
  }

  json::object get(const std::string &Target) {
    const auto Answer =
        F.get({F.settings().Traffic.Address, F.settings().MetricsPort}, Target);
    REQUIRE(Answer);
    CHECK(Answer->body().find("key-secret") == std::string::npos);
    Status = Answer->result_int();
    return json::parse(Answer->body()).as_object();
  }

  //! Sends a request for an object.
  unsigned send(const std::string &Key, const std::string &Object) {
    auto Request = transport::makeRequest(http::verb::get, F.settings().Traffic,
                                          "/safe/x");
    Request.set(http::field::host, "a.example");
    Request.set("Attempt-Id", "id-1");
    Request.set(http::field::authorization, "Bearer " + Key);
    Request.set(http::field::cookie, "Affinity-Key=" + Object);
    return transport::fetchNow(F.settings().Traffic, Request,
                               std::chrono::seconds(30))
        .result_int();
  }

  ScriptedWorker Workers[3];
  GatewayFixture F;
  unsigned Status = 0;
};

std::string member(const json::object &Object, const char *Name) {
  const json::value *Found = Object.if_contains(Name);
  return Found && Found->is_string() ? std::string(Found->as_string().c_str())
                                     : std::string();
}

} // namespace

// Guards against an explanation of another decision than a request gets.
TEST_CASE("explain states what happens to a request") {
  Views V;
  struct Case {
    const char *Query;
    unsigned Status; //!< Of the call.
    const char *Decision;
    const char *Reason;
    std::size_t Workers;
  };
  const Case Cases[] = {
      {"?host=a.example&path=/safe/x&account=acme", 200, "sent", "lowest_cost",
       3},
      {"?host=a.example:80&path=%2Fsafe%2Fx%3Fq=1&account=acme&method=POST",
       200, "sent", "lowest_cost", 3},
      {"?host=a.example&path=/open/x", 200, "sent", "lowest_cost", 3},
      {"?host=a.example&path=/safe/x", 200, "refused", "unauthorized", 3},
      {"?host=a.example&path=/safe/x&account=key-secret", 200, "refused",
       "unauthorized", 3},
      {"?host=a.example&path=/safe/x&account=away", 200, "refused",
       "no_workers", 3},
      {"?host=a.example&path=/home/x&account=away", 200, "refused",
       "no_home_region", 0},
      {"?host=a.example&path=/empty/x&account=acme", 200, "refused",
       "no_workers", 0},
      {"?host=b.example&path=/safe/x", 200, "refused", "no_route", 0},
      {"?path=/safe/x", 400, "", "", 0},
      {"?host=a.example&path=safe", 400, "", "", 0},
  };
  for (const Case &C : Cases) {
    CAPTURE(C.Query);
    const json::object Why = V.get(std::string("/explain") + C.Query);
    CHECK(V.Status == C.Status);
    CHECK(member(Why, "decision") == C.Decision);
    CHECK(member(Why, "reason") == C.Reason);
    if (C.Status == 200)
      CHECK(Why.at("workers").as_array().size() == C.Workers);
  }
  for (const auto &Worker : V.Workers)
    CHECK(Worker.seen().empty());
}

TEST_CASE("the worker that explain names gets the next request") {
  Views V;
  for (int I = 0; I < 12; ++I) {
    const std::string Object = "object" + std::to_string(I);
    CAPTURE(Object);
    const json::object Why = V.get(
        "/explain?host=a.example&path=/safe/x&account=acme&object=" + Object);
    const std::string Named = member(Why, "worker");
    REQUIRE(Named.size() == 2);
    const auto &Worker =
        V.Workers[static_cast<std::size_t>(Named.back() - '1')];
    const std::size_t Before = Worker.seen().size();
    CHECK(V.send("key-secret-a", Object) == 200);
    CHECK(Worker.seen().size() == Before + 1);
  }
}

// Guards against counts that disagree with the answers, and, with the checks in
// get(), against keys in the output.
TEST_CASE("accounts states the requests and the credit of each account") {
  Views V;
  CHECK(V.send("key-secret-a", "x") == 200);
  CHECK(V.send("key-secret-w", "x") == 503);
  unsigned Served = 0;
  for (int I = 0; I < 20; ++I)
    Served += V.send("key-secret-s", "x") == 200 ? 1 : 0;
  const json::object View = V.get("/accounts");
  REQUIRE(V.Status == 200);
  const json::array &All = View.at("accounts").as_array();
  REQUIRE(All.size() == 3);
  const auto Number = [](const json::value &Row, const char *Name) {
    return Row.at(Name).to_number<double>();
  };
  CHECK(Number(All[0], "asked") == 1);
  CHECK(Number(All[0], "served") == 1);
  CHECK_FALSE(All[0].as_object().contains("owner")); // It has no limit.
  CHECK(Number(All[1], "asked") == 20);
  CHECK(Number(All[1], "served") == Served);
  CHECK(Number(All[1], "limited") == 20 - Served);
  CHECK(Number(All[1].at("reasons"), "over_limit") == 20 - Served);
  CHECK(Number(All[1], "credit_granted") >= Served);
  CHECK(All[1].at("owner") == "h1");
  CHECK(Number(All[1], "bucket") < 1);
  CHECK(Number(All[2].at("reasons"), "no_workers") == 1);
  CHECK(V.get("/accounts?name=small").at("accounts").as_array().size() == 1);
  const json::object Why =
      V.get("/explain?host=a.example&path=/safe/x&account=small");
  CHECK(member(Why, "reason") == "over_limit");
  CHECK(Why.at("retry_after_ms").to_number<double>() > 0);
  V.get("/accounts?name=key-secret");
  CHECK(V.Status == 404);
}
