#pragma once

#include "ctl/command_line.hpp"
#include "ctl/store_access.hpp"
#include "masticgap/protocol/member_json.hpp"
#include "masticgap/transport/http_fetch.hpp"
#include "masticgap/transport/http_server.hpp"
#include "transport/platform_fixture.hpp"

#include <functional>
#include <memory>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace masticgap::tests {

//! Three fake entry hosts that implement the documented admin interface. A
//! version notification reaches all of them at once.
class FakeEntryHosts {
public:
  FakeEntryHosts() {
    for (std::size_t I = 0; I < 3; ++I)
      Servers.push_back(std::make_unique<transport::HttpServer>(
          Io, Endpoint{"127.0.0.1", 0}, transport::HttpServerLimits{},
          [this, I](const transport::HttpRequest &Request,
                    const transport::HttpServer::Reply &Reply) {
            Reply(answer(I, Request));
          }));
    Thread = std::thread([this] { Io.run(); });
  }
  ~FakeEntryHosts() {
    Io.stop();
    Thread.join();
  }

  std::vector<EntryHostDescriptor> descriptors() const {
    std::vector<EntryHostDescriptor> Out;
    for (std::size_t I = 0; I < Servers.size(); ++I)
      Out.push_back({HostId("e" + std::to_string(I + 1)), RegionName("luzon"),
                     FailureDomainName("luz-a"), Incarnation{1}, "127.0.0.1", 1,
                     2, Servers[I]->local().Port, 4});
    return Out;
  }

  // Changed only between commands or by OnStatus.
  std::uint64_t Version = 0;
  bool ThirdIsBehind = false;
  bool RefusesUndrain = false;
  std::string Config;                     //!< Body of GET /peer/config.
  std::function<void()> OnStatus = [] {}; //!< Runs before GET /status of e1.

private:
  transport::HttpResponse answer(std::size_t I,
                                 const transport::HttpRequest &Request) {
    namespace http = boost::beast::http;
    const std::string Target(Request.target().data(), Request.target().size());
    const auto Ok = [&](const std::string &Body) {
      return transport::jsonResponse(Request, http::status::ok, Body);
    };
    if (Target == "/status")
      return Ok(status(I));
    if (Target == "/peer/members")
      return Ok(members());
    if (Target == "/peer/config")
      return Ok(Config);
    if (Target == "/state")
      return Ok(R"({"regions":[{"region":"luzon","slots":48,"in_use":12.5}],)"
                R"("links":[],"services":[{"service":"agenda"}],)"
                R"("workers":[{"worker":"agenda-1"},)"
                R"({"worker":"agenda-2","leaving":true}],)"
                R"("hosts":[{"host":"e1","config_version":2}]})");
    if (Target == "/config/notify") {
      std::sscanf(Request.body().c_str(), "{\"version\":%lu}", &Version);
      return Ok("{}");
    }
    if (Target == "/undrain" && RefusesUndrain)
      return transport::errorResponse(Request, http::status::conflict,
                                      "not_supported", "restart its process");
    if (Target == "/drain" || Target == "/undrain") {
      Draining[I] = Target == "/drain";
      return Ok("{}");
    }
    return transport::errorResponse(Request, http::status::not_found,
                                    "not_found", Target);
  }

  std::string status(std::size_t I) {
    if (I == 0)
      OnStatus();
    const std::uint64_t ReportedVersion = I == 2 && ThirdIsBehind ? 1 : Version;
    return R"({"host":"e)" + std::to_string(I + 1) +
           R"(","incarnation":1,"config_version":)" +
           std::to_string(ReportedVersion) + R"(,"draining":)" +
           (Draining[I] ? "true" : "false") + "}";
  }

  //! Returns a member list of the three hosts and a dead one, for which
  //! commands must not wait.
  std::string members() const {
    std::vector<coordination::MemberRecord> Out;
    for (const EntryHostDescriptor &Host : descriptors()) {
      Out.emplace_back();
      Out.back().Host = Host;
    }
    Out.emplace_back(Out.back());
    Out.back().Host.Id = HostId("e4");
    Out.back().Status = coordination::MemberStatus::Dead;
    return protocol::toJson(Out);
  }

  boost::asio::io_context Io{1};
  std::vector<std::unique_ptr<transport::HttpServer>> Servers;
  bool Draining[3] = {};
  std::thread Thread;
};

//! Runs commands against a stand-in platform, fake entry hosts and a
//! deterministic clock.
class CtlFixture {
public:
  CtlFixture() {
    protocol::HostList List;
    List.EntryHosts = Hosts.descriptors();
    List.Workers.push_back({WorkerId("agenda-1"), ServiceName("agenda"),
                            RegionName("luzon"), FailureDomainName("luz-a"),
                            Endpoint{"127.0.0.1", 9}, Incarnation{1}, 3, 660,
                            false});
    setHosts(List);
    Options.Platform = Platform.Server.local();
    Options.Operator = "ana";
    Options.WaitLimit = std::chrono::seconds(20);
    Options.CallTimeout = std::chrono::seconds(20);
  }

  void setHosts(const protocol::HostList &List) {
    const Endpoint PlatformEndpoint = Platform.Server.local();
    transport::fetchNow(PlatformEndpoint,
                        transport::makeRequest(boost::beast::http::verb::put,
                                               PlatformEndpoint, "/hosts",
                                               protocol::toJson(List)),
                        std::chrono::seconds(20));
  }

  //! Runs one command.
  //! \returns the command, its output and its exit code, with ports replaced.
  std::string run(const std::vector<std::string> &CommandLine,
                  const ctl::CtlOptions &RunOptions) {
    std::ostringstream Out;
    ctl::CtlEnvironment Environment{[this] { return UnixMs += 60'000; },
                                    [this] { return ++Random; }, Out, Out};
    LastExit = ctl::runCommand(RunOptions, Environment, CommandLine);
    std::string Text = "$ masticgap-ctl";
    for (const std::string &Word : CommandLine)
      Text += " " + Word;
    Text += "\n" + Out.str() + "exit " +
            std::to_string(static_cast<int>(LastExit)) + "\n\n";
    return std::regex_replace(Text, std::regex("127\\.0\\.0\\.1:[0-9]+"),
                              "127.0.0.1:PORT");
  }

  RunningPlatform Platform;
  FakeEntryHosts Hosts;
  ctl::CtlOptions Options;
  ctl::ExitCode LastExit = ctl::ExitCode::Done;

private:
  std::uint64_t UnixMs = 1'767'225'600'000; // 2026-01-01 00:00 UTC.
  std::uint32_t Random = 0;
};

} // namespace masticgap::tests
