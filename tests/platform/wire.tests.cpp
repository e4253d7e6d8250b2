#include "platform/wire.hpp"

#include <doctest/doctest.h>

#include <utility>

using namespace masticgap;
using namespace masticgap::platform;
using coordination::AttemptEnd;
namespace http = boost::beast::http;

TEST_CASE(
    "only marked and misdirected answers prove that nothing was executed") {
  struct Case {
    unsigned Status;
    bool Marked;
    std::optional<AttemptEnd> Expected;
  };
  const Case Cases[] = {
      {200, false, std::nullopt},
      {500, false, std::nullopt},
      {503, false, std::nullopt},
      {429, false, std::nullopt},
      {503, true, AttemptEnd::RefusedFull},
      {429, true, AttemptEnd::RefusedFull},
      {400, true, AttemptEnd::RefusedFull},
      {421, false, AttemptEnd::RefusedLeaving},
      {421, true, AttemptEnd::RefusedLeaving},
  };
  const gateway::WireFormat Wire = makeWireFormat();
  for (const auto &C : Cases) {
    CAPTURE(C.Status);
    CAPTURE(C.Marked);
    http::response_header<> Head;
    Head.result(C.Status);
    if (C.Marked)
      Head.set("Not-Executed", "1");
    CHECK(Wire.Workers.Refusal(Head) == C.Expected);
  }
}

// Guards against load reports that are lost because a worker adds the time that
// work takes on its machine.
TEST_CASE("a load report has three numbers and may have a work factor") {
  const gateway::WireFormat Wire = makeWireFormat();
  const auto Load = Wire.ParseLoad("3,0,8");
  REQUIRE(Load);
  CHECK(Load->Running == 3);
  CHECK(Load->Waiting == 0);
  CHECK(Load->Slots == 8);
  CHECK(Load->WorkFactor == 1);
  CHECK_FALSE(Load->HasWorkFactor);
  struct Case {
    const char *Text;
    double Factor;
  };
  for (const Case &C : {Case{"3,0,8,100", 1.0}, Case{"3,0,8,250", 2.5},
                        Case{"3,0,8,62.5", 0.625}}) {
    CAPTURE(C.Text);
    const auto WithFactor = Wire.ParseLoad(C.Text);
    REQUIRE(WithFactor);
    CHECK(WithFactor->Slots == 8);
    CHECK(WithFactor->WorkFactor == doctest::Approx(C.Factor));
    CHECK(WithFactor->HasWorkFactor);
  }
  for (const char *Text :
       {"", "3", "3,0", "3,0,", "a,0,8", "-1,0,8", "3;0;8", "3,0,8,", "3,0,8,0",
        "3,0,8,-5", "3,0,8,a", "3,0,8,inf", "3,0,8,nan", "3,0,8,100,",
        "3,0,8,100,1"}) {
    CAPTURE(Text);
    CHECK_FALSE(Wire.ParseLoad(Text));
  }
}

TEST_CASE("look-ups are parsed and answered in the platform's format") {
  const gateway::WireFormat Wire = makeWireFormat();
  const auto Query = Wire.ParseLookup(
      "/api/resolution?name=hulo84.example&region=atl&zone=atl-a");
  CHECK(Query.HostName == "hulo84.example");
  CHECK(Query.Region == RegionName("atl"));
  CHECK(Query.Domain == FailureDomainName("atl-a"));
  const std::vector<std::string> Addresses{"10.1.0.15:8641", "10.1.0.16:8641"};
  CHECK(Wire.LookupAnswer(Addresses, std::chrono::milliseconds(2000)) ==
        R"({"addresses":["10.1.0.15:8641","10.1.0.16:8641"],"ttl":"2000ms"})");
}
