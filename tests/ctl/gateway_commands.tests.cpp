#include "ctl/command_line.hpp"
#include "masticgap/transport/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace masticgap;
namespace http = boost::beast::http;

namespace {

//! Gateway that answers calls at its metrics port with fixed texts.
class FakeGateway {
public:
  FakeGateway()
      : Server(Io, Endpoint{"127.0.0.1", 0}, transport::HttpServerLimits{},
               [this](const transport::HttpRequest &Request,
                      const transport::HttpServer::Reply &Reply) {
                 Seen = std::string(Request.target());
                 Reply(transport::jsonResponse(Request, Status, Body));
               }),
        Thread([this] { Io.run(); }) {}
  ~FakeGateway() {
    Io.stop();
    Thread.join();
  }

  // Changed between commands only.
  http::status Status = http::status::ok;
  std::string Body;
  std::string Seen; //!< Target of the last request.
  boost::asio::io_context Io{1};
  transport::HttpServer Server;

private:
  std::thread Thread;
};

struct Printed {
  ctl::ExitCode Code = ctl::ExitCode::Done;
  std::string Out;
  std::string Err;
};

Printed run(const ctl::CtlOptions &Options,
            const std::vector<std::string> &CommandLine) {
  std::ostringstream Out;
  std::ostringstream Err;
  ctl::CtlEnvironment Environment{[] { return 0; }, [] { return 0; }, Out, Err};
  Printed Result;
  Result.Code = ctl::runCommand(Options, Environment, CommandLine);
  Result.Out = Out.str();
  Result.Err = Err.str();
  return Result;
}

ctl::CtlOptions options(const FakeGateway &Gateway) {
  ctl::CtlOptions Options;
  Options.Gateway = Gateway.Server.local();
  Options.CallTimeout = std::chrono::seconds(20);
  return Options;
}

} // namespace

// Guards against parameters that are lost or not encoded.
TEST_CASE("explain asks a gateway and prints its answer") {
  FakeGateway Gateway;
  Gateway.Body = R"({"decision":"sent","worker":"w1","queue_ms":0.5,)"
                 R"("workers":[{"worker":"w1","verdict":"chosen"},)"
                 R"({"worker":"w2","verdict":"ejected"}]})";
  ctl::CtlOptions Options = options(Gateway);
  Options.HostName = "a.example";
  Options.Path = "/x y?q=1&r";
  Options.Account = "a+b";
  Options.Object = "\xc3\xa9";
  const Printed Text = run(Options, {"explain"});
  CHECK(Text.Code == ctl::ExitCode::Done);
  CHECK(Gateway.Seen == "/explain?host=a.example&path=/x%20y%3Fq%3D1%26r"
                        "&account=a%2Bb&object=%C3%A9");
  CHECK(Text.Out == "decision: sent\nworker: w1\nqueue_ms: 0.5\nworkers\n"
                    "worker  verdict\nw1      chosen\nw2      ejected\n");
  Options.Json = true;
  CHECK(run(Options, {"explain"}).Out == Gateway.Body + "\n");
}

TEST_CASE("accounts prints a table of accounts") {
  FakeGateway Gateway;
  Gateway.Body = R"({"host":"h1","accounts":[{"name":"acme","asked":3,)"
                 R"("reasons":{"overloaded":1}},{"name":"b"}]})";
  const Printed Text = run(options(Gateway), {"accounts"});
  CHECK(Text.Code == ctl::ExitCode::Done);
  CHECK(Gateway.Seen == "/accounts");
  CHECK(Text.Out == "host: h1\naccounts\n"
                    "name  asked  reasons\n"
                    "acme  3      {\"overloaded\":1}\n"
                    "b     -      -\n");
  run(options(Gateway), {"accounts", "a&b"});
  CHECK(Gateway.Seen == "/accounts?name=a%26b");
}

// Guards against a gateway that is down and looks like one without accounts.
TEST_CASE("a gateway that does not answer is reported") {
  FakeGateway Gateway;
  ctl::CtlOptions Options = options(Gateway);
  Options.HostName = "a.example";
  Options.Path = "/x";
  for (const char *Command : {"explain", "accounts"}) {
    CAPTURE(Command);
    Gateway.Status = http::status::not_found;
    Gateway.Body = "{}";
    Printed Failed = run(Options, {Command});
    CHECK(Failed.Code == ctl::ExitCode::Failed);
    CHECK(Failed.Err.find("answered 404") != std::string::npos);
    Gateway.Status = http::status::ok;
    Gateway.Body = "masticgap_members 3\n";
    CHECK(run(Options, {Command}).Code == ctl::ExitCode::Failed);
    ctl::CtlOptions Down = Options;
    Down.Gateway = Endpoint{"127.0.0.1", 1};
    Failed = run(Down, {Command});
    CHECK(Failed.Code == ctl::ExitCode::Failed);
    CHECK(Failed.Err.find("gave no answer") != std::string::npos);
    Down.Gateway.reset();
    CHECK(run(Down, {Command}).Code == ctl::ExitCode::Usage);
  }
  Options.Path.clear();
  CHECK(run(Options, {"explain"}).Code == ctl::ExitCode::Usage);
}
